//! Limits the statements that a daemon has under way at one member.
//!
//! Several daemons share a member's slots without talking to each other. What they send beyond the
//! slots waits at the member in the order of arrival, where it can neither be reordered nor refused.
//! It matters when a primary serves alone while replicas lag: each daemon then has a queue of its
//! own, and the urgent statements must go first there.
//!
//! The time that statements take, compared with what their route takes at best, shows whether
//! others are waiting at the member.

use base::Ms;

/// Weight of the newest statement in the mean ratio of the time taken to the time at best.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Mean ratio from which the limit falls.
const HIGH_RATIO: f64 = 1.6;
/// Mean ratio up to which the limit rises.
const LOW_RATIO: f64 = 1.25;
/// Factor by which the limit falls.
const DECREASE: f64 = 0.7;
/// Step by which the limit rises.
const INCREASE: f64 = 0.5;
/// Time between two changes of the limit, in ms: statements sent before a change must not count for
/// the next one.
const CHANGE_INTERVAL_MS: u64 = 100;
/// Limit at the start, and the highest one.
const MAX_LIMIT: f64 = 8.0;

/// Limit on the statements under way at one member.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    /// Mean ratio of the time taken to the time at best.
    ratio: f64,
    changed_at: Ms,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: MAX_LIMIT,
            ratio: 1.0,
            changed_at: Ms(0),
        }
    }
}

impl ConcurrencyLimit {
    /// Whether another statement may be sent while `under_way` await their answers. `min` is the
    /// daemon's share of the member's slots.
    pub fn allows(&self, under_way: u64, min: u64) -> bool {
        let under_way = to_f64(under_way);
        under_way < to_f64(min.max(1)) || under_way + 1.0 <= self.limit
    }

    /// Records a statement that took `took_ms`, where its route takes `best_ms` at best.
    pub fn record(&mut self, took_ms: f64, best_ms: f64, now: Ms) {
        if best_ms <= 0.0 {
            return;
        }
        self.ratio += (took_ms / best_ms - self.ratio) * SAMPLE_WEIGHT;
        if now.0.saturating_sub(self.changed_at.0) < CHANGE_INTERVAL_MS {
            return;
        }
        if self.ratio >= HIGH_RATIO {
            self.limit = (self.limit * DECREASE).max(1.0);
            self.changed_at = now;
        } else if self.ratio <= LOW_RATIO {
            self.limit = (self.limit + INCREASE).min(MAX_LIMIT);
            self.changed_at = now;
        }
    }
}

fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
