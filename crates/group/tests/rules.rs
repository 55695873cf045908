//! Unit and property tests of the failure evidence, the confirmation of writes and the choice of
//! the member to promote.

// quickcheck passes generated values by value.
#![allow(clippy::needless_pass_by_value)]

use base::Ms;
use group::{
    Decision, FailureThresholds, MemberReport, ProbeOutcome, choose_candidate, confirmed, evaluate,
    had_no_newer_term,
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
        requested_at: Ms(100),
    }
}

const THRESHOLDS: FailureThresholds = FailureThresholds {
    refused_ms: 120,
    silent_ms: 800,
    isolated_ms: 1600,
};

fn check_evidence(probes: &[ProbeOutcome], expected: Decision) {
    assert_eq!(evaluate(probes, THRESHOLDS), expected, "{probes:?}");
}

/// A primary change on the word of too few members, or before the threshold that fits the probe
/// outcomes, would replace a working primary.
#[test]
fn primary_change_needs_a_majority_that_lost_the_primary() {
    let replica_silent_for = |ms| ProbeOutcome::Report(report(1, false, (1, 5), ms));
    let primary_reports = ProbeOutcome::Report(report(1, true, (1, 5), 0));
    let too_few = Decision::Keep("too few members have lost the primary for long enough");
    // The primary refuses connections.
    check_evidence(
        &[
            ProbeOutcome::Refused,
            replica_silent_for(130),
            replica_silent_for(130),
        ],
        Decision::Change("the primary refuses connections"),
    );
    // The primary does not answer: too short, long enough, and long enough for one replica only.
    check_evidence(
        &[
            ProbeOutcome::NoResponse,
            replica_silent_for(130),
            replica_silent_for(130),
        ],
        too_few,
    );
    check_evidence(
        &[
            ProbeOutcome::NoResponse,
            replica_silent_for(900),
            replica_silent_for(900),
        ],
        Decision::Change("the primary does not answer"),
    );
    check_evidence(
        &[
            ProbeOutcome::NoResponse,
            replica_silent_for(900),
            replica_silent_for(10),
        ],
        too_few,
    );
    // The primary answers the probe, but its replicas do not hear from it.
    check_evidence(
        &[
            primary_reports.clone(),
            replica_silent_for(900),
            replica_silent_for(900),
        ],
        too_few,
    );
    check_evidence(
        &[
            primary_reports.clone(),
            replica_silent_for(1700),
            replica_silent_for(1700),
        ],
        Decision::Change("the primary answers but its replicas do not hear it"),
    );
    // Only a minority reports, or nobody.
    check_evidence(
        &[
            ProbeOutcome::Refused,
            ProbeOutcome::Refused,
            replica_silent_for(9000),
        ],
        Decision::Keep("fewer than a majority of members report"),
    );
    check_evidence(
        &[
            ProbeOutcome::NoResponse,
            ProbeOutcome::NoResponse,
            ProbeOutcome::NoResponse,
        ],
        Decision::Keep("no member reports"),
    );
}

/// The short threshold for a refusing primary must not follow from a replica that refuses: in a group
/// of three, both other members have then lost the primary.
#[test]
fn only_the_refusal_of_the_primary_shortens_the_threshold() {
    let replica_silent_for = |ms| ProbeOutcome::Report(report(1, false, (1, 5), ms));
    let outcomes = [
        ProbeOutcome::Refused,
        ProbeOutcome::NoResponse,
        ProbeOutcome::Report(report(1, true, (1, 5), 0)),
        replica_silent_for(10),
        replica_silent_for(130),
    ];
    let mut changes = 0;
    for a in &outcomes {
        for b in &outcomes {
            for c in &outcomes {
                let probes = [a.clone(), b.clone(), c.clone()];
                let decision = evaluate(&probes, THRESHOLDS);
                if decision == Decision::Change("the primary refuses connections") {
                    let lost = probes.iter().filter(|p| **p == outcomes[4]).count();
                    assert_eq!(lost, 2, "{probes:?}");
                    changes += 1;
                }
            }
        }
    }
    assert_eq!(changes, 3);
}

