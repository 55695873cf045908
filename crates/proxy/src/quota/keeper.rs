//! All accounts of a shard, as its keeper counts them.

use std::collections::HashMap;

use base::Ms;
use schema::{QuotaGrant, QuotaReport};

use super::{AskerKey, Bucket, Limit, QuotaRules};
use crate::AccountKey;

/// What a keeper follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// None that has granted anything within a window: the shard has never had a keeper, or the
    /// former one released the lock after a longer time without a request.
    First,
    /// An earlier keeper, which began more than a window before its end.
    Successor,
    /// An earlier keeper that may itself have begun within the last window.
    SuccessorInWindow,
}

/// What a daemon asks for one account.
#[derive(Clone, Copy, Debug)]
pub struct AccountDemand<'a> {
    pub asker: AskerKey,
    /// Number of the request.
    pub seq: u64,
    pub account: AccountKey,
    pub wanted: u32,
    pub reports: &'a [QuotaReport],
    /// Whether it is the keeper of another data centre, which reports nothing.
    pub is_loan: bool,
}

/// The buckets of a shard.
#[derive(Debug)]
pub struct Keeper {
    rules: QuotaRules,
    start: Start,
    gained_at: Ms,
    buckets: HashMap<AccountKey, Bucket>,
}

impl Keeper {
    pub fn new(rules: QuotaRules, start: Start, gained_at: Ms) -> Keeper {
        Keeper {
            rules,
            start,
            gained_at,
            buckets: HashMap::new(),
        }
    }

    /// Takes in the reports of a demand and decides what is granted; `limit` is that of the
    /// configuration in force.
    pub fn answer(&mut self, demand: &AccountDemand, limit: Limit, now: Ms) -> QuotaGrant {
        let initial = self.rules.initial_level(self.start, limit);
        let refill = self.rules.part(limit);
        let level = initial + refill.refill(now.0.saturating_sub(self.gained_at.0));
        let limit = self.rules.bucket_limit(limit);
        let bucket = self
            .buckets
            .entry(demand.account)
            .or_insert_with(|| Bucket::new(limit, level, now));
        bucket.set_limit(limit, now);
        for report in demand.reports {
            bucket.report(demand.asker, report, now);
        }
        // What the former keeper granted is within its own bucket, also while it has not expired; the
        // initial level is within the tolerance of a window.
        if demand.is_loan {
            bucket.lend(demand.asker, demand.seq, demand.wanted, now)
        } else {
            bucket.grant(demand.asker, demand.seq, demand.wanted, now)
        }
    }
}
