//! The statements of a group that wait for a connection, and their turns.

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
    /// Members that were tried in vain.
    avoid: Vec<Box<str>>,
    /// Filled by whoever has a connection to give.
    given: RefCell<Option<Conn>>,
    ready: Signal,
}

/// Why a statement got no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The wait would be longer than the statement's time.
    Full,
    /// The time ran out.
    Late,
    /// No primary can be used, and none soon.
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

    /// Gets a connection to a member that fits, waiting its turn.
    ///
    /// # Errors
    /// Tells why there is none.
    pub async fn acquire(
        &self,
        need: Requirement,
        rank: Rank,
        avoid: Vec<Box<str>>,
    ) -> Result<Conn, Refusal> {
        if let Some(conn) = self.take(need, &avoid).await {
            return Ok(conn);
        }
        let now = Ms::now();
        if rank.deadline <= now {
            return Err(Refusal::Late);
        }
        if matches!(need, Requirement::Primary(_)) && self.is_primary_unavailable() {
            return Err(Refusal::NoPrimary);
        }
        if self.wait_ahead(need, &rank, now)
            > f64::from(u32::try_from(rank.deadline.left()).unwrap_or(u32::MAX))
        {
            return Err(Refusal::Full);
        }
        let waiter = Rc::new(Waiter {
            rank,
            need,
            avoid,
            given: RefCell::default(),
            ready: Signal::default(),
        });
        self.waiters.borrow_mut().push(waiter.clone());
        let _leave = WaiterGuard(self, waiter.clone());
        self.open_for(need);
        let seen = waiter.ready.generation();
        let wait = Duration::from_millis(rank.deadline.left());
        let _ = monoio::time::timeout(wait, waiter.ready.wait_past(seen)).await;
        let given = waiter.given.borrow_mut().take();
        given.ok_or(Refusal::Late)
    }

    fn wait_ahead(&self, need: Requirement, rank: &Rank, now: Ms) -> f64 {
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

    /// Takes an idle connection to the cheapest member that fits.
    async fn take(&self, need: Requirement, avoid: &[Box<str>]) -> Option<Conn> {
        loop {
            let now = Ms::now();
            let best = {
                let members = self.members.borrow();
                let able = members.iter().filter(|m| {
                    !m.idle_conns.borrow().is_empty()
                        && !avoid.contains(&m.id)
                        && self.is_eligible(m, need, now)
                });
                able.min_by(|a, b| {
                    cost(a, &self.data_center, now).total_cmp(&cost(b, &self.data_center, now))
                })
                .cloned()
            };
            let best = best?;
            let Some(mut conn) = pick(&best, need) else {
                continue;
            };
            if conn.is_quiet().await {
                return Some(conn);
            }
        }
    }

    /// Gives a connection back; the first waiter that it fits gets it.
    pub fn release(&self, mut conn: Conn) {
        let member = conn.member.clone();
        if member.removed.get() {
            return;
        }
        conn.idle_since = Ms::now();
        member.idle_conns.borrow_mut().push(conn);
        self.dispatch();
    }

    /// Hands idle connections to waiters, in order.
    pub fn dispatch(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now = Ms::now();
        let mut order = self.waiters.borrow().clone();
        order.sort_by_key(|w| w.rank.key(now));
        let members = self.members.borrow().clone();
        for waiter in order {
            if waiter.given.borrow().is_some() {
                continue;
            }
            let able = members.iter().filter(|m| {
                !m.idle_conns.borrow().is_empty()
                    && !waiter.avoid.contains(&m.id)
                    && self.is_eligible(m, waiter.need, now)
            });
            let best = able.min_by(|a, b| {
                cost(a, &self.data_center, now).total_cmp(&cost(b, &self.data_center, now))
            });
            let Some(best) = best else { continue };
            *waiter.given.borrow_mut() = pick(best, waiter.need);
            self.waiters
                .borrow_mut()
                .retain(|w| !Rc::ptr_eq(w, &waiter));
            waiter.ready.notify();
        }
    }

    /// Statements that wait.
    pub fn queue_len(&self) -> usize {
        self.waiters.borrow().len()
    }
}

/// An idle connection: the one used last, or for the daemon's own questions the one opened first,
/// since only answers on a connection that is older than the former word are linked to it.
fn pick(member: &Member, need: Requirement) -> Option<Conn> {
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

/// Removes a waiter when its statement stops waiting, and gives back what it did not use.
struct WaiterGuard<'a>(&'a Group, Rc<Waiter>);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let waiter = &self.1;
        self.0
            .waiters
            .borrow_mut()
            .retain(|w| !Rc::ptr_eq(w, waiter));
        if let Some(conn) = waiter.given.borrow_mut().take() {
            self.0.release(conn);
        }
    }
}
