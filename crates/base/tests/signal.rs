//! Signals wake every wait, and keep nothing of a wait that is over.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Wake, Waker};

use base::Signal;

#[derive(Default)]
struct Count(AtomicU64);

impl Wake for Count {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

#[test]
fn every_wait_is_woken_once() {
    let signal = Signal::default();
    let count = Arc::new(Count::default());
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

#[test]
fn a_notify_before_the_wait_is_not_lost() {
    let signal = Signal::default();
    let seen = signal.generation();
    signal.notify();
    let mut wait = pin!(signal.wait_past(seen));
    assert_eq!(
        wait.as_mut().poll(&mut Context::from_waker(Waker::noop())),
        Poll::Ready(())
    );
}

/// A wait that is polled often or dropped leaves nothing behind; it once left a waker for each
/// statement of each session.
#[test]
fn nothing_is_kept_of_a_wait_that_is_over() {
    let signal = Signal::default();
    for _ in 0..1000 {
        // Each poll comes with a waker of its own, which no comparison can tell from others.
        let mut wait = pin!(signal.wait_past(signal.generation()));
        for _ in 0..3 {
            let waker = Waker::from(Arc::new(Count::default()));
            assert_eq!(
                wait.as_mut().poll(&mut Context::from_waker(&waker)),
                Poll::Pending
            );
        }
        assert_eq!(signal.waiter_count(), 1);
    }
    assert_eq!(signal.waiter_count(), 0);
}
