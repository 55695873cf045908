//! The rules one by one, and their properties.

// Properties take generated values, which are owned.
#![allow(clippy::needless_pass_by_value)]

use base::Ms;
use group::{
    Decision, FailureThresholds, MemberReport, ProbeOutcome, choose_candidate, confirmed, evaluate,
    verified,
};
use property::check_property;
use quickcheck::TestResult;
use schema::Pos;

fn report(term: u64, leads: bool, last: (u64, u64), contact_ms: u64) -> MemberReport {
    MemberReport {
        term,
        leads,
        last: Pos {
            term: last.0,
            log: last.1,
        },
        contact_ms,
        granted: true,
        follows: "".into(),
        asked: Ms(100),
    }
}

const SILENCE: FailureThresholds = FailureThresholds {
    refused_ms: 120,
    silent_ms: 800,
    cut_ms: 1600,
};

fn check(seen: &[ProbeOutcome], expect: Decision) {
    assert_eq!(evaluate(seen, SILENCE), expect, "{seen:?}");
}

#[test]
fn evidence() {
    let lost = |ms| ProbeOutcome::Report(report(1, false, (1, 5), ms));
    let leads = ProbeOutcome::Report(report(1, true, (1, 5), 0));
    let few = Decision::Keep("too few members have lost the primary for long enough");
    check(
        &[ProbeOutcome::Refused, lost(130), lost(130)],
        Decision::Change("the primary refuses connections"),
    );
    check(&[ProbeOutcome::Silent, lost(130), lost(130)], few);
    check(
        &[ProbeOutcome::Silent, lost(900), lost(900)],
        Decision::Change("the primary does not answer"),
    );
    check(&[ProbeOutcome::Silent, lost(900), lost(10)], few);
    check(&[leads.clone(), lost(900), lost(900)], few);
    check(
        &[leads.clone(), lost(1700), lost(1700)],
        Decision::Change("the primary answers but its replicas do not hear it"),
    );
    check(
        &[ProbeOutcome::Refused, ProbeOutcome::Refused, lost(9000)],
        Decision::Keep("fewer than a majority of members report"),
    );
    check(
        &[
            ProbeOutcome::Silent,
            ProbeOutcome::Silent,
            ProbeOutcome::Silent,
        ],
        Decision::Keep("no member reports"),
    );
}

#[test]
fn a_majority_needs_the_writes_own_term() {
    let pos = Pos { term: 2, log: 7 };
    let own = report(2, true, (2, 9), 0);
    let check = |other: MemberReport, expect: bool| {
        assert_eq!(
            confirmed(pos, 2, [own.clone(), other.clone()].iter(), 3),
            expect,
            "{other:?}"
        );
    };
    check(report(2, false, (2, 7), 0), true);
    check(report(2, false, (2, 6), 0), false);
    // It holds the entry but has granted a later term, whose majority may not hold it.
    check(report(3, false, (2, 7), 0), false);
    // It is further by number, in another history.
    check(report(2, false, (1, 50), 0), false);
}

#[test]
fn the_most_advanced_member_wins() {
    let check = |lasts: [Option<(u64, u64)>; 3], stays: [bool; 3], expect: Option<usize>| {
        let grants = lasts.map(|l| l.map(|last| report(4, false, last, 0)));
        assert_eq!(choose_candidate(&grants, |i| stays[i]), expect, "{lasts:?}");
    };
    check([None, Some((1, 9)), Some((2, 3))], [true; 3], Some(2));
    check([None, Some((2, 4)), Some((2, 3))], [true; 3], Some(1));
    check([None, None, Some((2, 3))], [true; 3], None);
    check(
        [Some((2, 3)), Some((2, 3)), None],
        [false, true, true],
        Some(1),
    );
    // A member that leaves still wins when it alone holds the newest entry.
    check(
        [Some((2, 4)), Some((2, 3)), None],
        [false, true, true],
        Some(0),
    );
}

/// More reports never take a confirmation back, and a confirmed write is verified as well.
#[test]
fn confirmation_grows() {
    fn property(terms: Vec<(u8, u8, u8)>) -> TestResult {
        if terms.len() < 2 {
            return TestResult::discard();
        }
        let small = |n: u8| u64::from(n % 3);
        let one =
            |(t, lt, l): &(u8, u8, u8)| report(small(*t), false, (small(*lt), u64::from(*l)), 0);
        let reports: Vec<MemberReport> = terms.iter().map(one).collect();
        let pos = Pos { term: 1, log: 3 };
        let part = confirmed(pos, 1, reports[1..].iter(), 3);
        let whole = confirmed(pos, 1, reports.iter(), 3);
        let sure = !whole || verified(1, Ms(100), reports.iter(), 3);
        TestResult::from_bool((!part || whole) && sure)
    }
    check_property(property as fn(Vec<(u8, u8, u8)>) -> TestResult);
}

/// The winner holds whatever a majority holds at the highest position.
#[test]
fn the_winner_is_never_behind() {
    fn property(a: (u8, u8), b: (u8, u8), c: (u8, u8)) -> bool {
        let grant = |(t, l): (u8, u8)| Some(report(9, false, (u64::from(t), u64::from(l)), 0));
        let grants = [a, b, c].map(grant);
        let best = choose_candidate(&grants, |_| true).expect("all granted");
        let last = |i: usize| grants[i].as_ref().map(|r| r.last);
        (0..3).all(|i| last(i) <= last(best))
    }
    check_property(property as fn((u8, u8), (u8, u8), (u8, u8)) -> bool);
}
