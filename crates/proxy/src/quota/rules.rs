//! Deployment settings of the rate limits, and what follows from them.

use super::{Limit, Start};

/// Operations of the slack that are reserved for daemons that reach no keeper: one an account and
/// window on each, and an account's sessions on a group meet at one daemon.
const FALLBACK_RESERVE: u32 = 12;

/// Operations of the slack by which a bucket is larger than its burst. What has run stays outstanding
/// until the next report, up to 250 ms, and is not refilled meanwhile: an account with 2.4 operations
/// a second and a burst as large lost 14 % of a demand of 0.6 of that in the simulation.
const MAX_HEADROOM: f64 = 2.0;

/// How far the limits are binding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the sliding window, in ms.
    pub window_ms: u64,
    /// Share by which a window may exceed the limit.
    pub overage: f64,
    /// Operations that a window may hold beyond that share.
    pub slack: f64,
    /// Number of data centres that each hold an equal part of every limit; 1 if one keeper serves
    /// all. At least 1.
    pub parts: u32,
}

impl QuotaRules {
    /// Operations that any window may hold.
    pub fn bound(&self, limit: Limit) -> f64 {
        self.nominal(limit) * (1.0 + self.overage) + self.slack
    }

    /// Operations that a window may hold without overage and slack.
    fn nominal(&self, limit: Limit) -> f64 {
        limit.refill(self.window_ms) + limit.burst
    }

    /// Operations of the slack that are not reserved for daemons that reach no keeper.
    fn free_slack(&self) -> f64 {
        (self.slack - f64::from(FALLBACK_RESERVE)).max(0.0)
    }

    /// The part of a limit that a keeper hands out.
    pub fn part(&self, limit: Limit) -> Limit {
        let parts = f64::from(self.parts);
        Limit {
            rate: limit.rate / parts,
            burst: limit.burst / parts,
        }
    }

    /// The limit of a keeper's bucket of an account.
    pub fn bucket_limit(&self, limit: Limit) -> Limit {
        let part = self.part(limit);
        if limit.rate == 0.0 {
            return part;
        }
        Limit {
            rate: part.rate,
            burst: part.burst + self.headroom(limit) / f64::from(self.parts),
        }
    }

    /// Operations by which all buckets of an account together are larger than its burst.
    fn headroom(&self, limit: Limit) -> f64 {
        if self.parts == 1 {
            return self.free_slack().min(MAX_HEADROOM);
        }
        // Operations that come at one data centre find a part of the burst only, so that all of the
        // tolerance is in the buckets, and none left for keepers that begin.
        self.tolerance(limit)
    }

    /// Operations beyond the rate and the burst that keepers may hand out in a window.
    fn tolerance(&self, limit: Limit) -> f64 {
        // No bucket holds less than one operation, so that the smallest parts exceed theirs.
        let rounding = f64::from(self.parts - 1);
        self.overage * self.nominal(limit) + (self.free_slack() - rounding).max(0.0)
    }

    /// Level of a bucket when its keeper begins. What the former keeper has handed out within the
    /// window is not known, so that a new one may give out the tolerance only, and only one of
    /// those that begin within a window.
    pub fn initial_level(&self, start: Start, limit: Limit) -> f64 {
        let capacity = self.bucket_limit(limit).capacity();
        let level = match start {
            Start::First => capacity,
            Start::SuccessorInWindow => 0.0,
            Start::Successor => {
                let level = self.tolerance(limit) - self.headroom(limit);
                level.max(0.0) / f64::from(self.parts)
            }
        };
        level.min(capacity)
    }

    /// Whether a daemon that reaches no keeper may run one operation of an account in each window.
    pub fn allows_fallback(&self, groups: usize) -> bool {
        groups <= FALLBACK_RESERVE as usize && self.slack >= f64::from(FALLBACK_RESERVE)
    }
}
