//! Helpers for concurrent calls, waiting with a timeout, and sleeping.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use base::{Ms, Signal};

/// Runs all calls as tasks; returns the answers that have arrived, in the order of their arrival,
/// once they are complete, `enough` holds for them or the timeout has passed. Outstanding calls
/// continue in the background.
pub async fn join_within<T, F>(
    calls: Vec<F>,
    timeout_ms: u64,
    enough: impl Fn(&[T]) -> bool,
) -> Vec<T>
where
    T: 'static,
    F: Future<Output = T> + 'static,
{
    let answers = Rc::new(RefCell::new(Vec::new()));
    let arrived = Rc::new(Signal::default());
    let pending = Rc::new(Cell::new(calls.len()));
    for call in calls {
        let (answers, arrived, pending) = (answers.clone(), arrived.clone(), pending.clone());
        monoio::spawn(async move {
            let answer = call.await;
            answers.borrow_mut().push(answer);
            pending.set(pending.get() - 1);
            arrived.notify();
        });
    }
    let deadline = Ms::now().plus(timeout_ms);
    loop {
        let generation = arrived.generation();
        let done = pending.get() == 0 || deadline.left() == 0 || enough(&answers.borrow());
        if done {
            return answers.take();
        }
        let _ = monoio::time::timeout(
            Duration::from_millis(deadline.left()),
            arrived.wait_past(generation),
        )
        .await;
    }
}

/// Waits until the signal has been notified after `generation`; returns whether that was before the
/// timeout.
pub async fn notified_within(signal: &Signal, generation: u64, timeout_ms: u64) -> bool {
    monoio::time::timeout(
        Duration::from_millis(timeout_ms),
        signal.wait_past(generation),
    )
    .await
    .is_ok()
}

/// Sleeps for `ms` milliseconds.
pub async fn sleep(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}
