//! A flood of one event writes a bounded number of lines and tells how many were left out.

use std::sync::Mutex;

use base::{Event, Ms, emit};
use log::{LevelFilter, Log, Metadata, Record};

/// Lines that were written.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Keep;

impl Log for Keep {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let mut lines = LINES.lock().expect("no thread panicked");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

#[test]
fn a_flood_is_bounded_and_counted() {
    log::set_logger(&Keep).expect("the only logger");
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
