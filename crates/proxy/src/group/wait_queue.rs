//! Wait queue of a group: statements that wait for a connection, and how connections are assigned.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::{Ms, Signal};

use super::Group;
use super::queue_stats::Class;
use super::routes::RouteKey;
use crate::routing::{Requirement, cost};
use crate::{Conn, Member, Rank, is_servable};

/// A statement that waits for a connection.
pub(super) struct Waiter {
    rank: Rank,
    requirement: Requirement,
    /// Slot time that the statement takes, in ms.
    service_ms: f64,
    /// As of the arrival or the latest `refuse_hopeless`.
    class: Cell<Class>,
    /// Members that have already failed to run the statement.
    excluded: Vec<Box<str>>,
    /// Set by `dispatch` or `refuse_hopeless`.
    result: RefCell<Option<Result<Conn, Refusal>>>,
    ready: Signal,
}

/// Why a statement got no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The statement is not expected to be served in time.
    Full,
    /// The deadline has passed.
    Late,
    /// No primary is usable, nor expected to be soon.
    NoPrimary,
}

impl Group {
    /// The class of a statement as long as the replicas are where they are.
    fn class(&self, requirement: Requirement, now: Ms) -> Class {
        let pos = match requirement {
            Requirement::Primary(_) => return Class::Primary,
            Requirement::Member(_) => return Class::Control,
            Requirement::Contains(pos) => self.on_branch(pos),
        };
        let primary = self.primary();
        let can_serve = |m: &Rc<Member>| {
            let is_primary = primary.as_ref().is_some_and(|p| p.key == m.key);
            !is_primary && m.is_serving() && m.is_expected_to_contain(pos, now)
        };
        if self.members.borrow().iter().any(can_serve) {
            Class::Any
        } else {
            Class::Primary
        }
    }

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
    /// assigns in the order of the wait queue. `route` is `None` for control commands; `is_new` is
    /// false for a statement that is tried again.
    ///
    /// # Errors
    /// Why the statement gets no connection.
    pub async fn acquire(
        &self,
        requirement: Requirement,
        rank: Rank,
        route: Option<RouteKey>,
        excluded: Vec<Box<str>>,
        is_new: bool,
    ) -> Result<Conn, Refusal> {
        let class = self.class(requirement, Ms::now());
        if let Some(route) = route.filter(|_| is_new) {
            self.queue_stats.record_arrival(class, route, Ms::now());
        }
        let service_ms = route.map_or(0.0, |route| self.route_cost(route).1);
        if let Some(conn) = self.take_idle(requirement, &excluded).await {
            self.queue_stats.update(class, |t| {
                t.record_arrival(is_new, Ms::now());
                t.record_service(service_ms, Ms::now());
            });
            return Ok(conn);
        }
        let now = Ms::now();
        if rank.deadline <= now {
            return Err(Refusal::Late);
        }
        if matches!(requirement, Requirement::Primary(_)) && self.is_primary_unavailable() {
            return Err(Refusal::NoPrimary);
        }
        let is_admitted = route.filter(|_| is_new).is_none_or(|route| {
            let cost = |route| self.route_cost(route);
            self.queue_stats.admit(class, route, cost, now)
        });
        if !is_admitted || !self.is_servable(requirement, class, &rank, now) {
            return Err(Refusal::Full);
        }
        let waiter = Rc::new(Waiter {
            rank,
            requirement,
            service_ms,
            class: Cell::new(class),
            excluded,
            result: RefCell::default(),
            ready: Signal::default(),
        });
        self.waiters.borrow_mut().push(waiter.clone());
        self.queue_stats
            .update(class, |t| t.record_arrival(is_new, now));
        self.update_busy(now);
        let _guard = WaiterGuard(self, waiter.clone());
        self.open_for(requirement);
        let seen = waiter.ready.generation();
        let wait = Duration::from_millis(rank.deadline.left());
        let _ = monoio::time::timeout(wait, waiter.ready.wait_past(seen)).await;
        let result = waiter.result.borrow_mut().take();
        result.unwrap_or(Err(Refusal::Late))
    }

