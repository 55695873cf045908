//! Signals wake every pending wait and hold no waker after it.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Wake, Waker};

use base::Signal;

#[derive(Default)]
struct CountingWaker(AtomicU64);

impl Wake for CountingWaker {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a notification that reaches only one of several waits.
#[test]
fn notify_wakes_every_wait_once() {
    let signal = Signal::default();
    let count = Arc::new(CountingWaker::default());
    let waker = Waker::from(count.clone());
    let mut cx = Context::from_waker(&waker);
    let seen = signal.generation();
    let mut first = pin!(signal.wait_past(seen));
    let mut second = pin!(signal.wait_past(seen));
    assert_eq!(first.as_mut().poll(&mut cx), Poll::Pending);
    assert_eq!(second.as_mut().poll(&mut cx), Poll::Pending);
    signal.notify();
    assert_eq!(count.0.load(Ordering::Relaxed), 2);
    assert_eq!(first.as_mut().poll(&mut cx), Poll::Ready(()));
    assert_eq!(second.as_mut().poll(&mut cx), Poll::Ready(()));
}

/// Guards against a task that waits forever because the change came after it checked the condition
/// and before its wait was polled.
#[test]
fn notify_between_check_and_wait_is_not_lost() {
    let signal = Signal::default();
    let seen = signal.generation();
    signal.notify();
    let mut wait = pin!(signal.wait_past(seen));
    assert_eq!(
        wait.as_mut().poll(&mut Context::from_waker(Waker::noop())),
        Poll::Ready(())
    );
}

/// Guards against wakers that outlive their waits: a wait that is polled repeatedly holds one
/// waker, and none once it is dropped. Otherwise wakers accumulate, one for each statement of each
/// session.
#[test]
fn a_dropped_wait_leaves_no_waker() {
    let signal = Signal::default();
    for _ in 0..1000 {
        // Each poll uses a new waker, so that `Waker::will_wake` cannot recognise repeated polls.
        let mut wait = pin!(signal.wait_past(signal.generation()));
        for _ in 0..3 {
            let waker = Waker::from(Arc::new(CountingWaker::default()));
            assert_eq!(
                wait.as_mut().poll(&mut Context::from_waker(&waker)),
                Poll::Pending
            );
        }
        assert_eq!(signal.waiter_count(), 1);
    }
    assert_eq!(signal.waiter_count(), 0);
}
