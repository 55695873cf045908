//! Backoff for members that lack a requested position.
//!
//! It matters when replicas lag far behind while more reads wait than the primary can serve: each
//! request costs the replica time but serves no read, so only the primary shortens the queue.

use base::Ms;

/// Delay before the next request after one answer that a position is lacking, in ms; doubled with
/// each further one.
const BASE_DELAY_MS: u64 = 15;
const MAX_DOUBLINGS: u32 = 5;
/// Number of consecutive such answers from which a member counts as lagging.
const LAGGING_THRESHOLD: u32 = 3;
/// Time after the last answer for which a member counts as lagging, in ms.
const LAGGING_EXPIRY_MS: u64 = 1000;

/// Consecutive answers of a member that it lacks a position.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LagBackoff {
    /// When the last answer was received.
    last_at: Ms,
    /// Number of answers since the log of the member last grew. Answers to requests that were sent
    /// together count once.
    count: u32,
}

impl LagBackoff {
    /// Records an answer that a position is lacking.
    pub fn record_lag(&mut self, now: Ms) {
        if self.may_retry(now) {
            self.count += 1;
        }
        self.last_at = now;
    }

    /// Records that the log of the member has grown.
    pub fn record_progress(&mut self) {
        self.count = 0;
    }

    /// Whether the member may contain a newer position by now.
    pub fn may_retry(&self, now: Ms) -> bool {
        let doublings = self.count.saturating_sub(1).min(MAX_DOUBLINGS);
        self.last_at.plus(BASE_DELAY_MS << doublings) <= now
    }

    /// Whether the member is unlikely to contain a newer position soon.
    pub fn is_lagging(&self, now: Ms) -> bool {
        self.count >= LAGGING_THRESHOLD && self.last_at.plus(LAGGING_EXPIRY_MS) > now
    }
}
