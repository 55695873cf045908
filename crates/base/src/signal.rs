//! Notification of all tasks of a thread that wait for a change.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// A broadcast signal between tasks of one thread.
#[derive(Debug, Default)]
pub struct Signal {
    /// Incremented by each `notify`, so that no wake-up is lost between the check of a condition
    /// and the wait.
    generation: Cell<u64>,
    /// One waker for each pending wait; a wait that is dropped removes its own.
    wakers: RefCell<BTreeMap<u64, Waker>>,
    /// Key of the next waker.
    next_key: Cell<u64>,
}

/// Future that completes once `notify` has been called after generation `seen`, even if that was
/// before the first poll.
#[derive(Debug)]
pub struct Wait<'a> {
    signal: &'a Signal,
    seen: u64,
    /// Key of the waker in `Signal::wakers`, once registered.
    key: Option<u64>,
}

impl Signal {
    /// Wakes every waiting task.
    pub fn notify(&self) {
        self.generation.set(self.generation.get().wrapping_add(1));
        for waker in self.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// The current generation, to be read before checking the condition and passed to `wait_past`.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Waits until `notify` has been called since generation `seen` was read.
    pub fn wait_past(&self, seen: u64) -> Wait<'_> {
        Wait {
            signal: self,
            seen,
            key: None,
        }
    }

    /// Number of pending waits.
    pub fn waiter_count(&self) -> usize {
        self.wakers.borrow().len()
    }
}

impl Future for Wait<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if self.signal.generation.get() != self.seen {
            return Poll::Ready(());
        }
        let signal = self.signal;
        let key = *self
            .key
            .get_or_insert_with(|| signal.next_key.replace(signal.next_key.get() + 1));
        signal.wakers.borrow_mut().insert(key, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.signal.wakers.borrow_mut().remove(&key);
        }
    }
}
