//! Connections of client accounts: what `conn_budget` decides on is collected and carried out here.

use std::rc::Rc;

use base::Ms;

use super::opener::Opener;
use super::wait_queue::Waiter;
use super::{ConnRequest, Group};
use crate::routing::cost;
use crate::{AccountKey, Conn, ConnBudget, ConnKey, ConnStep, Member, MemberKey, Purpose};

/// Number of owners assumed before the other daemons are known: the highest.
const MAX_OWNERS: u64 = 8;

impl Group {
    /// What the connections for the statements of a session are for.
    pub(crate) fn statement_purpose(&self, account: Option<AccountKey>) -> Purpose {
        Purpose::Statements(account.filter(|_| self.accounts.in_force()))
    }

    /// Name in which a connection is opened.
    pub(super) fn conn_name(&self, purpose: Purpose) -> Rc<str> {
        match purpose {
            Purpose::Statements(Some(account)) => self.accounts.name(account),
            Purpose::Statements(None) | Purpose::Control => Rc::from(&*self.vm),
        }
    }

    fn budget(&self, member: &Member) -> ConnBudget {
        let owners = self.owner_set.borrow();
        let slots = member.record.borrow().slots;
        ConnBudget {
            limit: self.rule.borrow().conns,
            used: member.used_conns(),
            growth: member.conn_growth(),
            owners: owners.as_ref().map_or(MAX_OWNERS, |o| o.count),
            stands_in: owners.as_ref().is_some_and(|o| !o.is_owner()),
            slots,
            // After a refusal, one opening at a time shows whether there is room again.
            max_opening: if member.refusals.get() > 0 { 1 } else { slots },
            retry_at: member.retry_at.get(),
        }
    }

    /// Purposes of the waiting statements of accounts that have more connections than they may have
    /// while others wait; these others go first.
    pub(super) fn waiters_over_limit(&self, waiters: &[Rc<Waiter>]) -> Vec<Purpose> {
        let mut over_limit = Vec::new();
        if !self.accounts.in_force() {
            return over_limit;
        }
        for purpose in waiters.iter().map(|w| w.request.purpose) {
            let Purpose::Statements(account) = purpose else {
                continue;
            };
            let members = self.members.borrow();
            let is_over = |m: &Rc<Member>| {
                let budget = self.budget(m);
                budget.is_over_account_limit(&m.conns.borrow(), account)
            };
            if !over_limit.contains(&purpose) && members.iter().any(is_over) {
                over_limit.push(purpose);
            }
        }
        over_limit
    }

    /// Whether a statement without an idle connection lacks one of its account, and not just a free
    /// slot of a member.
    pub(super) fn lacks_conn(&self, request: &ConnRequest, now: Ms) -> bool {
        let Purpose::Statements(account) = request.purpose else {
            return false;
        };
        let members = self.members.borrow();
        let mut eligible = members
            .iter()
            .filter(|m| self.may_run(m, request, now))
            .peekable();
        let fills_slots = |m: &Rc<Member>| {
            let conns = m.conns.borrow();
            self.budget(m).fills_slots(&conns, account)
        };
        self.accounts.in_force() && eligible.peek().is_some() && !eligible.any(fills_slots)
    }

    /// Opens a connection for a waiter to which no idle one could be assigned, unless one is being
    /// opened that it can wait for.
    pub(super) fn open_for_waiter(
        &self,
        members: &[Rc<Member>],
        waiter: &Waiter,
        opener: &mut Opener,
        now: Ms,
    ) {
        let request = &waiter.request;
        let Purpose::Statements(account) = request.purpose else {
            return;
        };
        let eligible = members.iter().filter(|m| self.may_run(m, request, now));
        let mut eligible: Vec<Rc<Member>> = eligible.cloned().collect();
        eligible.sort_by(|a, b| {
            cost(a, &self.data_center, now).total_cmp(&cost(b, &self.data_center, now))
        });
        waiter.waits_for_conn.set(self.lacks_conn(request, now));
        if self.is_gone(account) || opener.claim(&eligible, request.purpose) {
            return;
        }
        let others_wait = opener.is_other_wanted(request.purpose);
        if let Some(member) = self.open_for_account(&eligible, account, others_wait, now) {
            opener.add_claim(member, request.purpose);
        }
    }

    /// Opens a connection of an account to one of the members, the cheapest first; one without an
    /// eviction is preferred. Returns the member.
    fn open_for_account(
        &self,
        members: &[Rc<Member>],
        account: Option<AccountKey>,
        others_wait: bool,
        now: Ms,
    ) -> Option<MemberKey> {
        let steps = members.iter().map(|member| {
            let budget = self.budget(member);
            let step = budget.next_step(&member.conns.borrow(), account, others_wait, now);
            (member, step)
        });
        let steps: Vec<_> = steps.collect();
        let opens = steps.iter().find(|(_, step)| *step == ConnStep::Open);
        let evicts = || {
            let mut steps = steps.iter();
            steps.find(|(_, step)| matches!(step, ConnStep::Evict(_)))
        };
        let (member, step) = opens.or_else(evicts)?;
        if let ConnStep::Evict(victim) = step {
            close(member, &[*victim]);
        }
        self.open(member, Purpose::Statements(account));
        Some(member.key)
    }

