//! Lets a bounded number of statements through to one member, fairly between users.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use base::{Ms, Signal};
use schema::Reason;

use crate::join::notified_within;

/// Weight of the newest service time in the running mean, as a divisor.
const MEAN_SHARE: u64 = 8;
/// Service time assumed before any was seen, in µs.
const FIRST_MEAN_US: u64 = 2_000;

/// One waiting statement.
struct Waiter {
    ticket: u64,
    user: Box<str>,
    turn: Rc<Signal>,
    let_in: Rc<Cell<bool>>,
}

#[derive(Default)]
struct Shared {
    limit: Cell<u64>,
    queue_max: Cell<u64>,
    /// Statements inside; above `limit` only after the limit was lowered.
    running: Cell<u64>,
    waiting: RefCell<VecDeque<Waiter>>,
    last_user: RefCell<Box<str>>,
    next_ticket: Cell<u64>,
    mean_us: Cell<u64>,
}

/// A queue in front of one member.
#[derive(Default)]
pub struct AdmissionQueue(Rc<Shared>);

/// The right to run one statement; dropping it lets the next one in.
pub struct Permit {
    shared: Rc<Shared>,
    begin: std::time::Instant,
}

/// A refusal with the time after which the queue should have room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Why.
    pub why: Reason,
    /// When to come back, in ms.
    pub retry_ms: u64,
}

impl AdmissionQueue {
    /// Sets how many statements run at once, and how many may wait.
    pub fn set_limit(&self, limit: u64, queue_max: u64) {
        self.0.limit.set(limit.max(1));
        self.0.queue_max.set(queue_max);
    }

    /// Statements inside.
    pub fn running(&self) -> u64 {
        self.0.running.get()
    }

    /// Waits for its turn. A statement whose deadline cannot be met is refused on arrival.
    pub async fn admit(&self, user: &str, until: Ms) -> Result<Permit, Rejection> {
        let shared = &self.0;
        if shared.waiting.borrow().is_empty() && shared.running.get() < shared.limit.get() {
            return Ok(Permit::new(shared));
        }
        let queued = shared.waiting.borrow().len() as u64;
        let wait_ms = shared.expected_ms(queued + 1);
        if queued >= shared.queue_max.get() || wait_ms > until.left() {
            return Err(Rejection {
                why: Reason::Overload,
                retry_ms: wait_ms.max(1),
            });
        }
        let ticket = shared.next_ticket.replace(shared.next_ticket.get() + 1);
        let (turn, let_in) = (Rc::new(Signal::default()), Rc::new(Cell::new(false)));
        let waiter = Waiter {
            ticket,
            user: user.into(),
            turn: turn.clone(),
            let_in: let_in.clone(),
        };
        shared.waiting.borrow_mut().push_back(waiter);
        // Removes the waiter when the caller gives up, or passes its permit on.
        let mut place = Place {
            shared: shared.clone(),
            ticket,
            let_in: let_in.clone(),
            taken: false,
        };
        while !let_in.get() {
            let seen = turn.generation();
            if until.left() == 0
                || !notified_within(&turn, seen, until.left()).await && !let_in.get()
            {
                return Err(Rejection {
                    why: Reason::Deadline,
                    retry_ms: shared.expected_ms(queued + 1).max(1),
                });
            }
        }
        place.taken = true;
        Ok(Permit {
            shared: shared.clone(),
            begin: std::time::Instant::now(),
        })
    }
}

/// A place in the queue, cleaned up however the wait ends.
struct Place {
    shared: Rc<Shared>,
    ticket: u64,
    let_in: Rc<Cell<bool>>,
    taken: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        if self.let_in.get() {
            self.shared.leave();
        } else {
            self.shared
                .waiting
                .borrow_mut()
                .retain(|w| w.ticket != self.ticket);
        }
    }
}

impl Permit {
    fn new(shared: &Rc<Shared>) -> Permit {
        shared.running.set(shared.running.get() + 1);
        Permit {
            shared: shared.clone(),
            begin: std::time::Instant::now(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let took = u64::try_from(self.begin.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mean = self.shared.mean();
        self.shared
            .mean_us
            .set((mean * (MEAN_SHARE - 1) + took) / MEAN_SHARE);
        self.shared.leave();
    }
}

impl Shared {
    fn mean(&self) -> u64 {
        let mean = self.mean_us.get();
        if mean == 0 { FIRST_MEAN_US } else { mean }
    }

    fn expected_ms(&self, place: u64) -> u64 {
        place * self.mean() / self.limit.get() / 1000
    }

    /// One statement leaves; the next user in turn is let in.
    fn leave(&self) {
        self.running.set(self.running.get() - 1);
        while self.running.get() < self.limit.get() {
            let Some(next) = self.pick() else { return };
            self.running.set(self.running.get() + 1);
            next.let_in.set(true);
            next.turn.notify();
        }
    }

    /// The first waiter of the user that follows the last one in name order.
    fn pick(&self) -> Option<Waiter> {
        let mut waiting = self.waiting.borrow_mut();
        let last = self.last_user.borrow().clone();
        let after = waiting
            .iter()
            .filter(|w| w.user > last)
            .map(|w| &w.user)
            .min();
        let user = after
            .or_else(|| waiting.iter().map(|w| &w.user).min())?
            .clone();
        let at = waiting.iter().position(|w| w.user == user)?;
        *self.last_user.borrow_mut() = user;
        waiting.remove(at)
    }
}
