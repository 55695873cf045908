//! The order in which waiting statements get a connection, and when waiting is pointless.
//!
//! Answers the load at which the slots of the members bind: bursts, replicas too far behind to
//! read from, a primary lost.

use base::Ms;

/// What orders a waiting statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Rank of its route; 0 goes first.
    pub priority: u64,
    /// Instant up to which its answer is worth most.
    pub target: Ms,
    /// Instant after which it is refused.
    pub deadline: Ms,
}

impl Rank {
    /// Orders waiting statements at an instant; the smallest goes first.
    ///
    /// Those that can still meet their target go before those that cannot, then the route's rank
    /// decides, then the nearest target. Late ones go newest first: an old one is about to time out.
    pub fn key(&self, now: Ms) -> (bool, u64, u64) {
        let late = now > self.target;
        let within = if late {
            u64::MAX - self.target.0
        } else {
            self.target.0
        };
        (late, self.priority, within)
    }
}

/// Expected wait in ms of a statement behind `ahead` others on `conns` connections that each
/// finish a statement in `service` ms.
pub fn predicted_wait(ahead: usize, conns: u64, service: f64) -> f64 {
    if conns == 0 {
        return 0.0;
    }
    let (ahead, conns) = (to_f64(ahead as u64), to_f64(conns));
    ahead * service / conns
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
