//! What a daemon holds of one account: its grants, its demand, and what it reports.

use base::Ms;
use schema::{QuotaGrant, QuotaReport};

use super::{GRANT_TTL_MS, QuotaRules, REQUEST_INTERVAL_MS};

/// Weight of an interval in the estimate of the demand, when it is above the estimate and below it.
const RISE_WEIGHT: f64 = 0.5;
const FALL_WEIGHT: f64 = 0.2;
/// Demand below which nothing is asked for in advance, in operations an interval.
const MIN_ADVANCE_DEMAND: f64 = 1.0;
/// Held operations per expected one. Requests leave every `REQUEST_INTERVAL_MS`, and the answer takes
/// part of the next interval.
const ADVANCE_FACTOR: f64 = 1.25;
/// Standard deviations of the number of arrivals (of a Poisson process) that are held besides.
const ADVANCE_DEVIATIONS: f64 = 1.5;
/// Grants that expire within this time are not counted as held when more is asked for.
const EXPIRING_SOON_MS: u64 = REQUEST_INTERVAL_MS * 4 / 5;
/// Demand below which an account without grants is forgotten.
const NEGLIGIBLE_DEMAND: f64 = 0.01;

/// The right to run one operation until an instant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Request that was answered with the grant; `None` without a keeper.
    seq: Option<u64>,
    expires: Ms,
}

impl Ticket {
    /// Whether the operation may be sent to a member.
    pub fn is_valid(&self, now: Ms) -> bool {
        now < self.expires
    }
}

/// Whether an operation may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    Admitted(Ticket),
    /// The keeper has named the time until more is available.
    Refused {
        retry_ms: u64,
    },
    /// The keeper must be asked.
    Unknown,
}

/// Operations of one grant.
#[derive(Clone, Copy, Debug)]
struct Lot {
    seq: u64,
    expires: Ms,
    left: u32,
    /// Held by operations that have not been sent to a member.
    taken: u32,
    /// Held by operations that have been sent, and may still be refused as not run.
    sent: u32,
    /// Run and not yet reported.
    used: u32,
}

/// What a daemon holds of one account.
#[derive(Debug, Default)]
pub struct Holding {
    lots: Vec<Lot>,
    /// Operations that have arrived in the current interval.
    arrivals: u32,
    /// Estimate of the arrivals in an interval.
    demand: f64,
    /// Operations that wait for an answer of the keeper.
    waiting: u32,
    /// The account is over its rate until then.
    over_until: Ms,
    /// No operation runs without a keeper's grant before.
    fallback_from: Ms,
}

impl Holding {
    /// Records the arrival of an operation and decides whether it may run.
    pub fn arrive(&mut self, now: Ms) -> Admission {
        self.arrivals = self.arrivals.saturating_add(1);
        self.admit(now)
    }

    /// Decides whether an operation that has arrived may run.
    pub fn admit(&mut self, now: Ms) -> Admission {
        if let Some(ticket) = self.take(now) {
            return Admission::Admitted(ticket);
        }
        if now < self.over_until {
            let retry_ms = self.over_until.0 - now.0;
            return Admission::Refused { retry_ms };
        }
        Admission::Unknown
    }

    /// Takes an operation of the valid grant that expires first.
    pub fn take(&mut self, now: Ms) -> Option<Ticket> {
        let valid = self.lots.iter_mut();
        let lot = valid
            .filter(|l| l.left > 0 && now < l.expires)
            .min_by_key(|l| l.expires)?;
        lot.left -= 1;
        lot.taken += 1;
        Some(Ticket {
            seq: Some(lot.seq),
            expires: lot.expires,
        })
    }

    /// The one operation that may run in each window while no keeper answers.
    pub fn take_fallback(&mut self, rules: &QuotaRules, groups: usize, now: Ms) -> Option<Ticket> {
        if !rules.allows_fallback(groups) || now < self.fallback_from {
            return None;
        }
        let expires = now.plus(GRANT_TTL_MS);
        // Counted from the latest instant at which it may be sent.
        self.fallback_from = expires.plus(rules.window_ms);
        Some(Ticket { seq: None, expires })
    }

    /// Gives back an operation that was not sent, or was refused as not run.
    pub fn give_back(&mut self, ticket: Ticket) {
        if ticket.seq.is_none() {
            self.fallback_from = Ms(0);
        }
        if let Some(lot) = self.lot_mut(ticket) {
            lot.taken -= 1;
            lot.left += 1;
        }
    }

