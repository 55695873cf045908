//! Tests of the decision modules, which do no I/O, on the loads and traces that they must handle.

use base::Ms;
use property::check_property;
use proxy::{
    FailoverCause, History, LagBackoff, Lease, Load, Member, MemberKey, MemberRecord,
    PrimaryHealth, ProbeResult, Rank, Role, check_interval_ms, cost, detect_failure, is_servable,
    renewal_interval_ms,
};
use quickcheck::TestResult;
use schema::Pos;

/// Result of a probe of a replica that has not restarted.
fn probe(sent_at: u64, term: u64, fenced: u64) -> ProbeResult {
    ProbeResult {
        sent_at: Ms(sent_at),
        received_at: Ms(sent_at + 5),
        role: Role::Replica,
        term,
        fenced,
        up_since: Ms(0),
    }
}

const REPLICAS: [MemberKey; 2] = [MemberKey(1), MemberKey(2)];

/// Records probe results, each with the number of its replica, in the given order, and checks when
/// the lease on a term ends; 0 means no lease.
fn check_lease(probes: &[(u64, ProbeResult)], term: u64, expect: u64) {
    let mut lease = Lease::default();
    for (key, probe) in probes {
        lease.record(MemberKey(*key), *probe, &REPLICAS);
    }
    assert_eq!(lease.until(term), Ms(expect), "{probes:?}");
}

/// Guards against a lease while the other replica may be fenced for a primary change already.
#[test]
fn one_replica_does_not_establish_the_lease() {
    check_lease(&[(1, probe(100, 1, 0))], 1, 0);
}

/// Two rounds of probe results of both replicas, which establish the lease.
fn two_rounds() -> Vec<(u64, ProbeResult)> {
    [(1, 100), (2, 100), (1, 200), (2, 210)]
        .into_iter()
        .map(|(key, sent_at)| (key, probe(sent_at, 1, 0)))
        .collect()
}

/// As `check_lease`, with `two_rounds` before the given results.
fn check_lease_after_two_rounds(more: &[(u64, ProbeResult)], term: u64, expect: u64) {
    let mut probes = two_rounds();
    probes.extend(more);
    check_lease(&probes, term, expect);
}

/// Guards against a lease from replicas that were unfenced at different instants only.
#[test]
fn one_round_does_not_establish_the_lease() {
    check_lease(&two_rounds()[..2], 1, 0);
}

/// The lease ends 800 ms after the newest probe was sent.
#[test]
fn two_rounds_establish_the_lease() {
    check_lease(&two_rounds(), 1, 1010);
}

/// Guards against a lease from replicas that were unfenced one after the other: one restarts during
/// a primary change, which clears its fence, and the other is unfenced after the change.
#[test]
fn restart_during_a_primary_change_does_not_establish_the_lease() {
    let mut restarted = probe(700, 1, 0);
    restarted.up_since = Ms(690);
    let probes = [
        (2, probe(600, 1, 2)),
        (1, restarted),
        (2, probe(1100, 1, 0)),
    ];
    check_lease(&probes, 1, 0);
}

/// Guards against a lease that ends although the results of one replica rule out a primary change.
#[test]
fn a_linked_result_renews_the_lease() {
    check_lease_after_two_rounds(&[(1, probe(900, 1, 0))], 1, 1700);
}

/// Guards against a renewal after a gap in which a whole primary change fits.
#[test]
fn a_gap_breaks_the_link() {
    check_lease_after_two_rounds(&[(1, probe(1100, 1, 0))], 1, 1010);
}

/// Guards against a renewal by an answer so late that a whole primary change fits between the two
/// instants at which the replica handled the probes.
#[test]
fn a_late_answer_breaks_the_link() {
    let mut late = probe(700, 1, 0);
    late.received_at = Ms(1150);
    check_lease_after_two_rounds(&[(1, late)], 1, 1010);
}

