//! How long the holder of a shard's lock may act as its keeper.

use base::Ms;

use super::{GRANT_TTL_MS, QuotaRules, Start};

/// Time from the sending of the last acknowledged write of the lock for which the holder is keeper.
/// Another daemon takes the lock only after it has seen nothing new for as long.
pub const KEEPER_LEASE_MS: u64 = 8000;
/// Interval at which the holder writes the lock again.
pub const RENEWAL_INTERVAL_MS: u64 = 1500;
/// Time without a request from another daemon after which the lock is released, at least. A keeper that
/// the others cannot reach would otherwise keep the lock as long as it reaches the store.
const UNASKED_RELEASE_MS: u64 = 5000;

/// The lease of a keeper.
#[derive(Clone, Copy, Debug)]
pub struct KeeperLease {
    gained_at: Ms,
    start: Start,
    /// When the last acknowledged write of the lock was sent.
    written_at: Ms,
    /// When another daemon asked last.
    asked_at: Ms,
    /// When this daemon asked last.
    own_asked_at: Ms,
}

impl KeeperLease {
    /// The lease of a holder that sent its first write at `sent_at`.
    pub fn new(start: Start, sent_at: Ms, now: Ms) -> KeeperLease {
        KeeperLease {
            gained_at: now,
            start,
            written_at: sent_at,
            asked_at: now,
            own_asked_at: now,
        }
    }

    /// Whether the holder may hand out grants.
    pub fn is_valid(&self, now: Ms) -> bool {
        now < self.written_at.plus(KEEPER_LEASE_MS)
    }

    /// Records that a write sent at `sent_at` was acknowledged.
    pub fn renew(&mut self, sent_at: Ms) {
        self.written_at = self.written_at.max(sent_at);
    }

    pub fn record_request(&mut self, from_other: bool, now: Ms) {
        if from_other {
            self.asked_at = now;
        } else {
            self.own_asked_at = now;
        }
    }

    pub fn is_renewal_due(&self, now: Ms) -> bool {
        now >= self.written_at.plus(RENEWAL_INTERVAL_MS)
    }

    /// Whether the lock is to be released: nobody asks, or only this daemon does although there are
    /// others.
    pub fn is_release_due(&self, rules: &QuotaRules, has_peers: bool, now: Ms) -> bool {
        let is_own_only = has_peers && now < self.own_asked_at.plus(UNASKED_RELEASE_MS);
        if is_own_only {
            return now >= self.asked_at.plus(UNASKED_RELEASE_MS);
        }
        self.is_unused(rules, now) && now >= self.last_asked_at().plus(UNASKED_RELEASE_MS)
    }

    fn last_asked_at(&self) -> Ms {
        self.asked_at.max(self.own_asked_at)
    }

    /// Whether all grants of this keeper had expired a window ago.
    fn is_unused(&self, rules: &QuotaRules, now: Ms) -> bool {
        now >= self.last_asked_at().plus(rules.window_ms + GRANT_TTL_MS)
    }

    /// How a keeper begins that takes the lock after what is written at this instant. If the lock is
    /// not `released`, more may be granted until then.
    pub fn next_start(&self, rules: &QuotaRules, released: bool, now: Ms) -> Start {
        if released && self.is_unused(rules, now) {
            return Start::First;
        }
        // Only one keeper within a window may give out its tolerance.
        if self.start == Start::First || now >= self.gained_at.plus(rules.window_ms) {
            Start::Successor
        } else {
            Start::SuccessorInWindow
        }
    }
}
