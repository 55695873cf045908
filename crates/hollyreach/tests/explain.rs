//! Tests of `timeline` on log lines as the daemons write them.

use super::{Line, timeline};

const LOG: &str = "\
34.1 vm-a 1769817635190 WARN H721 member cannot be reached group=k member=i-f cause=\"no answer in time\"
34.3 vm-b 1769817635369 WARN H740 change of primary begun group=k cause=silent primary=i-5 change=39
34.3 vm-b 1769817635370 WARN H721 member cannot be reached group=k member=i-5 cause=\"no answer in time\"
34.4 vm-a 1769817635421 WARN H730 lease on the primary has run out group=k member=i-5
34.4 vm-a 1769817635422 WARN H730 lease on the primary has run out group=other member=i-9
34.8 vm-a 1769817635852 WARN H712 outcome of a statement is unknown id=924e group=k cause=\"no answer in time\" lease_left=0
34.8 vm-a 1769817635852 INFO H714 statement not served id=924e database=y outcome=InDoubt kind=InDoubt
34.9 vm-a 1769817635900 INFO H710 statement served id=77aa database=y outcome=Served
not a line of a log";

fn events(id: &str) -> Vec<String> {
    let lines: Vec<Line> = LOG.lines().filter_map(|l| Line::parse("file", l)).collect();
    let timeline = timeline(&lines, id);
    let event = |l: &Line| format!("{} {}", l.vm, l.text.split(' ').next().unwrap_or(""));
    timeline.iter().map(event).collect()
}

/// The timeline must include what explains the statement's outcome, and nothing of other groups,
/// statements or VMs: only primary changes count from any VM.
#[test]
fn timeline_holds_the_statement_and_the_events_of_its_group() {
    let expected = [
        "vm-a H721",
        "vm-b H740",
        "vm-a H730",
        "vm-a H712",
        "vm-a H714",
    ];
    assert_eq!(events("924e"), expected);
}

#[test]
fn timeline_of_an_unknown_statement_is_empty() {
    assert!(events("0000").is_empty());
}
