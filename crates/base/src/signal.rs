//! Wakes all tasks of a thread that wait for a change.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// A broadcast signal between tasks of one thread.
#[derive(Debug, Default)]
pub struct Signal {
    /// Grows with each `notify`, so that no wake-up is lost between a check and the wait.
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Wakes every waiting task.
    pub fn notify(&self) {
        self.count.set(self.count.get().wrapping_add(1));
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// The count to pass to `wait_past`, taken before the condition is checked.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Waits until `notify` has been called since `seen` was taken.
    pub async fn wait_past(&self, seen: u64) {
        poll_fn(|cx| {
            if self.count.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|w| w.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
