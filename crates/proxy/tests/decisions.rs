//! Decisions without input or output, each with the load or the trace that it answers.

use base::Ms;
use property::check_property;
use proxy::{
    FailoverCause, History, LagBackoff, Lease, MemberKey, PrimaryHealth, ProbeResult, Rank, Role,
    detect_failure, predicted_wait, renewal_interval_ms,
};
use quickcheck::TestResult;
use schema::Pos;

fn word(asked: u64, term: u64, fenced: u64) -> ProbeResult {
    ProbeResult {
        sent_at: Ms(asked),
        received_at: Ms(asked + 5),
        role: Role::Replica,
        term,
        fenced,
        up_since: Ms(0),
    }
}

const BOTH: [MemberKey; 2] = [MemberKey(1), MemberKey(2)];

/// Feeds words of replicas 1 and 2 and compares the end of the lease on a term.
fn check_lease(words: &[(u64, ProbeResult)], term: u64, expect: u64) {
    let mut lease = Lease::default();
    for (key, word) in words {
        lease.record(MemberKey(*key), *word, &BOTH);
    }
    assert_eq!(lease.until(term), Ms(expect), "{words:?}");
}

#[test]
fn one_replica_proves_nothing_at_first() {
    check_lease(&[(1, word(100, 1, 0))], 1, 0);
}

/// Both replicas, twice.
fn anchored() -> Vec<(u64, ProbeResult)> {
    [(1, 100), (2, 100), (1, 200), (2, 210)]
        .into_iter()
        .map(|(key, at)| (key, word(at, 1, 0)))
        .collect()
}

fn check_after(more: &[(u64, ProbeResult)], term: u64, expect: u64) {
    let mut words = anchored();
    words.extend(more);
    check_lease(&words, term, expect);
}

#[test]
fn one_round_proves_nothing() {
    check_lease(&anchored()[..2], 1, 0);
}

#[test]
fn a_second_round_proves_the_lease() {
    check_lease(&anchored(), 1, 1010);
}

/// Found by the walk: a replica that restarted during a change is free, then the other one is.
#[test]
fn a_restarted_replica_before_and_a_freed_one_after_prove_nothing() {
    let mut restarted = word(700, 1, 0);
    restarted.up_since = Ms(690);
    let words = [(2, word(600, 1, 2)), (1, restarted), (2, word(1100, 1, 0))];
    check_lease(&words, 1, 0);
}

#[test]
fn a_linked_word_renews_alone() {
    check_after(&[(1, word(900, 1, 0))], 1, 1700);
}

#[test]
fn a_gap_breaks_the_chain() {
    check_after(&[(1, word(1100, 1, 0))], 1, 1010);
}

#[test]
fn a_restart_breaks_the_chain() {
    let mut late = word(600, 1, 0);
    late.up_since = Ms(500);
    check_after(&[(1, late)], 1, 1010);
}

/// Seen on the bench: at the effect of a promotion the other replica is free and of the old term.
#[test]
fn a_freed_replica_of_the_old_term_proves_nothing() {
    let more = [
        (2, word(700, 1, 2)),
        (2, word(1300, 1, 2)),
        (2, word(1800, 1, 0)),
    ];
    check_after(&more, 1, 1010);
}

/// Seen on the bench: the old primary is dead, and the replica that is left follows the new one.
#[test]
fn the_chain_goes_on_through_a_change() {
    let more = [
        (2, word(700, 1, 2)),
        (2, word(1300, 1, 2)),
        (2, word(1800, 2, 0)),
    ];
    check_after(&more, 2, 2600);
}

/// Seen on the bench: the replica that is left receives nothing and stays at the old term.
#[test]
fn a_deaf_replica_proves_the_new_primary() {
    let mut new = word(1700, 2, 0);
    new.role = Role::Primary;
    let more = [
        (2, word(700, 1, 2)),
        (2, word(1300, 1, 2)),
        (1, new),
        (2, word(1800, 1, 0)),
    ];
    check_after(&more, 2, 2600);
}

