//! Order of statements in the wait queue, and the predicted wait by which statements that cannot be
//! served in time are refused early.
//!
//! Both matter when the slots of the members limit the throughput: in bursts, with replicas that
//! lag too far to serve reads, and after the loss of a primary. When more arrives than can be
//! served, newer statements pass by those that have missed their target, which would then wait
//! until their deadline for nothing.

use base::Ms;

use crate::Load;

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

/// Whether a statement can be served in time behind `ahead` others: within its target, or, if what is
/// offered leaves capacity for statements past their target, within its deadline. `service_ms` is
/// the time that it takes once it has a connection.
pub fn is_servable(rank: &Rank, ahead: usize, load: Load, service_ms: f64, now: Ms) -> bool {
    let Some(capacity) = load.capacity else {
        return true;
    };
    let queue = to_f64(ahead as u64) + 1.0;
    let left_until = |at: Ms| to_f64(at.0.saturating_sub(now.0)) - service_ms;
    if queue / capacity <= left_until(rank.target) {
        return true;
    }
    let spare = capacity - load.offered;
    spare > 0.0 && queue / spare <= left_until(rank.deadline)
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
