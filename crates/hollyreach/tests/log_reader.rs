//! A reader of the log that stops reading does not delay answers.
//!
//! Guards against a daemon that writes its log synchronously: once the pipe is full, every task
//! would block.

mod common;

use std::process::Stdio;
use std::time::Duration;

use base::Ms;
use common::{ask, connect, start};
use world::{World, run};

/// Duration of the load, long enough to fill the pipe and the queue of log lines.
const LOAD_MS: u64 = 12_000;
/// Timeout of each answer. A daemon that blocks on the log never answers.
const ANSWER_TIMEOUT_S: u64 = 10;

#[test]
fn unread_log_does_not_delay_answers() {
    run(async {
        let world = World::start(1, 1000);
        // The pipe of the daemon's standard output stays open but is never read.
        let daemon = start(&world, "log-reader", 1000, Stdio::piped());
        let mut caller = connect(&daemon.listen, "g0-newest").await;
        let until = Ms::now().plus(LOAD_MS);
        let mut answers = 0;
        while until.left() > 0 {
            let message = format!("QUERY {}{answers} READ x\r\n", "q".repeat(200));
            let timeout = Duration::from_secs(ANSWER_TIMEOUT_S);
            let answer = monoio::time::timeout(timeout, ask(&mut caller, &message)).await;
            let answer = answer.expect("the daemon answers in time");
            assert!(
                answer.is_some(),
                "connection closed after {answers} answers"
            );
            answers += 1;
        }
        assert!(answers > 0);
    });
}