/// Guards against a renewal by a replica whose restart may have cleared its fence.
#[test]
fn a_restart_breaks_the_link() {
    let mut late = probe(600, 1, 0);
    late.up_since = Ms(500);
    check_lease_after_two_rounds(&[(1, late)], 1, 1010);
}

/// Guards against a lease that ends because a replica was also asked over a newer connection, as by the
/// daemon that changes the primary: while the old primary is cut off, no new lease can be established.
#[test]
fn a_result_over_a_newer_connection_keeps_the_link() {
    let mut newer = probe(600, 1, 0);
    newer.up_since = Ms(550);
    check_lease_after_two_rounds(&[(1, newer), (1, probe(900, 1, 0))], 1, 1700);
}

/// Guards against a lease on the old primary: once a promotion has taken effect, the other replica
/// is unfenced but still reports the old term.
#[test]
fn an_unfenced_replica_of_the_old_term_does_not_renew_the_lease() {
    let more = [
        (2, probe(700, 1, 2)),
        (2, probe(1300, 1, 2)),
        (2, probe(1800, 1, 0)),
    ];
    check_lease_after_two_rounds(&more, 1, 1010);
}

/// Guards against a missing lease after a failover: the old primary is dead, and the remaining
/// replica follows the new one.
#[test]
fn links_persist_through_a_primary_change() {
    let more = [
        (2, probe(700, 1, 2)),
        (2, probe(1300, 1, 2)),
        (2, probe(1800, 2, 0)),
    ];
    check_lease_after_two_rounds(&more, 2, 2600);
}

/// Guards against a missing lease after a failover: the remaining replica receives nothing and
/// stays at the old term.
#[test]
fn a_replica_without_replication_proves_the_new_primary() {
    let mut new = probe(1700, 2, 0);
    new.role = Role::Primary;
    let more = [
        (2, probe(700, 1, 2)),
        (2, probe(1300, 1, 2)),
        (1, new),
        (2, probe(1800, 1, 0)),
    ];
    check_lease_after_two_rounds(&more, 2, 2600);
}

fn healthy_primary() -> PrimaryHealth {
    PrimaryHealth {
        has_primary: true,
        replicas: 2,
        ..PrimaryHealth::default()
    }
}

fn check_cause(health: &PrimaryHealth, now: u64, expect: Option<FailoverCause>) {
    assert_eq!(
        detect_failure(health, Ms(now)),
        expect,
        "{health:?} at {now}"
    );
}

/// Guards against the replacement of a primary that shows no sign of failure.
#[test]
fn a_healthy_primary_stays() {
    check_cause(&healthy_primary(), 100_000, None);
}

/// Guards against waiting for the silence timeout when the primary refuses connections, and against
/// replacing a primary that is only late.
#[test]
fn a_refusing_primary_is_replaced_sooner_than_a_silent_one() {
    let mut health = healthy_primary();
    health.unreachable_since = Some(Ms(1000));
    check_cause(&health, 1200, None);
    check_cause(&health, 1900, Some(FailoverCause::Silent));
    health.conns_refused = true;
    check_cause(&health, 1200, Some(FailoverCause::Refused));
}

/// Guards against daemons that replace a healthy primary just after their own start, since it had
/// no room for their connections.
#[test]
fn a_primary_that_was_not_probed_yet_is_not_missing() {
    let mut health = healthy_primary();
    health.has_primary = false;
    health.role_unknown = true;
    check_cause(&health, 100_000, None);
    health.role_unknown = false;
    check_cause(&health, 100_000, None);
    health.no_primary_since = Some(Ms(0));
    check_cause(&health, 100_000, Some(FailoverCause::Missing));
    health.replicas = 0;
    check_cause(&health, 100_000, None);
}

/// Guards against a primary that stops before another one is promoted.
#[test]
fn a_leaving_primary_is_replaced_at_once() {
    let mut health = healthy_primary();
    health.draining = true;
    check_cause(&health, 1, Some(FailoverCause::Draining));
}