fn sight() -> PrimaryHealth {
    PrimaryHealth {
        has_primary: true,
        replicas: 2,
        ..PrimaryHealth::default()
    }
}

fn check_cause(sight: &PrimaryHealth, now: u64, expect: Option<FailoverCause>) {
    assert_eq!(detect_failure(sight, Ms(now)), expect, "{sight:?} at {now}");
}

#[test]
fn a_healthy_primary_stays() {
    check_cause(&sight(), 100_000, None);
}

#[test]
fn a_refusing_primary_is_replaced_sooner_than_a_silent_one() {
    let mut seen = sight();
    seen.unreachable_since = Some(Ms(1000));
    check_cause(&seen, 1200, None);
    check_cause(&seen, 1900, Some(FailoverCause::Silent));
    seen.conns_refused = true;
    check_cause(&seen, 1200, Some(FailoverCause::Refused));
}

/// Seen on the bench: daemons that had just started changed a primary that had no room for them.
#[test]
fn an_unheard_primary_is_not_missing() {
    let mut seen = sight();
    seen.has_primary = false;
    seen.role_unknown = true;
    check_cause(&seen, 100_000, None);
    seen.role_unknown = false;
    check_cause(&seen, 100_000, Some(FailoverCause::Missing));
    seen.replicas = 0;
    check_cause(&seen, 100_000, None);
}

#[test]
fn a_leaving_primary_is_replaced_at_once() {
    let mut seen = sight();
    seen.draining = true;
    check_cause(&seen, 1, Some(FailoverCause::Draining));
}

#[test]
fn hanging_commits_replace_a_primary_only_with_both_replicas() {
    let mut seen = sight();
    seen.oldest_write = Some(Ms(0));
    check_cause(&seen, 1300, Some(FailoverCause::Stuck));
    seen.replicas = 1;
    check_cause(&seen, 1300, None);
}

/// The lowest position that is fresh enough, the slow way.
fn naive_floor(all: &[(u64, u64)], since: u64) -> Option<u64> {
    let fresh = all.iter().filter(|e| e.0 >= since);
    fresh.map(|e| e.1).min()
}

#[test]
fn a_floor_holds_every_commit_before() {
    fn property(steps: Vec<(u8, u8)>, age: u16) -> TestResult {
        let mut history = History::default();
        let (mut at, mut log) = (0, 0);
        let mut all = Vec::new();
        for (wait, grow) in steps {
            at += u64::from(wait) + 1;
            log += u64::from(grow);
            history.add(Ms(at), Pos { term: 1, log });
            all.push((at, log));
        }
        let since = at.saturating_sub(u64::from(age) % 5000);
        let exact = naive_floor(&all, since);
        let floor = history.floor(Ms(since)).map(|p| p.log);
        // Thinned out, so it may ask for more than needed, never for less.
        match (exact, floor) {
            (None, None) => TestResult::passed(),
            (Some(exact), Some(floor)) => TestResult::from_bool(floor >= exact && floor <= log),
            _ => TestResult::failed(),
        }
    }
    check_property(property as fn(Vec<(u8, u8)>, u16) -> TestResult);
}

fn rank(priority: u64, target: u64) -> Rank {
    Rank {
        priority,
        target: Ms(target),
        deadline: Ms(target + 1000),
    }
}

/// Sorts statements as they get connections at an instant.
fn order(now: u64, ranks: &[Rank]) -> Vec<usize> {
    let mut all: Vec<usize> = (0..ranks.len()).collect();
    all.sort_by_key(|&i| ranks[i].key(Ms(now)));
    all
}

#[test]
fn urgent_routes_go_first_while_they_can_meet_their_target() {
    let ranks = [rank(2, 150), rank(1, 200), rank(2, 120)];
    assert_eq!(order(100, &ranks), [1, 2, 0]);
}

#[test]
fn statements_past_their_target_go_last() {
    let ranks = [rank(1, 50), rank(2, 150)];
    assert_eq!(order(100, &ranks), [1, 0]);
}

