//! State of one shard at one daemon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use base::{Ms, Signal};

use super::borrowing::Lenders;
use super::{Holding, Keeper, KeeperLease, Loans};
use crate::{AccountKey, ShardLock};

/// The shard as its keeper.
pub(crate) struct Kept {
    pub keeper: Keeper,
    pub loans: Loans,
    pub lease: KeeperLease,
}

/// State of one shard at one daemon.
#[derive(Default)]
pub(crate) struct Shard {
    /// What this daemon holds, by account.
    pub holdings: RefCell<HashMap<AccountKey, Holding>>,
    /// Whether the task that asks has been started.
    pub is_asking: Cell<bool>,
    /// Notified when an operation waits for an answer.
    pub wanted: Signal,
    /// Notified after each answer or failure.
    pub answered: Signal,
    /// Whether no keeper answered the last request.
    pub is_unreachable: Cell<bool>,
    /// No keeper is asked before; lies ahead after an attempt in which none answered.
    pub ask_from: Cell<Ms>,
    /// Address of the keeper whose answer came last, while the connection to it is open.
    pub keeper: Cell<Option<SocketAddr>>,
    /// Number of the last request.
    pub last_seq: Cell<u64>,
    /// The keepers of the other data centres.
    pub lenders: Lenders,
    /// Set while this daemon holds the lock.
    pub kept: RefCell<Option<Kept>>,
    /// Whether an attempt to take the lock is in progress.
    pub is_claiming: Cell<bool>,
    /// Result of the last attempt that did not take the lock, and when it ended.
    pub last_claim: RefCell<Option<(ShardLock, Ms)>>,
    /// Notified at the end of an attempt to take the lock.
    pub claimed: Signal,
    /// The lock is not taken before.
    pub claim_from: Cell<Ms>,
}

impl Shard {
    pub fn is_kept(&self) -> bool {
        self.kept.borrow().is_some()
    }

    /// Whether this daemon may answer as keeper.
    pub fn is_keeper(&self, now: Ms) -> bool {
        let kept = self.kept.borrow();
        kept.as_ref().is_some_and(|k| k.lease.is_valid(now))
    }

    /// Calls a function with the holding of an account.
    pub fn with_holding<T>(&self, account: AccountKey, f: impl FnOnce(&mut Holding) -> T) -> T {
        f(self.holdings.borrow_mut().entry(account).or_default())
    }

    /// Whether an operation waits that the keeper must be asked for at once.
    pub fn is_urgent(&self, now: Ms) -> bool {
        let holdings = self.holdings.borrow();
        now >= self.ask_from.get() && holdings.values().any(|h| h.is_urgent(now))
    }

    /// Whether there is something to ask for or to report.
    pub fn has_business(&self, now: Ms) -> bool {
        let holdings = self.holdings.borrow();
        now >= self.ask_from.get() && holdings.values().any(|h| h.has_business(now))
    }

    /// Ends an interval of requests, and forgets accounts without demand.
    pub fn end_interval(&self, now: Ms) {
        let mut holdings = self.holdings.borrow_mut();
        for holding in holdings.values_mut() {
            holding.end_interval();
        }
        holdings.retain(|_, h| !h.is_idle(now));
    }

    pub fn next_seq(&self) -> u64 {
        self.last_seq.set(self.last_seq.get() + 1);
        self.last_seq.get()
    }
}