/// Guards against a primary change that cannot succeed, since only one replica can be fenced.
#[test]
fn stalled_writes_replace_a_primary_only_with_both_replicas() {
    let mut health = healthy_primary();
    health.oldest_write = Some(Ms(0));
    check_cause(&health, 1300, Some(FailoverCause::Stuck));
    health.replicas = 1;
    check_cause(&health, 1300, None);
}

/// Reference implementation: the lowest position that is fresh enough.
fn exact_floor(all: &[(u64, u64)], oldest: u64) -> Option<u64> {
    let fresh = all.iter().filter(|e| e.0 >= oldest);
    fresh.map(|e| e.1).min()
}

/// Guards against stale reads: a floor that lacks a commit acknowledged before the given instant.
#[test]
fn the_floor_includes_every_earlier_commit() {
    fn property(steps: Vec<(u8, u8)>, age: u16) -> TestResult {
        let mut history = History::default();
        let (mut now, mut log) = (0, 0);
        let mut all = Vec::new();
        for (wait, grow) in steps {
            now += u64::from(wait) + 1;
            log += u64::from(grow);
            history.add(Ms(now), Pos { term: 1, log });
            all.push((now, log));
        }
        let oldest = now.saturating_sub(u64::from(age) % 5000);
        let exact = exact_floor(&all, oldest);
        let floor = history.floor(Ms(oldest)).map(|p| p.log);
        // The history is thinned out, so the floor may be higher than needed, but never lower.
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

/// Indices of statements in the order in which they get connections at instant `now`.
fn order(now: u64, ranks: &[Rank]) -> Vec<usize> {
    let mut all: Vec<usize> = (0..ranks.len()).collect();
    all.sort_by_key(|&i| ranks[i].key(Ms(now)));
    all
}

/// Guards against serving a low-priority statement first because its target is nearer.
#[test]
fn high_priority_goes_first_while_the_target_can_be_met() {
    let ranks = [rank(2, 150), rank(1, 200), rank(2, 120)];
    assert_eq!(order(100, &ranks), [1, 2, 0]);
}

/// Guards against a statement that misses its target in any case and makes others miss theirs.
#[test]
fn statements_past_their_target_go_last() {
    let ranks = [rank(1, 50), rank(2, 150)];
    assert_eq!(order(100, &ranks), [1, 0]);
}

/// Guards against queueing statements whose wait would exceed their deadline.
#[test]
fn a_statement_is_servable_while_the_queue_ahead_fits_into_its_time() {
    // A statement gets a connection every 7 ms, and takes 14 ms then; half of the capacity is
    // offered, so that a statement past its target waits twice as long.
    let load = Load {
        capacity: Some(1.0 / 7.0),
        slots: None,
        offered: 0.5 / 7.0,
    };
    let is_servable = |ahead, target| is_servable(&rank(1, target), ahead, load, 14.0, Ms(0));
    assert!(is_servable(0, 21) && is_servable(10, 91));
    // `rank` puts the deadline 1,000 ms after the target.
    assert!(is_servable(69, 10) && !is_servable(71, 10));
    let unknown = Load {
        capacity: None,
        ..load
    };
    assert!(proxy::is_servable(&rank(1, 10), 1000, unknown, 14.0, Ms(0)));
    let saturated = Load {
        offered: 1.0 / 7.0,
        ..load
    };
    // Without spare capacity only the target counts: 7 ms for itself and for each one ahead, and
    // the 14 ms that it takes.
    let in_target =
        |ahead, target| proxy::is_servable(&rank(1, target), ahead, saturated, 14.0, Ms(0));
    assert!(in_target(0, 22) && !in_target(0, 20));
    assert!(in_target(10, 92) && !in_target(10, 90));
    assert!(!in_target(0, 10));
}

/// Number of requests to a replica whose log does not grow for `ms`, while a read is always
/// waiting. `may_send` gets the backoff, the time of the last request and the current time.
fn count_requests(ms: u64, may_send: impl Fn(&LagBackoff, Ms, Ms) -> bool) -> u64 {
    let (mut backoff, mut last, mut sent) = (LagBackoff::default(), Ms(1000), 0);
    for now in (1000..1000 + ms).map(Ms) {
        if may_send(&backoff, last, now) {
            backoff.record_lag(now);
            last = now;
            sent += 1;
        }
    }
    sent
}

/// Guards against flooding replicas without progress: when both replicas of a group stood still for
/// 20 s, members rejected a sixth of all requests.
#[test]
fn a_replica_without_progress_gets_few_requests() {
    let fixed_delay = count_requests(20_000, |_, last, now| {
        last.plus(15) <= now || now == Ms(1000)
    });
    let with_backoff = count_requests(20_000, |backoff, _, now| backoff.may_retry(now));
    assert!(fixed_delay > 1300, "{fixed_delay}");
    assert!(with_backoff < 60, "{with_backoff}");
}

/// Guards against a replica that gets no reads although its log grows again.
#[test]
fn progress_resets_the_backoff() {
    let mut backoff = LagBackoff::default();
    for n in 1..10 {
        backoff.record_lag(Ms(n * 1000));
    }
    assert!(!backoff.may_retry(Ms(9100)) && backoff.is_lagging(Ms(9100)));
    backoff.record_progress();
    assert!(backoff.may_retry(Ms(9100)) && !backoff.is_lagging(Ms(9100)));
}

/// Guards against a replica that counts as lagging because several requests were in flight at once.
#[test]
fn answers_to_concurrent_requests_count_once() {
    let mut backoff = LagBackoff::default();
    for _ in 0..5 {
        backoff.record_lag(Ms(1000));
    }
    assert!(!backoff.is_lagging(Ms(1000)));
    assert!(backoff.may_retry(Ms(1015)));
}

/// Longest time without a lease after the loss of replica 2, in ms, while every fourth answer of
/// replica 1 comes `late` ms late. `renew` returns the age at which a probe result is renewed.
fn longest_gap(late: u64, renew: impl Fn(bool) -> u64) -> u64 {
    let mut lease = Lease::default();
    for (key, probe) in two_rounds() {
        lease.record(MemberKey(key), probe, &REPLICAS);
    }
    let (mut sent_at, mut count, mut gap, mut longest) = (200, 0, 0, 0);
    for now in 210..8000 {
        let age = renew(lease.is_redundant(&REPLICAS, Ms(now)));
        let wait = if count % 4 == 3 { late } else { 0 };
        // The health check runs every 100 ms.
        if now % 100 == 0 && now >= sent_at + age + wait {
            lease.record(MemberKey(1), probe(now, 1, 0), &REPLICAS);
            (sent_at, count) = (now, count + 1);
        }
        gap = if lease.until(1) > Ms(now) { 0 } else { gap + 1 };
        longest = longest.max(gap);
    }
    longest
}

/// Guards against losing the lease after the crash of one replica: with a fixed renewal interval, a
/// late answer of the other ended it, and six of eight daemons could not use the primary for 9 s,
/// until the crashed replica was back.
#[test]
fn a_late_answer_after_the_loss_of_a_replica_does_not_end_the_lease() {
    assert_eq!(longest_gap(0, |_| 550), 0);
    assert!(longest_gap(300, |_| 550) > 1000);
    assert_eq!(longest_gap(300, renewal_interval_ms), 0);
}

/// Guards against the long renewal interval while the lease depends on one replica.
#[test]
fn a_lease_is_redundant_while_all_results_are_linked() {
    let mut lease = Lease::default();
    for (key, probe) in two_rounds() {
        assert!(!lease.is_redundant(&REPLICAS, Ms(210)));
        lease.record(MemberKey(key), probe, &REPLICAS);
    }
    assert!(lease.is_redundant(&REPLICAS, Ms(210)));
    assert!(
        !lease.is_redundant(&REPLICAS, Ms(1090)),
        "a result is too old to be linked to"
    );
}

/// Guards against reads that ask for a position which no log contains any more: the old primary
/// reported it shortly before it was replaced, and its last commits were rolled back.
#[test]
fn positions_move_to_the_branch_of_the_new_term() {
    let pos = |term, log| Pos { term, log };
    let mut history = History::default();
    history.add(Ms(100), pos(1, 50));
    history.add(Ms(200), pos(2, 90));
    history.add(Ms(300), pos(2, 115));
    history.begin_term(3, pos(2, 111));
    history.begin_term(3, pos(3, 200));
    assert_eq!(history.floor(Ms(150)), Some(pos(2, 90)));
    assert_eq!(history.floor(Ms(250)), Some(pos(2, 111)));
    assert_eq!(history.on_branch(pos(2, 113)), pos(2, 111));
    assert_eq!(history.on_branch(pos(3, 130)), pos(3, 130));
    // Where term 2 began in the log is not known, so the whole start of term 3 is required.
    assert_eq!(history.on_branch(pos(1, 50)), pos(2, 111));
    // The log of term 4 contains nothing of term 3.
    history.begin_term(4, pos(2, 111));
    assert_eq!(history.on_branch(pos(3, 130)), pos(2, 111));
}

/// A member that the platform lists since the start.
fn member() -> Member {
    let record = MemberRecord {
        id: "i-1".into(),
        group: "g".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        data_center: "z".into(),
        slots: 2,
        draining: false,
        role: Role::Replica,
        started_at: 0,
    };
    Member::new(record, Ms(0))
}

/// Number of requests for position 2:115 to a member at the term 3, whose log grows every 10 ms,
/// during one second in which a read is always waiting. `may_send` gets the member and the instant.
fn count_denied_requests(may_send: impl Fn(&Member, Ms) -> bool) -> u64 {
    let (member, wanted, mut sent) = (member(), Pos { term: 2, log: 115 }, 0);
    for now in 1000..2000 {
        let reached = Pos {
            term: 3,
            log: now / 10,
        };
        if may_send(&member, Ms(now)) {
            member.record_lag(wanted, Some(reached), Ms(now));
            sent += 1;
        }
        member.record_position(reached);
    }
    sent
}

/// Guards against a flood of refused requests: a member whose log has passed a position by number
/// was asked again at once each time it denied to contain it, 72,000 times in 32 s.
#[test]
fn a_member_is_not_asked_again_for_a_position_that_it_rolled_back() {
    let wanted = Pos { term: 2, log: 115 };
    let by_number = count_denied_requests(|member, _| member.pos.get() >= wanted);
    assert!(by_number > 900, "{by_number}");
    let asked = count_denied_requests(|member, now| member.may_contain(wanted, now));
    assert!(asked <= 1, "{asked}");
}

/// Guards against a start or a change of primary that is served later than needed: the lease needs
/// two reports of each replica, one round after the other. Where it does not follow soon, the members
/// must not be asked more often than usual.
#[test]
fn members_are_asked_at_short_intervals_only_while_the_lease_is_due() {
    assert_eq!(check_interval_ms(false, 0), 50);
    assert_eq!(check_interval_ms(false, 299), 50);
    assert_eq!(check_interval_ms(false, 300), 100);
    assert_eq!(check_interval_ms(true, 0), 100);
}

/// Guards against reads that leave the data centre as soon as one statement is under way at the local
/// member, which costs bytes between data centres on every day; a member that is really busy must not
/// keep them.
#[test]
fn a_local_member_is_left_only_for_one_that_answers_in_half_the_time() {
    let (local, remote) = (member(), member());
    remote.record.borrow_mut().data_center = "other".into();
    let is_local_cheaper = || cost(&local, "z", Ms(0)) < cost(&remote, "z", Ms(0));
    local.on_request(Ms(0));
    assert!(is_local_cheaper());
    local.on_request(Ms(0));
    local.on_request(Ms(0));
    assert!(!is_local_cheaper());
}