    /// Records that an operation is sent to a member.
    pub fn mark_sent(&mut self, ticket: Ticket) {
        if let Some(lot) = self.lot_mut(ticket) {
            lot.taken -= 1;
            lot.sent += 1;
        }
    }

    /// Records that an operation that was sent was refused as not run.
    pub fn mark_not_run(&mut self, ticket: Ticket) {
        if let Some(lot) = self.lot_mut(ticket) {
            lot.sent -= 1;
            lot.taken += 1;
        }
    }

    /// Records that an operation that was sent has run, or may have.
    pub fn mark_used(&mut self, ticket: Ticket) {
        if let Some(lot) = self.lot_mut(ticket) {
            lot.sent -= 1;
            lot.used += 1;
        }
    }

    fn lot_mut(&mut self, ticket: Ticket) -> Option<&mut Lot> {
        let seq = ticket.seq?;
        self.lots.iter_mut().find(|l| l.seq == seq)
    }

    /// Takes in the answer to the request `seq`, which was sent at `sent_at`.
    pub fn add_grant(&mut self, seq: u64, grant: QuotaGrant, sent_at: Ms, now: Ms) {
        self.over_until = match grant.retry_ms {
            0 => Ms(0),
            ms => now.plus(ms),
        };
        if grant.granted == 0 {
            return;
        }
        self.lots.push(Lot {
            seq,
            expires: sent_at.plus(GRANT_TTL_MS),
            left: grant.granted,
            taken: 0,
            sent: 0,
            used: 0,
        });
    }

    pub fn add_waiting(&mut self) {
        self.waiting += 1;
    }

    pub fn remove_waiting(&mut self) {
        self.waiting -= 1;
    }

    /// Operations that wait for an answer.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Whether an operation waits that the keeper must be asked for at once.
    pub fn is_urgent(&self, now: Ms) -> bool {
        let valid = self.lots.iter().filter(|l| now < l.expires);
        let held: u32 = valid.map(|l| l.left).sum();
        self.waiting > held && now >= self.over_until
    }

    /// Ends an interval of `REQUEST_INTERVAL_MS`: updates the estimate of the demand.
    pub fn end_interval(&mut self) {
        let arrivals = f64::from(std::mem::take(&mut self.arrivals));
        let weight = if arrivals > self.demand {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.demand += weight * (arrivals - self.demand);
    }

    /// Operations to ask for.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn wanted(&self, now: Ms) -> u32 {
        let advance = if self.demand < MIN_ADVANCE_DEMAND {
            0.0
        } else {
            self.demand * ADVANCE_FACTOR + ADVANCE_DEVIATIONS * self.demand.sqrt()
        };
        let soon = now.plus(EXPIRING_SOON_MS);
        let lasting = self.lots.iter().filter(|l| l.expires > soon);
        let held: u32 = lasting.map(|l| l.left).sum();
        (advance.ceil() as u32)
            .saturating_add(self.waiting)
            .saturating_sub(held)
    }

    /// What became of the grants since the last report. Expired ones are reported for the last time:
    /// what was not sent by then never will be.
    pub fn reports(&mut self, now: Ms) -> Vec<QuotaReport> {
        let mut reports = Vec::new();
        self.lots.retain_mut(|lot| {
            let is_expired = now >= lot.expires;
            let mut report = QuotaReport {
                seq: lot.seq,
                used: std::mem::take(&mut lot.used),
                unused: 0,
            };
            if is_expired {
                report.used += lot.sent;
                report.unused = lot.left + lot.taken;
            }
            if report.used + report.unused > 0 {
                reports.push(report);
            }
            !is_expired && lot.left + lot.taken + lot.sent > 0
        });
        reports
    }

    /// Number of grants of which something may still be reported.
    pub fn lot_count(&self) -> usize {
        self.lots.len()
    }

    /// Whether there is something to ask for or to report.
    pub fn has_business(&self, now: Ms) -> bool {
        let is_reportable = |l: &Lot| l.used > 0 || now >= l.expires;
        self.lots.iter().any(is_reportable) || self.wanted(now) > 0
    }

    /// Whether the account can be forgotten.
    pub fn is_idle(&self, now: Ms) -> bool {
        self.lots.is_empty()
            && self.waiting == 0
            && self.arrivals == 0
            && self.demand < NEGLIGIBLE_DEMAND
            && now >= self.over_until.max(self.fallback_from)
    }
}
