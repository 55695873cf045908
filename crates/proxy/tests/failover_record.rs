//! What daemons leave for each other about changes of primary, and how often they try again.

use proxy::{AbortReason, AbortSeries, ChangeRecord, Leader};
use schema::Pos;

fn record(leaders: &[(u64, &str)]) -> ChangeRecord {
    let mut record = ChangeRecord::default();
    for &(term, id) in leaders {
        record.add_leader(Leader {
            term,
            id: id.into(),
        });
    }
    record
}

/// Checks who counts as the leader of a term when only `members` say that they have not led.
fn check(leaders: &[(u64, &str)], term: u64, members: &[&str], expect: Option<&str>) {
    let record = record(leaders);
    let leader = record.leader_of(term, |id| members.contains(&id));
    assert_eq!(leader.map(|l| &*l.id), expect, "{leaders:?}");
}

/// Guards against a leader of an earlier term, or of an order that may have been carried out, whose
/// log lacks acknowledged commits.
#[test]
fn the_leader_of_a_term_is_known_only_if_no_later_order_may_have_taken_place() {
    check(&[(2, "a")], 2, &[], Some("a"));
    check(&[(2, "a")], 3, &[], None);
    check(&[(2, "a"), (3, "b")], 2, &["b"], Some("a"));
    check(&[(2, "a"), (3, "b")], 2, &["a"], None);
    check(&[(2, "a"), (2, "b")], 2, &[], Some("b"));
}

/// Guards against a record that grows with each change, and against the loss of its newest entries.
#[test]
fn a_record_keeps_the_leaders_of_the_newest_terms() {
    let record = record(&[(5, "e"), (2, "a"), (4, "c"), (3, "b")]);
    let terms: Vec<u64> = record.leaders.iter().map(|l| l.term).collect();
    assert_eq!(terms, [3, 4, 5]);
}

/// Guards against a blocked group whose daemons load the store with changes that cannot succeed, and
/// against a group that stays without a primary for seconds after its members are back.
#[test]
fn changes_back_off_by_what_stops_them() {
    let delays = |reason: &AbortReason| {
        let mut series = AbortSeries::default();
        let mut delays = Vec::new();
        for _ in 0..6 {
            series.record(reason);
            delays.push(series.delay_ms());
        }
        (delays, series.is_blocked())
    };
    let departed = AbortReason::Departed("m".into());
    assert_eq!(
        delays(&departed),
        (vec![300, 600, 1200, 2400, 4800, 5000], true)
    );
    let unfenced = AbortReason::Unfenced {
        answered: 2,
        all: 3,
    };
    assert_eq!(
        delays(&unfenced),
        (vec![300, 600, 1200, 1200, 1200, 1200], false)
    );
}

/// Guards against a log line for each of many changes that stop for the same reason.
#[test]
fn a_reason_is_new_once_in_a_series() {
    let mut series = AbortSeries::default();
    let departed = AbortReason::Departed("m".into());
    assert!(series.record(&departed));
    assert!(!series.record(&departed));
    assert!(series.record(&AbortReason::Step("the claim is too old")));
    assert!(!series.is_blocked());
}

/// Guards against a member that has lost its log since it was ordered to lead, and counts as one that has
/// not led.
#[test]
fn a_member_with_less_than_when_it_was_ordered_has_lost_its_log() {
    let pos = |log| Pos { term: 1, log };
    let ordered = |term| Leader {
        term,
        id: "a".into(),
    };
    let mut record = ChangeRecord::default();
    record.add_ordered(ordered(2), pos(7));
    assert!(record.has_lost_log("a", pos(6)) && !record.has_lost_log("a", pos(7)));
    assert!(!record.has_lost_log("b", pos(0)), "not ordered");
    record.add_ordered(ordered(3), pos(5));
    assert!(!record.has_lost_log("a", pos(5)), "ordered with less since");
    for term in 4..7 {
        record.add_leader(Leader {
            term,
            id: "b".into(),
        });
    }
    assert!(!record.has_lost_log("a", pos(0)), "no leader on record");
}
