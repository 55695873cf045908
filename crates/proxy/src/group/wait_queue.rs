//! Wait queue of a group: statements that wait for a connection, and how connections are assigned.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::{Ms, Signal};

use super::Group;
use crate::routing::{Requirement, cost};
use crate::{Conn, Member, Rank, predicted_wait};

/// A statement that waits for a connection.
pub(super) struct Waiter {
    rank: Rank,
    requirement: Requirement,
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
    /// Whether a member may run a statement with this requirement now.
    pub(super) fn is_eligible(&self, member: &Member, requirement: Requirement, now: Ms) -> bool {
        match requirement {
            Requirement::Primary(arrival) => {
                let until = self.primary_until();
                until >= arrival && until > now && self.primary().is_some_and(|p| p.id == member.id)
            }
            Requirement::Member(key) => member.key == key,
            Requirement::Contains(pos) => {
                let pos = self.on_branch(pos);
                member.is_serving()
                    && member.may_contain(pos, now)
                    && member.full_until.get() <= now
            }
        }
    }

    /// Acquires a connection to an eligible member: an idle one, or else one that `dispatch`
    /// assigns in the order of the wait queue.
    ///
    /// # Errors
    /// Why the statement gets no connection.
    pub async fn acquire(
        &self,
        requirement: Requirement,
        rank: Rank,
        excluded: Vec<Box<str>>,
    ) -> Result<Conn, Refusal> {
        if let Some(conn) = self.take_idle(requirement, &excluded).await {
            return Ok(conn);
        }
        let now = Ms::now();
        if rank.deadline <= now {
            return Err(Refusal::Late);
        }
        if matches!(requirement, Requirement::Primary(_)) && self.is_primary_unavailable() {
            return Err(Refusal::NoPrimary);
        }
        if self.estimated_wait(requirement, &rank, now)
            > f64::from(u32::try_from(rank.deadline.left()).unwrap_or(u32::MAX))
        {
            return Err(Refusal::Full);
        }
        let waiter = Rc::new(Waiter {
            rank,
            requirement,
            excluded,
            assigned: RefCell::default(),
            ready: Signal::default(),
        });
        self.waiters.borrow_mut().push(waiter.clone());
        let _guard = WaiterGuard(self, waiter.clone());
        self.open_for(requirement);
        let seen = waiter.ready.generation();
        let wait = Duration::from_millis(rank.deadline.left());
        let _ = monoio::time::timeout(wait, waiter.ready.wait_past(seen)).await;
        let assigned = waiter.assigned.borrow_mut().take();
        assigned.ok_or(Refusal::Late)
    }

    /// Predicted wait of a statement, in ms. Waiting reads that any member may serve count only for
    /// other such reads.
    fn estimated_wait(&self, requirement: Requirement, rank: &Rank, now: Ms) -> f64 {
        let waiters = self.waiters.borrow();
        let before = |w: &&Rc<Waiter>| w.rank.key(now) <= rank.key(now);
        let competes = |w: &&Rc<Waiter>| {
            !matches!(w.requirement, Requirement::Contains(_))
                || matches!(requirement, Requirement::Contains(_))
        };
        let ahead = waiters.iter().filter(before).filter(competes).count();
        let members = self.members.borrow();
        let is_expected = |m: &&Rc<Member>| match requirement {
            Requirement::Contains(pos) => m.is_expected_to_contain(self.on_branch(pos), now),
            Requirement::Primary(_) | Requirement::Member(_) => true,
        };
        let eligible = members
            .iter()
            .filter(|m| self.is_eligible(m, requirement, now));
        let eligible = eligible.filter(is_expected);
        let (mut conns, mut service_ms) = (0, 0.0_f64);
        for member in eligible {
            conns += member.open_conns.get();
            service_ms = service_ms.max(member.mean_latency(now));
        }
        predicted_wait(ahead, conns, service_ms)
    }

    /// Takes an idle connection to the cheapest eligible member.
    async fn take_idle(&self, requirement: Requirement, excluded: &[Box<str>]) -> Option<Conn> {
        loop {
            let now = Ms::now();
            let best = {
                let members = self.members.borrow();
                let eligible = members.iter().filter(|m| {
                    !m.idle_conns.borrow().is_empty()
                        && !excluded.contains(&m.id)
                        && self.is_eligible(m, requirement, now)
                });
                eligible
                    .min_by(|a, b| {
                        cost(a, &self.data_center, now).total_cmp(&cost(b, &self.data_center, now))
                    })
                    .cloned()
            };
            let best = best?;
            let Some(mut conn) = pop_idle(&best, requirement) else {
                continue;
            };
            if conn.is_reusable().await {
                return Some(conn);
            }
        }
    }

    /// Returns a connection to the pool, from where it may be assigned to a waiter; closes it if
    /// its member was removed.
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
                    && self.is_eligible(m, waiter.requirement, now)
            });
            let best = eligible.min_by(|a, b| {
                cost(a, &self.data_center, now).total_cmp(&cost(b, &self.data_center, now))
            });
            let Some(best) = best else { continue };
            *waiter.assigned.borrow_mut() = pop_idle(best, waiter.requirement);
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
fn pop_idle(member: &Member, requirement: Requirement) -> Option<Conn> {
    let mut idle = member.idle_conns.borrow_mut();
    let Requirement::Member(_) = requirement else {
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
