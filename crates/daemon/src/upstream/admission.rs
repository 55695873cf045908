//! Admission queue of a member: bounds the number of statements that run at once, and shares the
//! capacity fairly between users.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use base::{Ms, Signal};
use schema::Reason;

use crate::join::notified_within;

/// The newest service time enters the moving average with a weight of 1 divided by this number.
const MEAN_WEIGHT_DIVISOR: u64 = 8;
/// Mean service time assumed before the first statement ends, in µs.
const INITIAL_MEAN_US: u64 = 2_000;

/// A statement in the wait queue.
struct Waiter {
    ticket: u64,
    user: Box<str>,
    wakeup: Rc<Signal>,
    admitted: Rc<Cell<bool>>,
}

#[derive(Default)]
struct QueueState {
    limit: Cell<u64>,
    max_waiting: Cell<u64>,
    /// Statements running; exceeds `limit` only after the limit was lowered.
    running: Cell<u64>,
    waiting: RefCell<VecDeque<Waiter>>,
    /// User whose statement was last admitted from the wait queue.
    last_admitted: RefCell<Box<str>>,
    next_ticket: Cell<u64>,
    /// Moving average of the service time, in µs; 0 before the first statement ends.
    mean_us: Cell<u64>,
}

/// Admission queue in front of one member.
#[derive(Default)]
pub struct AdmissionQueue(Rc<QueueState>);

/// Permission to run one statement; dropping it records the service time and admits waiters.
pub struct Permit {
    state: Rc<QueueState>,
    started_at: std::time::Instant,
}

/// Rejection of a statement, with the reason and a retry delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    pub reason: Reason,
    /// Time after which the queue is expected to have room, in ms.
    pub retry_ms: u64,
}

impl AdmissionQueue {
    /// Sets the limits on running and on waiting statements.
    pub fn set_limit(&self, limit: u64, max_waiting: u64) {
        self.0.limit.set(limit.max(1));
        self.0.max_waiting.set(max_waiting);
    }

    /// Number of running statements.
    pub fn running(&self) -> u64 {
        self.0.running.get()
    }

    /// Waits for a permit. A statement that is not expected to get one before its deadline is
    /// rejected on arrival.
    ///
    /// # Errors
    /// `Overload` if the wait queue is full or the expected wait exceeds the deadline, `Deadline`
    /// if the deadline passed while waiting.
    pub async fn admit(&self, user: &str, deadline: Ms) -> Result<Permit, Rejection> {
        let state = &self.0;
        if state.waiting.borrow().is_empty() && state.running.get() < state.limit.get() {
            return Ok(Permit::new(state));
        }
        let waiting = state.waiting.borrow().len() as u64;
        let wait_ms = state.expected_wait_ms(waiting + 1);
        if waiting >= state.max_waiting.get() || wait_ms > deadline.left() {
            return Err(Rejection {
                reason: Reason::Overload,
                retry_ms: wait_ms.max(1),
            });
        }
        let ticket = state.next_ticket.replace(state.next_ticket.get() + 1);
        let (wakeup, admitted) = (Rc::new(Signal::default()), Rc::new(Cell::new(false)));
        let waiter = Waiter {
            ticket,
            user: user.into(),
            wakeup: wakeup.clone(),
            admitted: admitted.clone(),
        };
        state.waiting.borrow_mut().push_back(waiter);
        // The guard cleans up if this future is dropped while it waits.
        let mut guard = WaitGuard {
            state: state.clone(),
            ticket,
            admitted: admitted.clone(),
            permit_taken: false,
        };
        while !admitted.get() {
            let generation = wakeup.generation();
            if deadline.left() == 0
                || !notified_within(&wakeup, generation, deadline.left()).await && !admitted.get()
            {
                return Err(Rejection {
                    reason: Reason::Deadline,
                    retry_ms: state.expected_wait_ms(waiting + 1).max(1),
                });
            }
        }
        guard.permit_taken = true;
        Ok(Permit {
            state: state.clone(),
            started_at: std::time::Instant::now(),
        })
    }
}

/// Drop guard of a waiter: removes it from the queue, or releases a permit that it did not take.
struct WaitGuard {
    state: Rc<QueueState>,
    ticket: u64,
    admitted: Rc<Cell<bool>>,
    /// Whether `admit` has passed the permit on, so that the guard must not release it.
    permit_taken: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.permit_taken {
            return;
        }
        if self.admitted.get() {
            self.state.release();
        } else {
            self.state
                .waiting
                .borrow_mut()
                .retain(|w| w.ticket != self.ticket);
        }
    }
}

impl Permit {
    fn new(state: &Rc<QueueState>) -> Permit {
        state.running.set(state.running.get() + 1);
        Permit {
            state: state.clone(),
            started_at: std::time::Instant::now(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let took_us = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mean_us = self.state.mean_us();
        self.state
            .mean_us
            .set((mean_us * (MEAN_WEIGHT_DIVISOR - 1) + took_us) / MEAN_WEIGHT_DIVISOR);
        self.state.release();
    }
}

impl QueueState {
    fn mean_us(&self) -> u64 {
        let mean_us = self.mean_us.get();
        if mean_us == 0 {
            INITIAL_MEAN_US
        } else {
            mean_us
        }
    }

    /// Expected wait of the statement at a position in the wait queue, counted from 1.
    fn expected_wait_ms(&self, position: u64) -> u64 {
        position * self.mean_us() / self.limit.get() / 1000
    }

    /// Ends one running statement and admits waiters while there is room.
    fn release(&self) {
        self.running.set(self.running.get() - 1);
        while self.running.get() < self.limit.get() {
            let Some(next) = self.next_waiter() else {
                return;
            };
            self.running.set(self.running.get() + 1);
            next.admitted.set(true);
            next.wakeup.notify();
        }
    }

    /// Removes the first waiter of the next user; users take turns in the order of their names.
    fn next_waiter(&self) -> Option<Waiter> {
        let mut waiting = self.waiting.borrow_mut();
        let last_admitted = self.last_admitted.borrow().clone();
        let following = waiting
            .iter()
            .filter(|w| w.user > last_admitted)
            .map(|w| &w.user)
            .min();
        let user = following
            .or_else(|| waiting.iter().map(|w| &w.user).min())?
            .clone();
        let index = waiting.iter().position(|w| w.user == user)?;
        *self.last_admitted.borrow_mut() = user;
        waiting.remove(index)
    }
}
