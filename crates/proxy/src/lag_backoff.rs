//! When a member that lacked a position is asked again.
//!
//! Answers the load at which replicas fall far behind while more reads wait than the primary can
//! serve: each question costs the replica time, and the primary alone decides how long reads wait.

use base::Ms;

/// Shortest pause before the next question, in ms.
const PAUSE_MS: u64 = 15;
/// Doublings of the pause at most.
const DOUBLINGS: u32 = 5;
/// Answers in a row from which a member counts as lagging.
const LAGGING: u32 = 3;
/// Time after the last of them for which it does, in ms.
const LAGGING_MS: u64 = 1000;

/// Answers of a member that it lacks a position.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LagBackoff {
    /// When the newest was heard.
    at: Ms,
    /// How many came since its log last grew; those to questions sent together count once.
    times: u32,
}

impl LagBackoff {
    /// Takes over an answer.
    pub fn record_lag(&mut self, now: Ms) {
        if self.may_retry(now) {
            self.times += 1;
        }
        self.at = now;
    }

    /// Takes over that its log has grown.
    pub fn record_progress(&mut self) {
        self.times = 0;
    }

    /// Whether it may hold a newer position by now.
    pub fn may_retry(&self, now: Ms) -> bool {
        let doublings = self.times.saturating_sub(1).min(DOUBLINGS);
        self.at.plus(PAUSE_MS << doublings) <= now
    }

    /// Whether it is unlikely to hold a newer position soon.
    pub fn is_lagging(&self, now: Ms) -> bool {
        self.times >= LAGGING && self.at.plus(LAGGING_MS) > now
    }
}
