//! A stopping daemon aborts no statement that it has sent to a member, and no open transaction.

mod common;

use std::cell::{Cell, RefCell};
use std::process::Stdio;
use std::rc::Rc;

use common::{Daemon, ask, connect, pause, start};
use rustix::process::{Pid, Signal, kill_process};
use world::{World, run};

const CALLERS: usize = 12;
/// Duration of the load before the daemon is stopped.
const LOAD_MS: u64 = 500;
/// Grace period of the daemon.
const GRACE_MS: u64 = 4000;

/// Counters shared by all callers.
#[derive(Default)]
struct Totals {
    /// Number of statements that were answered.
    answered: Cell<u64>,
    /// Number of callers whose session has ended.
    ended: Cell<usize>,
    /// Identifiers of the statements that were not answered because the session ended.
    unanswered: RefCell<Vec<String>>,
    /// Number of sessions that ended inside a transaction.
    in_transaction: Cell<usize>,
}

/// Runs transactions until the session ends.
async fn run_transactions(n: usize, listen: String, totals: Rc<Totals>) {
    let mut caller = connect(&listen, "g0-newest").await;
    for round in 0.. {
        let steps = ["BEGIN", "READ x", "WRITE x 1", "COMMIT"];
        for (i, step) in steps.iter().enumerate() {
            let id = format!("c{n}r{round}s{i}");
            let message = format!("QUERY {id} {step}\r\n");
            if ask(&mut caller, &message).await.is_none() {
                totals.unanswered.borrow_mut().push(id);
                totals
                    .in_transaction
                    .set(totals.in_transaction.get() + usize::from(i > 0));
                totals.ended.set(totals.ended.get() + 1);
                return;
            }
            totals.answered.set(totals.answered.get() + 1);
            pause(5).await;
        }
    }
}

fn terminate(daemon: &Daemon) {
    let pid = i32::try_from(daemon.process.id()).expect("the process id fits in an i32");
    kill_process(
        Pid::from_raw(pid).expect("the process id is not 0"),
        Signal::TERM,
    )
    .expect("the signal can be sent");
}

/// A daemon that stops must not close a connection whose statement is running or whose transaction
/// is open, since its caller could not tell whether the statement has run.
#[test]
fn stop_ends_sessions_between_transactions() {
    run(async {
        let world = World::start(1, 1000);
        let mut daemon = start(&world, "stop", GRACE_MS, Stdio::null());
        let totals = Rc::new(Totals::default());
        for n in 0..CALLERS {
            monoio::spawn(run_transactions(n, daemon.listen.clone(), totals.clone()));
        }
        while totals.answered.get() < 100 {
            pause(10).await;
        }
        pause(LOAD_MS).await;
        terminate(&daemon);
        while totals.ended.get() < CALLERS {
            pause(20).await;
        }
        // `BEGIN` alone is not sent to the member: a transaction is opened there with its first
        // statement.
        let received = world.groups[0].received_ids.borrow();
        let unanswered = totals.unanswered.borrow();
        let sent_but_unanswered: Vec<&String> = unanswered
            .iter()
            .filter(|id| received.contains(&***id))
            .collect();
        assert!(
            sent_but_unanswered.is_empty(),
            "statements sent to a member but not answered: {sent_but_unanswered:?}"
        );
        assert_eq!(
            totals.in_transaction.get(),
            0,
            "sessions ended inside a transaction: {unanswered:?}"
        );
        let status = daemon.process.wait().expect("the daemon exits");
        assert!(status.success(), "{status}");
    });
}

/// A session that is idle in a transaction while the daemon stops is closed cleanly and not counted
/// as aborted.
#[test]
fn session_idle_in_a_transaction_ends_before_the_process() {
    run(async {
        let world = World::start(1, 1000);
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("idle.log");
        let log = std::fs::File::create(&file).expect("the log file can be created");
        let mut daemon = start(&world, "idle", GRACE_MS, log.into());
        let mut caller = connect(&daemon.listen, "g0-newest").await;
        for text in ["QUERY q1 BEGIN\r\n", "QUERY q2 READ x\r\n"] {
            ask(&mut caller, text).await.expect("the daemon answers");
        }
        terminate(&daemon);
        assert_eq!(
            caller
                .read_more()
                .await
                .expect("the connection closes without error"),
            0
        );
        let status = daemon.process.wait().expect("the daemon exits");
        assert!(status.success(), "{status}");
        let log = std::fs::read_to_string(&file).expect("the log can be read");
        let last = log.lines().rfind(|line| line.contains("H772"));
        assert!(last.is_some_and(|line| line.ends_with("cut=0")), "{last:?}");
    });
}