    /// Whether a statement cannot expect a connection of its account before its deadline. `ahead` are
    /// the requests that go first.
    pub(super) fn is_conn_out_of_reach(
        &self,
        request: &ConnRequest,
        ahead: &[Purpose],
        now: Ms,
    ) -> bool {
        let Purpose::Statements(account) = request.purpose else {
            return false;
        };
        if self.is_gone(account) {
            return true;
        }
        if !self.accounts.in_force() {
            return false;
        }
        let same = ahead.iter().filter(|p| **p == request.purpose).count();
        let mut others: Vec<Purpose> = ahead.to_vec();
        others.sort_unstable();
        others.dedup();
        let wait_ms = |m: &Rc<Member>| {
            let (budget, conns) = (self.budget(m), m.conns.borrow());
            let has_own = conns.iter().any(|c| c.is_of(account));
            let is_possible = budget.next_step(&conns, account, true, now) != ConnStep::Wait;
            if is_possible && ahead.is_empty() {
                return 0.0;
            }
            let ahead = if has_own { same } else { others.len() };
            budget.expected_wait_ms(&conns, account, ahead, m.hold_ms(), now)
        };
        let members = self.members.borrow();
        let eligible = members.iter().filter(|m| self.may_run(m, request, now));
        let Some(wait_ms) = eligible.map(wait_ms).min_by(f64::total_cmp) else {
            return false;
        };
        let left = request.rank.deadline.0.saturating_sub(now.0);
        wait_ms > f64::from(u32::try_from(left).unwrap_or(u32::MAX))
    }

    /// Closes connections of a member that are above this daemon's share, or hardly used.
    pub(super) fn trim_by_account(&self, member: &Member) {
        let surplus = {
            let conns = member.conns.borrow();
            self.budget(member).surplus(&conns, Ms::now())
        };
        close(member, &surplus);
        self.trim_control_conns(member);
    }

    /// Closes the idle connections above this daemon's share, after a member has refused another one.
    pub(super) fn give_back(&self, member: &Member) {
        if !self.accounts.in_force() {
            return;
        }
        let above = {
            let conns = member.conns.borrow();
            self.budget(member).above_share(&conns, 0, Ms::now())
        };
        close(member, &above);
    }

    /// Whether this daemon has more connections to a member than its share.
    pub(crate) fn is_above_share(&self, member: &Member) -> bool {
        let conns = member.conns.borrow();
        self.accounts.in_force() && self.budget(member).is_above_share(&conns)
    }

    /// Closes the idle connections that no longer fit, after the accounts have changed. Those for
    /// public routes are opened again when they are needed.
    pub(crate) fn on_accounts_replaced(&self) {
        for member in self.members.borrow().iter() {
            let mut idle = std::mem::take(&mut *member.idle_conns.borrow_mut());
            idle.sort_by_key(|conn| conn.opened_at);
            for conn in &idle {
                self.fit(conn);
            }
            let in_force = self.accounts.in_force();
            idle.retain(|conn| {
                let is_public = in_force && conn.purpose() == Purpose::Statements(None);
                self.is_fit(conn) && !is_public
            });
            idle.sort_by_key(|conn| conn.idle_since);
            member.idle_conns.replace(idle);
        }
        self.dispatch();
    }

    /// Keeps a connection in the name of the VM for control commands if one is missing, so that the
    /// lease stays linked while accounts come into force or are taken out.
    pub(super) fn fit(&self, conn: &Conn) {
        let is_needed = self.accounts.in_force() && self.lacks_control_conn(&conn.member);
        match conn.purpose() {
            Purpose::Statements(None) if is_needed => conn.set_purpose(Purpose::Control),
            Purpose::Control if !self.accounts.in_force() => {
                conn.set_purpose(Purpose::Statements(None));
            }
            _ => {}
        }
    }

    /// Whether a connection is for something that exists.
    pub(super) fn is_fit(&self, conn: &Conn) -> bool {
        match conn.purpose() {
            Purpose::Statements(account) => !self.is_gone(account),
            Purpose::Control => true,
        }
    }

    /// Whether an account is not in the configuration in force, so that no connection is opened in
    /// its name.
    pub(super) fn is_gone(&self, account: Option<AccountKey>) -> bool {
        account.is_some_and(|a| !self.accounts.in_force() || !self.accounts.is_known(a))
    }
}

/// Closes idle connections to a member.
fn close(member: &Member, keys: &[ConnKey]) {
    let mut idle = member.idle_conns.borrow_mut();
    idle.retain(|conn| !keys.contains(&conn.key()));
}