    /// Records that a member turned away a statement that had got a connection.
    pub fn on_rejected(&self, requirement: Requirement) {
        let now = Ms::now();
        self.queue_stats
            .update(self.class(requirement, now), |t| t.record_rejection(now));
    }

    /// Records for each class whether statements are waiting. Those for a primary that cannot be
    /// used now say nothing about its capacity.
    fn update_busy(&self, now: Ms) {
        let waiters = self.waiters.borrow();
        let is_waiting = |class: Class| waiters.iter().any(|w| w.class.get() == class);
        let has_primary = self.primary_until() > now;
        let primary = has_primary && is_waiting(Class::Primary);
        let any = is_waiting(Class::Any);
        self.queue_stats
            .update(Class::Primary, |t| t.set_busy(primary, now));
        self.queue_stats
            .update(Class::Any, |t| t.set_busy(any, now));
    }

    /// Whether a statement is expected to be served in time.
    fn is_servable(&self, requirement: Requirement, class: Class, rank: &Rank, now: Ms) -> bool {
        let key = rank.key(now);
        let ahead = {
            let waiters = self.waiters.borrow();
            let competing = waiters.iter().filter(|w| w.class.get() == class);
            competing.filter(|w| w.rank.key(now) < key).count()
        };
        let Some(load) = self.queue_stats.load(class, now) else {
            return true;
        };
        is_servable(rank, ahead, load, self.service_ms(requirement, now), now)
    }

    /// Mean latency of the fastest eligible member, in ms; 0 if there is none.
    fn service_ms(&self, requirement: Requirement, now: Ms) -> f64 {
        let members = self.members.borrow();
        let eligible = members
            .iter()
            .filter(|m| self.is_eligible(m, requirement, now));
        let latencies = eligible.map(|m| m.mean_latency(now));
        latencies.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Refuses the waiting statements that are not expected to be served in time any more.
    pub fn refuse_hopeless(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now = Ms::now();
        self.update_busy(now);
        let unavailable = self.is_primary_unavailable();
        let waiters = self.waiters.borrow().clone();
        for waiter in &waiters {
            waiter.class.set(self.class(waiter.requirement, now));
        }
        for waiter in waiters {
            let class = waiter.class.get();
            let needs_primary = matches!(waiter.requirement, Requirement::Primary(_));
            let refusal = if needs_primary && unavailable {
                Refusal::NoPrimary
            } else if self.is_servable(waiter.requirement, class, &waiter.rank, now) {
                continue;
            } else {
                Refusal::Full
            };
            self.queue_stats.update(class, |t| t.record_departure(now));
            self.settle(&waiter, Err(refusal));
        }
        self.update_busy(now);
    }

    /// Takes a waiter out of the queue with its result.
    fn settle(&self, waiter: &Rc<Waiter>, result: Result<Conn, Refusal>) {
        waiter.result.replace(Some(result));
        self.waiters.borrow_mut().retain(|w| !Rc::ptr_eq(w, waiter));
        waiter.ready.notify();
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

    /// Assigns idle connections to waiters: to control commands first, since the lease depends on
    /// them, then in the order of their rank.
    pub fn dispatch(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now = Ms::now();
        let mut order = self.waiters.borrow().clone();
        order.sort_by_key(|w| (w.class.get() != Class::Control, w.rank.key(now)));
        let members = self.members.borrow().clone();
        for waiter in order {
            if waiter.result.borrow().is_some() {
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
            let Some(conn) = pop_idle(best, waiter.requirement) else {
                continue;
            };
            self.queue_stats.update(waiter.class.get(), |t| {
                t.record_service(waiter.service_ms, now);
            });
            self.settle(&waiter, Ok(conn));
        }
        self.update_busy(now);
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
        if let Some(Ok(conn)) = waiter.result.borrow_mut().take() {
            self.0.release(conn);
        }
    }
}
