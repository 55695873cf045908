//! A reader of the log that stops reading delays no answer.

mod common;

use std::process::Stdio;
use std::time::Duration;

use base::Ms;
use common::{ask, connect, start};
use world::{World, run};

/// Time under statements, in ms; long enough to fill the pipe and the queue before it.
const LOAD_MS: u64 = 12_000;
/// Time in which each answer must come, in s. A daemon that waits for the reader never answers.
const ANSWER_S: u64 = 10;

#[test]
fn a_log_that_nobody_reads_delays_no_answer() {
    run(async {
        let world = World::start(1, 1000);
        // Its standard output is held open and never read.
        let daemon = start(&world, "log-reader", 1000, Stdio::piped());
        let mut caller = connect(&daemon.listen, "g0-newest").await;
        let until = Ms::now().plus(LOAD_MS);
        let mut answers = 0;
        while until.left() > 0 {
            let message = format!("QUERY {}{answers} READ x\r\n", "q".repeat(200));
            let wait = Duration::from_secs(ANSWER_S);
            let answer = monoio::time::timeout(wait, ask(&mut caller, &message)).await;
            let answer = answer.expect("an answer in time");
            assert!(answer.is_some(), "closed after {answers} answers");
            answers += 1;
        }
        assert!(answers > 0);
    });
}