/// A write that is acknowledged on a report of another term can be overwritten by a later primary.
#[test]
fn confirmation_counts_only_reports_of_the_writes_term() {
    let pos = Pos { term: 2, log: 7 };
    let own = report(2, true, (2, 9), 0);
    let check = |other: MemberReport, expected: bool| {
        assert_eq!(
            confirmed(pos, 2, [own.clone(), other.clone()].iter(), 3),
            expected,
            "{other:?}"
        );
    };
    // The replica's log reaches the write, or ends one entry before it.
    check(report(2, false, (2, 7), 0), true);
    check(report(2, false, (2, 6), 0), false);
    // The replica holds the entry but has granted a later term, whose majority may not hold it.
    check(report(3, false, (2, 7), 0), false);
    // The replica's log is longer, but ends in an older term, whose entries differ.
    check(report(2, false, (1, 50), 0), false);
}

/// Promoting a member that lacks an acknowledged write would lose the write.
#[test]
fn candidate_has_the_highest_last_position() {
    let check = |lasts: [Option<(u64, u64)>; 3], preferred: [bool; 3], expected: Option<usize>| {
        let grants = lasts.map(|l| l.map(|last| report(4, false, last, 0)));
        assert_eq!(
            choose_candidate(&grants, |i| preferred[i]),
            expected,
            "{lasts:?}"
        );
    };
    // The term of the last entry takes precedence over its log index.
    check([None, Some((1, 9)), Some((2, 3))], [true; 3], Some(2));
    check([None, Some((2, 4)), Some((2, 3))], [true; 3], Some(1));
    // One grant is no majority.
    check([None, None, Some((2, 3))], [true; 3], None);
    // Among equal positions the preferred member is chosen.
    check(
        [Some((2, 3)), Some((2, 3)), None],
        [false, true, true],
        Some(1),
    );
    // The last position takes precedence over the preference.
    check(
        [Some((2, 4)), Some((2, 3)), None],
        [false, true, true],
        Some(0),
    );
}

/// Additional reports never revoke a confirmation, and a majority that confirms a write had no
/// newer term.
#[test]
fn more_reports_never_revoke_a_confirmation() {
    fn property(generated: Vec<(u8, u8, u8)>) -> TestResult {
        if generated.len() < 2 {
            return TestResult::discard();
        }
        let small_term = |n: u8| u64::from(n % 3);
        let to_report = |(term, last_term, last_log): &(u8, u8, u8)| {
            report(
                small_term(*term),
                false,
                (small_term(*last_term), u64::from(*last_log)),
                0,
            )
        };
        let reports: Vec<MemberReport> = generated.iter().map(to_report).collect();
        let pos = Pos { term: 1, log: 3 };
        let subset = confirmed(pos, 1, reports[1..].iter(), 3);
        let all = confirmed(pos, 1, reports.iter(), 3);
        let verified = !all || had_no_newer_term(1, Ms(100), reports.iter(), 3);
        TestResult::from_bool((!subset || all) && verified)
    }
    check_property(property as fn(Vec<(u8, u8, u8)>) -> TestResult);
}

/// No granting member has a higher last position than the chosen candidate.
#[test]
fn candidate_is_never_behind_another_granting_member() {
    fn property(a: (u8, u8), b: (u8, u8), c: (u8, u8)) -> bool {
        let grant = |(t, l): (u8, u8)| Some(report(9, false, (u64::from(t), u64::from(l)), 0));
        let grants = [a, b, c].map(grant);
        let winner = choose_candidate(&grants, |_| true).expect("all granted");
        let last = |i: usize| grants[i].as_ref().map(|r| r.last);
        (0..3).all(|i| last(i) <= last(winner))
    }
    check_property(property as fn((u8, u8), (u8, u8), (u8, u8)) -> bool);
}
