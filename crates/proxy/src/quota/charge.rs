//! The charge of one operation of a session.

use std::cell::Cell;
use std::rc::Rc;

use base::Ms;

use super::{Ticket, asking};
use crate::stats::AccountLabels;
use crate::{AccountKey, ErrorKind, Identity, Proxy, Reply};

/// Label of the accounts that have none of their own in the metrics.
const OTHER_ACCOUNTS: &str = "other";
/// Time after which a caller is told to come back if its grant has expired while it waited.
const EXPIRED_RETRY_MS: u64 = 100;

/// How far an operation is charged.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Not charged.
    None,
    /// Charged, and not sent or refused as not run since.
    Held(Ticket),
    /// Sent to a member, without an answer yet.
    Sent(Ticket),
    /// It has run, or may have.
    Spent,
}

/// The charge of one operation: a single statement, or a transaction up to its first statement.
/// Dropped, it gives back what was not used.
pub struct Charge<'a> {
    proxy: &'a Rc<Proxy>,
    /// Account that is charged; `None` before `admit`, and for sessions without one.
    account: Cell<Option<AccountKey>>,
    state: Cell<State>,
}

impl<'a> Charge<'a> {
    pub fn new(proxy: &'a Rc<Proxy>) -> Charge<'a> {
        Charge {
            proxy,
            account: Cell::new(None),
            state: Cell::new(State::None),
        }
    }

    /// Charges the operation to the account of its session, unless that was done before or there is
    /// no limit. May wait for the answer of a keeper.
    ///
    /// # Errors
    /// The `Busy` reply when the account is over its rate.
    pub async fn admit(&self, identity: Option<Identity>, deadline: Ms) -> Result<(), Reply> {
        let Some(account) = identity.map(|i| i.account) else {
            return Ok(());
        };
        self.account.set(Some(account));
        if self.state.get() != State::None || self.proxy.quota_limit(account).is_none() {
            return Ok(());
        }
        let result = asking::acquire(self.proxy, account, deadline).await;
        record(self.proxy, account, result.is_ok());
        self.state.set(State::Held(result?));
        Ok(())
    }

    /// Records that the operation is about to be sent to a member. If its grant has expired, it
    /// takes another one that the daemon holds.
    ///
    /// # Errors
    /// The `Busy` reply when the grant has expired and there is no other.
    pub fn mark_sent(&self) -> Result<(), Reply> {
        let (Some(account), State::Held(ticket)) = (self.account.get(), self.state.get()) else {
            return Ok(());
        };
        let now = Ms::now();
        let shard = self.proxy.quota.shard(self.proxy.quota_shard(account));
        let ticket = shard.with_holding(account, |holding| {
            if ticket.is_valid(now) {
                holding.mark_sent(ticket);
                return Some(ticket);
            }
            holding.give_back(ticket);
            let fresh = holding.take(now)?;
            holding.mark_sent(fresh);
            Some(fresh)
        });
        let Some(ticket) = ticket else {
            self.state.set(State::None);
            record(self.proxy, account, false);
            return Err(over_rate(EXPIRED_RETRY_MS));
        };
        self.state.set(State::Sent(ticket));
        Ok(())
    }

    /// Records the reply of the member; `None` when the connection was lost.
    pub fn record_reply(&self, reply: Option<&Reply>) {
        let (Some(account), State::Sent(ticket)) = (self.account.get(), self.state.get()) else {
            return;
        };
        let kind = reply.and_then(Reply::error_kind);
        let shard = self.proxy.quota.shard(self.proxy.quota_shard(account));
        if kind.is_some_and(ErrorKind::is_not_run) {
            shard.with_holding(account, |h| h.mark_not_run(ticket));
            self.state.set(State::Held(ticket));
        } else {
            shard.with_holding(account, |h| h.mark_used(ticket));
            self.state.set(State::Spent);
        }
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        let Some(account) = self.account.get() else {
            return;
        };
        let shard = || self.proxy.quota.shard(self.proxy.quota_shard(account));
        match self.state.get() {
            State::None | State::Spent => {}
            State::Held(ticket) => shard().with_holding(account, |h| h.give_back(ticket)),
            State::Sent(ticket) => shard().with_holding(account, |h| h.mark_used(ticket)),
        }
    }
}

/// The refusal of an operation for its account's rate.
pub fn over_rate(retry_ms: u64) -> Reply {
    let text = format!("over the account's rate, again in {retry_ms} ms");
    Reply::error(ErrorKind::Busy, &text)
}

/// Counts an operation in the metrics of its account.
fn record(proxy: &Proxy, account: AccountKey, admitted: bool) {
    let mut busiest = proxy.quota.busiest.borrow_mut();
    let has_label = busiest.record(account);
    let labels = |name: &str| AccountLabels {
        account: name.to_owned(),
    };
    let stats = &proxy.stats;
    for account in busiest.rank() {
        let labels = labels(&proxy.accounts.name(account));
        stats.quota_admitted.remove(&labels);
        stats.quota_refused.remove(&labels);
    }
    let name = proxy.accounts.name(account);
    let labels = labels(if has_label { &name } else { OTHER_ACCOUNTS });
    let family = if admitted {
        &stats.quota_admitted
    } else {
        &stats.quota_refused
    };
    family.get_or_create(&labels).inc();
}
