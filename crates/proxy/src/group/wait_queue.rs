//! Wait queue of a group: statements that wait for a connection, and which of them are refused.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::{Ms, Signal};

use super::Group;
use super::queue_stats::Class;
use super::routes::RouteKey;
use crate::routing::Requirement;
use crate::{Conn, Member, Purpose, Rank, is_servable};

/// What a statement or a control command needs a connection for.
pub struct ConnRequest {
    pub requirement: Requirement,
    /// What the connection must be for.
    pub purpose: Purpose,
    pub rank: Rank,
    /// `None` for control commands.
    pub route: Option<RouteKey>,
    /// Members that have already failed to run the statement.
    pub excluded: Vec<Box<str>>,
    /// False for a statement that is tried again.
    pub is_new: bool,
}

/// A statement that waits for a connection.
pub(super) struct Waiter {
    pub(super) request: ConnRequest,
    /// Slot time that the statement takes, in ms.
    pub(super) service_ms: f64,
    /// As of the arrival or the latest `refuse_hopeless`.
    pub(super) class: Cell<Class>,
    /// Whether it waits for a connection of its account, and not for a slot; as of the latest
    /// `dispatch`.
    pub(super) waits_for_conn: Cell<bool>,
    /// Set by `dispatch` or `refuse_hopeless`.
    pub(super) result: RefCell<Option<Result<Conn, Refusal>>>,
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
    /// No connection of the statement's account is expected to be free in time.
    NoConn,
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
    /// assigns in the order of the wait queue.
    ///
    /// # Errors
    /// Why the statement gets no connection.
    pub async fn acquire(&self, request: ConnRequest) -> Result<Conn, Refusal> {
        let (rank, is_new) = (request.rank, request.is_new);
        let class = self.class(request.requirement, Ms::now());
        if let Some(route) = request.route.filter(|_| is_new) {
            self.queue_stats.record_arrival(class, route, Ms::now());
        }
        let service_ms = request.route.map_or(0.0, |route| self.route_cost(route).1);
        if let Some(conn) = self.take_idle(&request).await {
            self.queue_stats.update(class, |t| {
                t.record_arrival(is_new, Ms::now());
                t.record_service(service_ms, Ms::now());
            });
            return Ok(conn);
        }
        let now = Ms::now();
        self.check_arrival(&request, class, now)?;
        let requirement = request.requirement;
        let waiter = Rc::new(Waiter {
            request,
            service_ms,
            class: Cell::new(class),
            waits_for_conn: Cell::new(false),
            result: RefCell::default(),
            ready: Signal::default(),
        });
        self.waiters.borrow_mut().push(waiter.clone());
        self.queue_stats
            .update(class, |t| t.record_arrival(is_new, now));
        let _guard = WaiterGuard(self, waiter.clone());
        let seen = waiter.ready.generation();
        if self.accounts.in_force() {
            self.dispatch();
        } else {
            self.update_busy(now);
            self.open_for(requirement);
        }
        let wait = Duration::from_millis(rank.deadline.left());
        let _ = monoio::time::timeout(wait, waiter.ready.wait_past(seen)).await;
        let result = waiter.result.borrow_mut().take();
        let late = if waiter.waits_for_conn.get() {
            Refusal::NoConn
        } else {
            Refusal::Late
        };
        result.unwrap_or(Err(late))
    }

