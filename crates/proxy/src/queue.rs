//! Order of statements in the wait queue, and the predicted wait by which statements that would
//! miss their deadline are refused early.
//!
//! Both matter when the slots of the members limit the throughput: in bursts, with replicas that
//! lag too far to serve reads, and after the loss of a primary.

use base::Ms;

/// Sort criteria of a waiting statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Priority of the statement's route; 0 goes first.
    pub priority: u64,
    /// Instant by which an answer meets the latency target of the route.
    pub target: Ms,
    /// Instant after which the statement is refused.
    pub deadline: Ms,
}

impl Rank {
    /// Sort key at an instant; the statement with the smallest key goes first.
    ///
    /// Statements that can still meet their target go before those that cannot; then the priority
    /// decides, then the nearest target. Statements past their target go newest first, since the
    /// oldest are about to time out.
    pub fn key(&self, now: Ms) -> (bool, u64, u64) {
        let past_target = now > self.target;
        let target_order = if past_target {
            u64::MAX - self.target.0
        } else {
            self.target.0
        };
        (past_target, self.priority, target_order)
    }
}

/// Expected wait in ms of a statement behind `ahead` others, on `conns` connections that each
/// finish a statement in `service_ms`; 0 without connections.
pub fn predicted_wait(ahead: usize, conns: u64, service_ms: f64) -> f64 {
    if conns == 0 {
        return 0.0;
    }
    let (ahead, conns) = (to_f64(ahead as u64), to_f64(conns));
    ahead * service_ms / conns
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
