//! The rate limit of log lines: lines above it are suppressed, and their number is reported.

use std::sync::Mutex;

use base::{Event, Ms, emit};
use log::{LevelFilter, Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct CapturingLogger;

impl Log for CapturingLogger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let mut lines = LINES.lock().expect("no thread panicked");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Guards against a repeated event that floods the log, and against a limit that also suppresses
/// other events or hides how many lines are missing.
#[test]
fn lines_of_one_event_are_limited_and_counted() {
    log::set_logger(&CapturingLogger).expect("the only logger");
    log::set_max_level(LevelFilter::Info);
    Ms::set(Ms(5000));
    for n in 0..1000 {
        emit(Event::StatementNotRun, &[("id", &n)]);
    }
    emit(Event::StatementInDoubt, &[("id", &"other")]);
    Ms::set(Ms(6000));
    emit(Event::StatementNotRun, &[("id", &"after")]);
    let lines = LINES.lock().expect("no thread panicked");
    assert_eq!(lines.len(), 202);
    assert!(lines[200].contains("id=other"), "{}", lines[200]);
    assert!(
        lines[201].contains("left_out=800 id=after"),
        "{}",
        lines[201]
    );
}