    /// Whether a new statement may wait.
    ///
    /// # Errors
    /// Why it is refused at once.
    fn check_arrival(&self, request: &ConnRequest, class: Class, now: Ms) -> Result<(), Refusal> {
        if request.rank.deadline <= now {
            return Err(Refusal::Late);
        }
        let needs_primary = matches!(request.requirement, Requirement::Primary(_));
        if needs_primary && self.is_primary_unavailable() {
            return Err(Refusal::NoPrimary);
        }
        // The load of a class says nothing about a statement that lacks a connection of its account.
        if self.lacks_conn(request, now) {
            let ahead = self.purposes_ahead(&request.rank, now);
            let is_out_of_reach = self.is_conn_out_of_reach(request, &ahead, now);
            return if is_out_of_reach {
                Err(Refusal::NoConn)
            } else {
                Ok(())
            };
        }
        let is_admitted = request
            .route
            .filter(|_| request.is_new)
            .is_none_or(|route| {
                let cost = |route| self.route_cost(route);
                self.queue_stats.admit(class, route, cost, now)
            });
        if !is_admitted || !self.is_servable(request.requirement, class, &request.rank, now) {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// What the connections are for that statements ahead of a rank wait for.
    fn purposes_ahead(&self, rank: &Rank, now: Ms) -> Vec<Purpose> {
        let key = rank.key(now);
        let waiters = self.waiters.borrow();
        let ahead = waiters
            .iter()
            .filter(|w| w.class.get() != Class::Control && w.request.rank.key(now) < key);
        ahead.map(|w| w.request.purpose).collect()
    }

    /// Records that a member turned away a statement that had got a connection.
    pub fn on_rejected(&self, requirement: Requirement) {
        let now = Ms::now();
        self.queue_stats
            .update(self.class(requirement, now), |t| t.record_rejection(now));
    }

    /// Records for each class whether statements are waiting. Those for a primary that cannot be
    /// used now say nothing about its capacity, and neither do those that only lack a connection of
    /// their account.
    pub(super) fn update_busy(&self, now: Ms) {
        let waiters = self.waiters.borrow();
        let is_waiting = |class: Class| {
            let of_class = |w: &Rc<Waiter>| w.class.get() == class && !w.waits_for_conn.get();
            waiters.iter().any(of_class)
        };
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
            competing.filter(|w| w.request.rank.key(now) < key).count()
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
        // Connections can be opened again after a refusal, or closed because they have aged.
        if self.accounts.in_force() {
            self.dispatch();
        }
        let now = Ms::now();
        self.update_busy(now);
        let unavailable = self.is_primary_unavailable();
        let waiters = self.waiters.borrow().clone();
        for waiter in &waiters {
            waiter
                .class
                .set(self.class(waiter.request.requirement, now));
        }
        for waiter in waiters {
            let Some(refusal) = self.reason_to_refuse(&waiter, unavailable, now) else {
                continue;
            };
            let class = waiter.class.get();
            self.queue_stats.update(class, |t| t.record_departure(now));
            self.settle(&waiter, Err(refusal));
        }
        self.update_busy(now);
    }

    /// Why a waiting statement is not expected to be served in time any more, if so.
    fn reason_to_refuse(&self, waiter: &Waiter, unavailable: bool, now: Ms) -> Option<Refusal> {
        let request = &waiter.request;
        if matches!(request.requirement, Requirement::Primary(_)) && unavailable {
            return Some(Refusal::NoPrimary);
        }
        if let Purpose::Statements(account) = request.purpose
            && self.is_gone(account)
        {
            return Some(Refusal::NoConn);
        }
        if waiter.waits_for_conn.get() {
            let ahead = self.purposes_ahead(&request.rank, now);
            let is_out_of_reach = self.is_conn_out_of_reach(request, &ahead, now);
            return is_out_of_reach.then_some(Refusal::NoConn);
        }
        let class = waiter.class.get();
        let is_servable = self.is_servable(request.requirement, class, &request.rank, now);
        (!is_servable).then_some(Refusal::Full)
    }

    /// Takes a waiter out of the queue with its result.
    pub(super) fn settle(&self, waiter: &Rc<Waiter>, result: Result<Conn, Refusal>) {
        waiter.result.replace(Some(result));
        self.waiters.borrow_mut().retain(|w| !Rc::ptr_eq(w, waiter));
        waiter.ready.notify();
    }

    /// Number of waiting statements.
    pub fn queue_len(&self) -> usize {
        self.waiters.borrow().len()
    }
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
