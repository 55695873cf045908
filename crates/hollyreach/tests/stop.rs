//! A stop cuts no statement that a member was sent, and no open transaction.

mod common;

use std::cell::{Cell, RefCell};
use std::process::Stdio;
use std::rc::Rc;

use common::{Daemon, ask, connect, pause, start};
use rustix::process::{Pid, Signal, kill_process};
use world::{World, run};

/// Callers.
const CALLERS: usize = 12;
/// Time under statements before the stop, in ms.
const BEFORE_MS: u64 = 500;
/// Time that the daemon has to stop, in ms.
const GRACE_MS: u64 = 4000;

/// What callers saw.
#[derive(Default)]
struct Seen {
    /// Statements that were answered.
    answered: Cell<u64>,
    /// Callers whose session has ended.
    ended: Cell<usize>,
    /// Statements without an answer.
    cut: RefCell<Vec<String>>,
    /// Sessions that ended inside a transaction.
    inside: Cell<usize>,
}

/// Runs transactions until the session ends.
async fn work(n: usize, listen: String, seen: Rc<Seen>) {
    let mut caller = connect(&listen, "g0-newest").await;
    for round in 0.. {
        let steps = ["BEGIN", "READ x", "WRITE x 1", "COMMIT"];
        for (i, step) in steps.iter().enumerate() {
            let id = format!("c{n}r{round}s{i}");
            let message = format!("QUERY {id} {step}\r\n");
            if ask(&mut caller, &message).await.is_none() {
                seen.cut.borrow_mut().push(id);
                seen.inside.set(seen.inside.get() + usize::from(i > 0));
                seen.ended.set(seen.ended.get() + 1);
                return;
            }
            seen.answered.set(seen.answered.get() + 1);
            pause(5).await;
        }
    }
}

fn terminate(daemon: &Daemon) {
    let pid = i32::try_from(daemon.process.id()).expect("a process id");
    kill_process(Pid::from_raw(pid).expect("not 0"), Signal::TERM).expect("signalled");
}

#[test]
fn a_stop_ends_sessions_between_transactions() {
    run(async {
        let world = World::start(1, 1000);
        let mut daemon = start(&world, "stop", GRACE_MS, Stdio::null());
        let seen = Rc::new(Seen::default());
        for n in 0..CALLERS {
            monoio::spawn(work(n, daemon.listen.clone(), seen.clone()));
        }
        while seen.answered.get() < 100 {
            pause(10).await;
        }
        pause(BEFORE_MS).await;
        terminate(&daemon);
        while seen.ended.get() < CALLERS {
            pause(20).await;
        }
        // A transaction opens at the member with its first statement, so that `BEGIN` is no work.
        let heard = world.groups[0].received_ids.borrow();
        let cut = seen.cut.borrow();
        let lost: Vec<&String> = cut.iter().filter(|id| heard.contains(&***id)).collect();
        assert!(lost.is_empty(), "cut: {lost:?}");
        assert_eq!(seen.inside.get(), 0, "ended inside a transaction: {cut:?}");
        let status = daemon.process.wait().expect("it ends");
        assert!(status.success(), "{status}");
    });
}

/// A caller that rests inside a transaction while the daemon stops.
#[test]
fn a_session_that_rests_in_a_transaction_ends_before_the_process() {
    run(async {
        let world = World::start(1, 1000);
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("rest.log");
        let log = std::fs::File::create(&file).expect("created");
        let mut daemon = start(&world, "rest", GRACE_MS, log.into());
        let mut caller = connect(&daemon.listen, "g0-newest").await;
        for text in ["QUERY q1 BEGIN\r\n", "QUERY q2 READ x\r\n"] {
            ask(&mut caller, text).await.expect("an answer");
        }
        terminate(&daemon);
        assert_eq!(caller.read_more().await.expect("a clean end"), 0);
        let status = daemon.process.wait().expect("it ends");
        assert!(status.success(), "{status}");
        let log = std::fs::read_to_string(&file).expect("readable");
        let last = log.lines().rfind(|line| line.contains("H772"));
        assert!(last.is_some_and(|line| line.ends_with("cut=0")), "{last:?}");
    });
}
