//! Which accounts have a label of their own in the metrics.

use std::collections::HashMap;

use crate::AccountKey;

/// Accounts with a label of their own.
const MAX_LABELLED: usize = 20;
/// Operations between two rankings.
const RANKING_INTERVAL: u32 = 4096;

/// The busiest accounts.
#[derive(Debug, Default)]
pub struct BusiestAccounts {
    /// Operations by account, halved at each ranking, so that earlier ones count less.
    counts: HashMap<AccountKey, u32>,
    labelled: Vec<AccountKey>,
    since_ranking: u32,
}

impl BusiestAccounts {
    /// Counts an operation; whether its account has a label of its own.
    pub fn record(&mut self, account: AccountKey) -> bool {
        *self.counts.entry(account).or_default() += 1;
        self.since_ranking += 1;
        if self.labelled.contains(&account) {
            return true;
        }
        if self.labelled.len() < MAX_LABELLED {
            self.labelled.push(account);
            return true;
        }
        false
    }

    /// Ranks the accounts anew if that is due; returns those that lose their label.
    pub fn rank(&mut self) -> Vec<AccountKey> {
        if self.since_ranking < RANKING_INTERVAL {
            return Vec::new();
        }
        self.since_ranking = 0;
        let mut ranked: Vec<(AccountKey, u32)> =
            self.counts.iter().map(|(key, n)| (*key, *n)).collect();
        ranked.sort_by_key(|(key, n)| (std::cmp::Reverse(*n), *key));
        ranked.truncate(MAX_LABELLED);
        let labelled = ranked.into_iter().map(|(key, _)| key).collect();
        let former = std::mem::replace(&mut self.labelled, labelled);
        self.counts.retain(|_, n| {
            *n /= 2;
            *n > 0
        });
        let lost = former.into_iter().filter(|k| !self.labelled.contains(k));
        lost.collect()
    }
}