#[test]
fn the_predicted_wait_grows_with_the_queue() {
    assert!(predicted_wait(0, 2, 14.0).abs() < f64::EPSILON);
    assert!((predicted_wait(10, 2, 14.0) - 70.0).abs() < f64::EPSILON);
}

/// Questions to a replica whose log stands still for some time while reads always wait.
fn questions(ms: u64, may_ask: impl Fn(&LagBackoff, Ms, Ms) -> bool) -> u64 {
    let (mut behind, mut last, mut asked) = (LagBackoff::default(), Ms(1000), 0);
    for now in (1000..1000 + ms).map(Ms) {
        if may_ask(&behind, last, now) {
            behind.record_lag(now);
            last = now;
            asked += 1;
        }
    }
    asked
}

/// The load of a day on which both replicas of a group stood still for 20 s; members turned away
/// a sixth of all that they were sent.
#[test]
fn a_replica_that_stands_still_is_rarely_asked() {
    let naive = questions(20_000, |_, last, now| {
        last.plus(15) <= now || now == Ms(1000)
    });
    let now = questions(20_000, |behind, _, now| behind.may_retry(now));
    assert!(naive > 1300, "{naive}");
    assert!(now < 60, "{now}");
}

#[test]
fn a_replica_whose_log_grows_is_asked_soon() {
    let mut behind = LagBackoff::default();
    for n in 1..10 {
        behind.record_lag(Ms(n * 1000));
    }
    assert!(!behind.may_retry(Ms(9100)) && behind.is_lagging(Ms(9100)));
    behind.record_progress();
    assert!(behind.may_retry(Ms(9100)) && !behind.is_lagging(Ms(9100)));
}

#[test]
fn answers_to_questions_sent_together_count_once() {
    let mut behind = LagBackoff::default();
    for _ in 0..5 {
        behind.record_lag(Ms(1000));
    }
    assert!(!behind.is_lagging(Ms(1000)));
    assert!(behind.may_retry(Ms(1015)));
}

/// Longest time without a lease after replica 2 is lost, while answers of replica 1 to questions
/// come `late` ms late each fourth time. `renew` tells the age at which a word is renewed.
fn longest_gap(late: u64, renew: impl Fn(bool) -> u64) -> u64 {
    let mut lease = Lease::default();
    for (key, word) in anchored() {
        lease.record(MemberKey(key), word, &BOTH);
    }
    let (mut asked, mut count, mut gap, mut longest) = (200, 0, 0, 0);
    for now in 210..8000 {
        let age = renew(lease.is_redundant(&BOTH, Ms(now)));
        let wait = if count % 4 == 3 { late } else { 0 };
        // The health check runs every 100 ms.
        if now % 100 == 0 && now >= asked + age + wait {
            lease.record(MemberKey(1), word(now, 1, 0), &BOTH);
            (asked, count) = (now, count + 1);
        }
        gap = if lease.until(1) > Ms(now) { 0 } else { gap + 1 };
        longest = longest.max(gap);
    }
    longest
}

/// A replica crashed and six of eight daemons could not use the primary until it was back, 9 s on.
#[test]
fn a_late_answer_does_not_end_the_lease_when_a_replica_is_lost() {
    assert_eq!(longest_gap(0, |_| 550), 0);
    assert!(longest_gap(300, |_| 550) > 1000);
    assert_eq!(longest_gap(300, renewal_interval_ms), 0);
}

#[test]
fn a_lease_is_firm_while_all_words_are_linked() {
    let mut lease = Lease::default();
    for (key, word) in anchored() {
        assert!(!lease.is_redundant(&BOTH, Ms(210)));
        lease.record(MemberKey(key), word, &BOTH);
    }
    assert!(lease.is_redundant(&BOTH, Ms(210)));
    assert!(
        !lease.is_redundant(&BOTH, Ms(1000)),
        "a word is too old to link"
    );
}
