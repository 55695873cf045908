//! Runs calls side by side and stops waiting once enough of them have answered.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use base::{Ms, Signal};

/// Runs all calls as tasks; returns the answers that came before `within` ms were over, or as
/// soon as `enough` holds. Calls that have not answered go on and end by their own timeouts.
pub async fn join_within<T, F>(calls: Vec<F>, within: u64, enough: impl Fn(&[T]) -> bool) -> Vec<T>
where
    T: 'static,
    F: Future<Output = T> + 'static,
{
    let answers = Rc::new(RefCell::new(Vec::new()));
    let came = Rc::new(Signal::default());
    let open = Rc::new(Cell::new(calls.len()));
    for call in calls {
        let (answers, came, open) = (answers.clone(), came.clone(), open.clone());
        monoio::spawn(async move {
            let answer = call.await;
            answers.borrow_mut().push(answer);
            open.set(open.get() - 1);
            came.notify();
        });
    }
    let until = Ms::now().plus(within);
    loop {
        let seen = came.generation();
        let done = open.get() == 0 || until.left() == 0 || enough(&answers.borrow());
        if done {
            return answers.take();
        }
        let _ =
            monoio::time::timeout(Duration::from_millis(until.left()), came.wait_past(seen)).await;
    }
}

/// Waits for a signal, `ms` at most; false when time ran out.
pub async fn notified_within(signal: &Signal, seen: u64, ms: u64) -> bool {
    monoio::time::timeout(Duration::from_millis(ms), signal.wait_past(seen))
        .await
        .is_ok()
}

/// Sleeps for some milliseconds.
pub async fn sleep(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}
