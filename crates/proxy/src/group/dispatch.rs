//! Assigns connections to the statements of a group: idle ones on arrival, released ones in the order
//! of the wait queue.

use std::rc::Rc;

use base::Ms;

use super::opener::Opener;
use super::queue_stats::Class;
use super::wait_queue::Waiter;
use super::{ConnRequest, Group};
use crate::routing::{Requirement, cost};
use crate::{Conn, Member};

impl Group {
    /// Takes an idle connection to the cheapest eligible member.
    pub(super) async fn take_idle(&self, request: &ConnRequest) -> Option<Conn> {
        loop {
            let now = Ms::now();
            let best = self.cheapest_idle(&self.members.borrow(), request, now)?;
            let mut conn = pop_idle(&best, request)?;
            if conn.is_reusable().await {
                return Some(conn);
            }
        }
    }

    /// The cheapest eligible member to which there is an idle connection for a request.
    fn cheapest_idle(
        &self,
        members: &[Rc<Member>],
        request: &ConnRequest,
        now: Ms,
    ) -> Option<Rc<Member>> {
        let has_idle = |m: &Member| {
            let idle = m.idle_conns.borrow();
            idle.iter().any(|c| c.purpose() == request.purpose)
        };
        let eligible = members
            .iter()
            .filter(|m| has_idle(m) && self.may_run(m, request, now));
        let cheapest = eligible.min_by(|a, b| {
            cost(a, &self.data_center, now).total_cmp(&cost(b, &self.data_center, now))
        });
        cheapest.cloned()
    }

    /// Whether a member may run the statement of a request now.
    pub(super) fn may_run(&self, member: &Member, request: &ConnRequest, now: Ms) -> bool {
        !request.excluded.contains(&member.id) && self.is_eligible(member, request.requirement, now)
    }

    /// Returns a connection to the pool, from where it may be assigned to a waiter; closes it if
    /// its member was removed, or if it serves an account that is gone.
    pub fn release(&self, mut conn: Conn) {
        let member = conn.member.clone();
        if member.removed.get() {
            return;
        }
        let now = Ms::now();
        conn.on_released(now);
        self.fit(&conn);
        if self.is_fit(&conn) {
            member.idle_conns.borrow_mut().push(conn);
        } else {
            drop(conn);
        }
        self.dispatch();
    }

    /// Assigns idle connections to waiters: to control commands first, since the lease depends on
    /// them, then in the order of their rank. Where client accounts are in force, opens connections
    /// for the statements that remain.
    pub fn dispatch(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now = Ms::now();
        let mut order = self.waiters.borrow().clone();
        let over_limit = self.waiters_over_limit(&order);
        order.sort_by_cached_key(|w| {
            let is_over_limit = over_limit.contains(&w.request.purpose);
            let is_statement = w.class.get() != Class::Control;
            (is_statement, is_over_limit, w.request.rank.key(now))
        });
        let members = self.members.borrow().clone();
        let mut opener = Opener::new(&order);
        // In one pass: a statement that goes first may have an idle connection of another account
        // closed before one that goes later takes it.
        for waiter in order {
            if waiter.result.borrow().is_some() || self.assign_idle(&members, &waiter, now) {
                continue;
            }
            if self.accounts.in_force() {
                self.open_for_waiter(&members, &waiter, &mut opener, now);
            }
        }
        self.update_busy(now);
    }

    /// Assigns an idle connection to a waiter; returns whether there was one.
    fn assign_idle(&self, members: &[Rc<Member>], waiter: &Rc<Waiter>, now: Ms) -> bool {
        let best = self.cheapest_idle(members, &waiter.request, now);
        let Some(conn) = best.and_then(|best| pop_idle(&best, &waiter.request)) else {
            return false;
        };
        self.queue_stats.update(waiter.class.get(), |t| {
            t.record_service(waiter.service_ms, now);
        });
        self.settle(waiter, Ok(conn));
        true
    }
}

/// Takes the idle connection released last, or, for control commands of the daemon itself, the one
/// opened first: a probe result is linked to the previous one only if its connection is older than
/// that result.
fn pop_idle(member: &Member, request: &ConnRequest) -> Option<Conn> {
    let mut idle = member.idle_conns.borrow_mut();
    let usable = || {
        let conns = idle.iter().enumerate();
        conns.filter(|(_, conn)| conn.purpose() == request.purpose)
    };
    let chosen = match request.requirement {
        Requirement::Member(_) => usable().min_by_key(|(_, conn)| conn.opened_at),
        _ => usable().last(),
    };
    let i = chosen.map(|(i, _)| i)?;
    let conn = idle.remove(i);
    conn.on_taken(Ms::now());
    Some(conn)
}
