//! Decides for which accounts a keeper asks those of other data centres.

use std::collections::HashMap;

use base::Ms;

use crate::AccountKey;

/// Time for which nothing is borrowed for an account after the other data centres had too little, in
/// ms. An account that is over its rate everywhere would otherwise be asked for with every request.
pub(super) const SHORTAGE_PAUSE_MS: u64 = 100;
/// Number of accounts with a pause from which the ended ones are forgotten.
const MAX_PAUSES: usize = 256;

/// What a keeper remembers of its attempts to borrow.
#[derive(Debug, Default)]
pub struct Loans {
    /// Instants before which nothing is borrowed for an account.
    borrow_from: HashMap<AccountKey, Ms>,
}

impl Loans {
    /// Whether the other data centres may be asked for an account.
    pub fn may_borrow(&self, account: AccountKey, now: Ms) -> bool {
        self.borrow_from
            .get(&account)
            .is_none_or(|from| now >= *from)
    }

    /// Records that the other data centres did not have enough.
    pub fn record_shortage(&mut self, account: AccountKey, now: Ms) {
        if self.borrow_from.len() >= MAX_PAUSES {
            self.borrow_from.retain(|_, from| now < *from);
        }
        self.borrow_from
            .insert(account, now.plus(SHORTAGE_PAUSE_MS));
    }
}
