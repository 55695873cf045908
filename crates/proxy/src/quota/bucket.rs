//! The operations of one account, as the keeper counts them.

use base::Ms;
use schema::{QuotaGrant, QuotaReport};

use super::{AskerKey, GRANT_TTL_MS, Limit, REQUEST_INTERVAL_MS};

/// Time after which operations of a grant that were not reported count as used, from its
/// arrival. Their use ends after `GRANT_TTL_MS`, and the report of it follows with the next request.
const REPORT_TIMEOUT_MS: u64 = GRANT_TTL_MS + 2 * REQUEST_INTERVAL_MS;
/// Time for which a daemon's demand counts in the division.
const WANT_TTL_MS: u64 = 500;
/// Shortest time for which an account is said to be over its rate. Below it, daemons with a hot
/// account would ask for almost every operation.
const MIN_RETRY_MS: u64 = 50;
const MAX_RETRY_MS: u64 = 5000;

/// Operations granted to one daemon at once.
#[derive(Clone, Copy, Debug)]
struct Lot {
    asker: AskerKey,
    seq: u64,
    /// Operations that are left then count as used.
    until: Ms,
    /// Operations neither reported as used nor as unused.
    left: u32,
}

/// The last demand of a daemon.
#[derive(Clone, Copy, Debug)]
struct Want {
    asker: AskerKey,
    wanted: u32,
    /// What it was granted then.
    granted: u32,
    at: Ms,
}

/// Token bucket of an account.
///
/// `level` and the outstanding operations together never exceed the capacity, and grow by the rate
/// only. What is used leaves the sum, and what comes back unused stays in it; hence the operations
/// of a window never exceed the capacity and the refill of the window.
#[derive(Debug)]
pub struct Bucket {
    limit: Limit,
    level: f64,
    refilled_at: Ms,
    /// Outstanding operations in the order of their granting.
    lots: Vec<Lot>,
    wants: Vec<Want>,
}

impl Bucket {
    pub fn new(limit: Limit, level: f64, now: Ms) -> Bucket {
        Bucket {
            limit,
            level: level.min(limit.capacity()),
            refilled_at: now,
            lots: Vec::new(),
            wants: Vec::new(),
        }
    }

    /// Operations that can be granted.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Operations granted of which nothing is known yet.
    pub fn outstanding(&self) -> f64 {
        self.lots.iter().map(|l| f64::from(l.left)).sum()
    }

    /// Puts a limit in force; the level is lowered at once, but never raised.
    pub fn set_limit(&mut self, limit: Limit, now: Ms) {
        if self.limit == limit {
            return;
        }
        self.advance(now);
        self.limit = limit;
        self.level = self.level.min(self.room());
    }

    /// Capacity that is not taken by outstanding operations.
    fn room(&self) -> f64 {
        (self.limit.capacity() - self.outstanding()).max(0.0)
    }

    /// Refills the bucket, and drops what was not reported in time. Such operations may have run, so
    /// they do not return to the level.
    fn advance(&mut self, now: Ms) {
        let elapsed_ms = now.0.saturating_sub(self.refilled_at.0);
        let refilled = (self.level + self.limit.refill(elapsed_ms)).min(self.room());
        self.level = self.level.max(refilled);
        self.refilled_at = self.refilled_at.max(now);
        self.lots.retain(|l| l.left > 0 && now < l.until);
        self.wants.retain(|w| now < w.at.plus(WANT_TTL_MS));
    }

    /// Takes in what became of a grant. A report that comes after `REPORT_TIMEOUT_MS`, or names more
    /// than was granted, has no effect.
    pub fn report(&mut self, asker: AskerKey, report: &QuotaReport, now: Ms) {
        self.advance(now);
        let mut lots = self.lots.iter_mut();
        let Some(lot) = lots.find(|l| l.asker == asker && l.seq == report.seq) else {
            return;
        };
        let used = report.used.min(lot.left);
        lot.left -= used;
        let unused = report.unused.min(lot.left);
        lot.left -= unused;
        self.level = (self.level + f64::from(unused)).min(self.room());
    }

    /// Grants what a daemon wants, or its part of the level if all together want more than that.
    pub fn grant(&mut self, asker: AskerKey, seq: u64, wanted: u32, now: Ms) -> QuotaGrant {
        self.grant_until(asker, seq, wanted, now.plus(REPORT_TIMEOUT_MS), now)
    }

    /// As `grant`, for another keeper, which reports nothing: what is granted counts as used as soon as
    /// it has expired.
    pub fn lend(&mut self, asker: AskerKey, seq: u64, wanted: u32, now: Ms) -> QuotaGrant {
        self.grant_until(asker, seq, wanted, now.plus(GRANT_TTL_MS), now)
    }

    fn grant_until(
        &mut self,
        asker: AskerKey,
        seq: u64,
        wanted: u32,
        until: Ms,
        now: Ms,
    ) -> QuotaGrant {
        self.advance(now);
        self.wants.retain(|w| w.asker != asker);
        if wanted == 0 {
            return QuotaGrant {
                granted: 0,
                retry_ms: 0,
            };
        }
        let others = self.wants.iter().map(|w| f64::from(w.wanted));
        let all = others.sum::<f64>() + f64::from(wanted);
        let granted = self.part(f64::from(wanted), all).min(wanted);
        self.wants.push(Want {
            asker,
            wanted,
            granted,
            at: now,
        });
        if granted > 0 {
            self.level -= f64::from(granted);
            self.lots.push(Lot {
                asker,
                seq,
                until,
                left: granted,
            });
        }
        QuotaGrant {
            granted,
            retry_ms: if granted == wanted {
                0
            } else {
                self.retry_ms()
            },
        }
    }

    /// Whole operations for a daemon that wants `wanted` of `all`. What the others were granted of
    /// `all` is divided as well, so that the first to ask does not take the part of the last. At
    /// least one while there is one: otherwise a small bucket would grant nothing to many daemons.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn part(&self, wanted: f64, all: f64) -> u32 {
        if self.level < 1.0 {
            return 0;
        }
        let granted: f64 = self.wants.iter().map(|w| f64::from(w.granted)).sum();
        let part = (self.level + granted) * (wanted / all).min(1.0);
        part.min(self.level).floor().max(1.0) as u32
    }

    /// Time until there is another operation, in ms. Which daemon gets it is decided then: telling
    /// each to wait for its turn refuses operations that another daemon does not take.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn retry_ms(&self) -> u64 {
        if self.limit.rate == 0.0 {
            return MAX_RETRY_MS;
        }
        if self.room() < 1.0 {
            return REQUEST_INTERVAL_MS;
        }
        let missing = (1.0 - self.level).max(0.0);
        let ms = missing * 1000.0 / self.limit.rate;
        (ms.ceil() as u64).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }
}
