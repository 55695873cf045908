//! Wait queue of a group: statements that wait for a connection, and how connections are assigned.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::{Ms, Signal};

use super::Group;
use crate::routing::{Requirement, cost, is_expected_to_contain, may_contain};
use crate::{Conn, Member, Rank, predicted_wait};

/// A statement that waits for a connection.
pub(super) struct Waiter {
    rank: Rank,
    need: Requirement,
    /// Members that have already failed to run the statement.
    excluded: Vec<Box<str>>,
    /// Connection assigned by `dispatch`.
    assigned: RefCell<Option<Conn>>,
    ready: Signal,
}

/// Why a statement got no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The predicted wait exceeds the deadline of the statement.
    Full,
    /// The deadline has passed.
    Late,
    /// No primary is usable, nor expected to be soon.
    NoPrimary,
}

impl Group {
    pub(super) fn is_eligible(&self, member: &Member, need: Requirement, now: Ms) -> bool {
        match need {
            Requirement::Primary(arrival) => {
                let lease = self.lease();
                lease >= arrival && lease > now && self.primary().is_some_and(|p| p.id == member.id)
            }
            Requirement::Member(key) => member.key == key,
            Requirement::Contains(pos) => {
                member.is_serving()
                    && may_contain(member, pos, now)
                    && member.full_until.get() <= now
            }
        }
    }

    /// Acquires a connection to an eligible member, in the order of the wait queue.
    ///
    /// # Errors
    /// The reason for which there is none.
    pub async fn acquire(
        &self,
        need: Requirement,
        rank: Rank,
        excluded: Vec<Box<str>>,
    ) -> Result<Conn, Refusal> {
        if let Some(conn) = self.take_idle(need, &excluded).await {
            return Ok(conn);
        }
        let now = Ms::now();
        if rank.deadline <= now {
            return Err(Refusal::Late);
        }
        if matches!(need, Requirement::Primary(_)) && self.is_primary_unavailable() {
            return Err(Refusal::NoPrimary);
        }
        if self.estimated_wait(need, &rank, now)
            > f64::from(u32::try_from(rank.deadline.left()).unwrap_or(u32::MAX))
        {
            return Err(Refusal::Full);
        }
        let waiter = Rc::new(Waiter {
            rank,
            need,
            excluded,
            assigned: RefCell::default(),
            ready: Signal::default(),
        });
        self.waiters.borrow_mut().push(waiter.clone());
        let _guard = WaiterGuard(self, waiter.clone());
        self.open_for(need);
        let seen = waiter.ready.generation();
        let wait = Duration::from_millis(rank.deadline.left());
        let _ = monoio::time::timeout(wait, waiter.ready.wait_past(seen)).await;
        let assigned = waiter.assigned.borrow_mut().take();
        assigned.ok_or(Refusal::Late)
    }

    /// Predicted wait of a statement, in ms.
    fn estimated_wait(&self, need: Requirement, rank: &Rank, now: Ms) -> f64 {
        let waiters = self.waiters.borrow();
        let before = |w: &&Rc<Waiter>| w.rank.key(now) <= rank.key(now);
        let same = |w: &&Rc<Waiter>| {
            !matches!(w.need, Requirement::Contains(_)) || matches!(need, Requirement::Contains(_))
        };
        let ahead = waiters.iter().filter(before).filter(same).count();
        let members = self.members.borrow();
        let counts = |m: &&Rc<Member>| match need {
            Requirement::Contains(pos) => is_expected_to_contain(m, pos, now),
            Requirement::Primary(_) | Requirement::Member(_) => true,
        };
        let fitting = members.iter().filter(|m| self.is_eligible(m, need, now));
        let fitting = fitting.filter(counts);
        let (mut conns, mut service) = (0, 0.0_f64);
        for member in fitting {
            conns += member.open_conns.get();
            service = service.max(member.mean_latency(now));
        }
        predicted_wait(ahead, conns, service)
    }

    /// Takes an idle connection to the cheapest eligible member.
    async fn take_idle(&self, need: Requirement, excluded: &[Box<str>]) -> Option<Conn> {
        loop {
            let now = Ms::now();
            let best = {
                let members = self.members.borrow();
                let eligible = members.iter().filter(|m| {
                    !m.idle_conns.borrow().is_empty()
                        && !excluded.contains(&m.id)
                        && self.is_eligible(m, need, now)
                });
                eligible
                    .min_by(|a, b| {
                        cost(a, &self.data_center, now).total_cmp(&cost(b, &self.data_center, now))
                    })
                    .cloned()
            };
            let best = best?;
            let Some(mut conn) = pop_idle(&best, need) else {
                continue;
            };
            if conn.is_quiet().await {
                return Some(conn);
            }
        }
    }

    /// Releases a connection; it is assigned to the first waiter for which it is eligible.
    pub fn release(&self, mut conn: Conn) {
        let member = conn.member.clone();
        if member.removed.get() {
            return;
        }
        conn.idle_since = Ms::now();
        member.idle_conns.borrow_mut().push(conn);
        self.dispatch();
    }

    /// Assigns idle connections to waiters, in the order of their rank.
    pub fn dispatch(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now = Ms::now();
        let mut order = self.waiters.borrow().clone();
        order.sort_by_key(|w| w.rank.key(now));
        let members = self.members.borrow().clone();
        for waiter in order {
            if waiter.assigned.borrow().is_some() {
                continue;
            }
            let eligible = members.iter().filter(|m| {
                !m.idle_conns.borrow().is_empty()
                    && !waiter.excluded.contains(&m.id)
                    && self.is_eligible(m, waiter.need, now)
            });
            let best = eligible.min_by(|a, b| {
                cost(a, &self.data_center, now).total_cmp(&cost(b, &self.data_center, now))
            });
            let Some(best) = best else { continue };
            *waiter.assigned.borrow_mut() = pop_idle(best, waiter.need);
            self.waiters
                .borrow_mut()
                .retain(|w| !Rc::ptr_eq(w, &waiter));
            waiter.ready.notify();
        }
    }

    /// Number of waiting statements.
    pub fn queue_len(&self) -> usize {
        self.waiters.borrow().len()
    }
}

/// Takes the idle connection released last, or, for control commands of the daemon itself, the one
/// opened first: a probe result is linked to the previous one only if its connection is older than
/// that result.
fn pop_idle(member: &Member, need: Requirement) -> Option<Conn> {
    let mut idle = member.idle_conns.borrow_mut();
    let Requirement::Member(_) = need else {
        return idle.pop();
    };
    let oldest = idle
        .iter()
        .enumerate()
        .min_by_key(|(_, conn)| conn.opened_at);
    let i = oldest.map(|(i, _)| i)?;
    Some(idle.remove(i))
}

/// Drop guard that removes a waiter from the queue and releases a connection that was not used.
struct WaiterGuard<'a>(&'a Group, Rc<Waiter>);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let waiter = &self.1;
        self.0
            .waiters
            .borrow_mut()
            .retain(|w| !Rc::ptr_eq(w, waiter));
        if let Some(conn) = waiter.assigned.borrow_mut().take() {
            self.0.release(conn);
        }
    }
}
