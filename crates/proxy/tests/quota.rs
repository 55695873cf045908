//! Decisions of the rate limits.

use base::Ms;
use proxy::{
    AccountDemand, AccountKey, Admission, AskerKey, Bucket, BusiestAccounts, GRANT_TTL_MS, Holding,
    KEEPER_LEASE_MS, Keeper, KeeperLease, Limit, QuotaRules, RENEWAL_INTERVAL_MS, ShardKey, Start,
    Ticket,
};
use schema::{QuotaGrant, QuotaReport};

const RULES: QuotaRules = QuotaRules {
    window_ms: 5000,
    overage: 0.1,
    slack: 20.0,
    parts: 1,
};
const A: AskerKey = AskerKey(1);
const B: AskerKey = AskerKey(2);

fn bucket(rate: f64, burst: f64) -> Bucket {
    Bucket::new(Limit::new(rate, burst), burst, Ms(0))
}

fn granted(bucket: &mut Bucket, asker: AskerKey, seq: u64, wanted: u32, now: u64) -> u32 {
    bucket.grant(asker, seq, wanted, Ms(now)).granted
}

fn report(seq: u64, used: u32, unused: u32) -> QuotaReport {
    QuotaReport { seq, used, unused }
}

fn grant(granted: u32) -> QuotaGrant {
    QuotaGrant {
        granted,
        retry_ms: 0,
    }
}

fn admitted(admission: Admission) -> Ticket {
    match admission {
        Admission::Admitted(ticket) => ticket,
        other => panic!("not admitted: {other:?}"),
    }
}

/// Guards against the refill of what is outstanding, which may still run.
#[test]
fn outstanding_operations_are_not_refilled() {
    let mut bucket = bucket(10.0, 10.0);
    assert_eq!(granted(&mut bucket, A, 1, 10, 0), 10);
    assert_eq!(granted(&mut bucket, A, 2, 10, 900), 0);
    bucket.report(A, &report(1, 4, 6), Ms(900));
    assert_eq!(granted(&mut bucket, A, 3, 10, 900), 6);
}

/// Guards against operations that run twice: those of a daemon that was cut off after use, and those
/// that it reports too late as unused.
#[test]
fn what_is_not_reported_in_time_counts_as_used() {
    let mut bucket = bucket(1.0, 10.0);
    assert_eq!(granted(&mut bucket, A, 1, 10, 0), 10);
    bucket.report(A, &report(1, 0, 10), Ms(1000));
    assert_eq!(granted(&mut bucket, A, 2, 10, 1000), 0);
    assert_eq!(granted(&mut bucket, A, 3, 10, 2000), 1);
}

/// Guards against reports of one daemon that free the operations of another, or more than it had.
#[test]
fn a_report_frees_only_the_grant_that_it_names() {
    let mut bucket = bucket(0.0, 10.0);
    assert_eq!(granted(&mut bucket, A, 1, 4, 0), 4);
    assert_eq!(granted(&mut bucket, B, 1, 6, 0), 6);
    bucket.report(A, &report(2, 0, 6), Ms(100));
    bucket.report(A, &report(1, 0, u32::MAX), Ms(100));
    assert!((bucket.level() - 4.0).abs() < 1e-9);
    assert!((bucket.outstanding() - 6.0).abs() < 1e-9);
}

/// Guards against a lowered limit that takes effect only once the bucket is used up, and a raised
/// one that fills it.
#[test]
fn a_changed_limit_takes_effect_at_once() {
    let mut bucket = bucket(100.0, 100.0);
    assert_eq!(granted(&mut bucket, A, 1, 5, 0), 5);
    bucket.set_limit(Limit::new(10.0, 20.0), Ms(0));
    assert_eq!(granted(&mut bucket, A, 2, 100, 0), 15);
    bucket.set_limit(Limit::new(100.0, 100.0), Ms(0));
    assert_eq!(granted(&mut bucket, A, 3, 100, 10), 1);
}

/// Guards against a small bucket that grants nothing to many daemons, and one daemon that takes all.
#[test]
fn the_level_is_divided_by_what_is_wanted() {
    let mut large = bucket(100.0, 100.0);
    assert_eq!(granted(&mut large, A, 1, 50, 0), 50);
    // 150 of 200 is wanted here, which would be 75 of 100.
    assert_eq!(granted(&mut large, B, 1, 150, 0), 50);
    // 50 of 200 is wanted here, and 20 more have come.
    assert_eq!(granted(&mut large, A, 2, 50, 200), 0, "all is outstanding");
    large.report(A, &report(1, 50, 0), Ms(200));
    large.report(B, &report(1, 50, 0), Ms(200));
    assert_eq!(granted(&mut large, A, 3, 50, 400), 17);
    let mut small = bucket(1.0, 2.0);
    small.grant(A, 1, 0, Ms(0));
    let all: u32 = (1..=8)
        .map(|asker| granted(&mut small, AskerKey(asker), 1, 1, 0))
        .sum();
    assert_eq!(all, 2);
    let refused = small.grant(AskerKey(9), 1, 1, Ms(0));
    assert!(refused.granted == 0 && refused.retry_ms > 0);
}

fn first_grant(start: Start, now: u64) -> u32 {
    let mut keeper = Keeper::new(RULES, start, Ms(0));
    let demand = AccountDemand {
        asker: A,
        seq: 1,
        account: AccountKey(0),
        wanted: 1000,
        reports: &[],
        is_loan: false,
    };
    let limit = Limit::new(40.0, 100.0);
    keeper.answer(&demand, limit, Ms(now)).granted
}

/// Guards against a new keeper that adds a burst to what the former one has handed out.
#[test]
fn a_new_keeper_begins_with_the_tolerance_of_a_window() {
    // The burst, and what may be outstanding until it is reported.
    assert_eq!(first_grant(Start::First, 0), 100 + 2);
    // 0.1 x (40 x 5 + 100) + 8 - 2, and half a second's refill later.
    assert_eq!(first_grant(Start::Successor, 0), 36);
    assert_eq!(first_grant(Start::Successor, GRANT_TTL_MS), 36 + 20);
    // The former keeper may have given out the tolerance.
    assert_eq!(first_grant(Start::SuccessorInWindow, 0), 0);
    assert_eq!(first_grant(Start::SuccessorInWindow, GRANT_TTL_MS), 20);
}

/// Guards against two keepers at once, a lock that is written for nobody, and a keeper that only its
/// own daemon reaches.
#[test]
fn the_lease_of_a_keeper_ends_before_its_lock_is_taken() {
    let mut lease = KeeperLease::new(Start::Successor, Ms(0), Ms(100));
    assert!(lease.is_valid(Ms(KEEPER_LEASE_MS - 1)) && !lease.is_valid(Ms(KEEPER_LEASE_MS)));
    assert!(!lease.is_renewal_due(Ms(RENEWAL_INTERVAL_MS - 1)));
    assert!(lease.is_renewal_due(Ms(RENEWAL_INTERVAL_MS)));
    lease.renew(Ms(1500));
    assert!(lease.is_valid(Ms(KEEPER_LEASE_MS + 1499)));
    lease.record_request(false, Ms(5000));
    let is_due =
        |lease: &KeeperLease, has_peers, at| lease.is_release_due(&RULES, has_peers, Ms(at));
    assert!(!is_due(&lease, true, 5099) && is_due(&lease, true, 5100));
    // Without other daemons, it is released once all its grants had expired a window ago.
    assert!(!is_due(&lease, false, 10_499) && is_due(&lease, false, 10_500));
}

/// Guards against two keepers that give out the tolerance of the same window, and against a full
/// bucket after one that has granted something within the window.
#[test]
fn the_next_keeper_begins_as_the_last_one_allows() {
    let next = |lease: &KeeperLease, released, at| lease.next_start(&RULES, released, Ms(at));
    let mut lease = KeeperLease::new(Start::Successor, Ms(0), Ms(100));
    lease.record_request(true, Ms(1000));
    assert_eq!(next(&lease, false, 5099), Start::SuccessorInWindow);
    assert_eq!(next(&lease, true, 5100), Start::Successor);
    assert_eq!(next(&lease, true, 6499), Start::Successor);
    assert_eq!(next(&lease, true, 6500), Start::First);
    // It may still grant something until the lock is taken from it.
    assert_eq!(next(&lease, false, 6500), Start::Successor);
    let first = KeeperLease::new(Start::First, Ms(0), Ms(100));
    assert_eq!(next(&first, true, 100), Start::Successor);
}

/// Guards against the use of a grant after its time, which counts from the sending of the request.
#[test]
fn a_grant_expires() {
    let mut holding = Holding::default();
    holding.add_grant(1, grant(2), Ms(100), Ms(400));
    let ticket = admitted(holding.arrive(Ms(599)));
    assert!(ticket.is_valid(Ms(599)) && !ticket.is_valid(Ms(600)));
    assert_eq!(holding.arrive(Ms(600)), Admission::Unknown);
    assert_eq!(holding.reports(Ms(600)), [report(1, 0, 2)]);
    // It comes back after the report, which said already that it will not run.
    holding.give_back(ticket);
    assert_eq!(holding.arrive(Ms(610)), Admission::Unknown);
    assert!(holding.reports(Ms(700)).is_empty());
}

/// Guards against an operation that is reported as used and given back as well.
#[test]
fn a_refused_operation_costs_nothing() {
    let mut holding = Holding::default();
    holding.add_grant(1, grant(1), Ms(0), Ms(0));
    let ticket = admitted(holding.arrive(Ms(0)));
    holding.mark_sent(ticket);
    assert!(holding.reports(Ms(100)).is_empty(), "the outcome is open");
    holding.mark_not_run(ticket);
    holding.give_back(ticket);
    let ticket = admitted(holding.arrive(Ms(200)));
    holding.mark_sent(ticket);
    holding.mark_used(ticket);
    assert_eq!(holding.reports(Ms(250)), [report(1, 1, 0)]);
    let late = admitted({
        holding.add_grant(2, grant(1), Ms(250), Ms(250));
        holding.arrive(Ms(300))
    });
    holding.mark_sent(late);
    // The answer of the member is still open when the grant expires.
    assert_eq!(holding.reports(Ms(750)), [report(2, 1, 0)]);
    holding.mark_not_run(late);
    holding.give_back(late);
    assert_eq!(holding.arrive(Ms(760)), Admission::Unknown);
}

/// Guards against questions for each operation of an account that is over its rate.
#[test]
fn an_account_over_its_rate_is_refused_until_the_keeper_said() {
    let mut holding = Holding::default();
    let refused = QuotaGrant {
        granted: 1,
        retry_ms: 80,
    };
    holding.add_grant(1, refused, Ms(0), Ms(10));
    admitted(holding.arrive(Ms(20)));
    assert_eq!(holding.arrive(Ms(30)), Admission::Refused { retry_ms: 60 });
    holding.add_waiting();
    assert!(!holding.is_urgent(Ms(89)) && holding.is_urgent(Ms(90)));
    assert_eq!(holding.arrive(Ms(90)), Admission::Unknown);
}

/// Guards against grants that many accounts with little demand hold in advance, and against a daemon
/// that asks for ever.
#[test]
fn little_demand_is_not_asked_for_in_advance() {
    let mut holding = Holding::default();
    holding.arrive(Ms(0));
    holding.end_interval();
    assert_eq!(holding.wanted(Ms(250)), 0);
    assert!(!holding.has_business(Ms(250)));
    for _ in 0..20 {
        holding.end_interval();
    }
    assert!(holding.is_idle(Ms(5000)));
    for _ in 0..8 {
        holding.arrive(Ms(5000));
    }
    holding.end_interval();
    assert!(holding.wanted(Ms(5250)) >= 4);
}

/// Guards against more than the slack while no keeper answers.
#[test]
fn one_operation_a_window_runs_without_a_keeper() {
    let mut holding = Holding::default();
    let ticket = holding
        .take_fallback(&RULES, 8, Ms(1000))
        .expect("the first");
    assert!(ticket.is_valid(Ms(1499)) && !ticket.is_valid(Ms(1500)));
    // The first may be sent at 1,499.
    assert_eq!(holding.take_fallback(&RULES, 8, Ms(6499)), None);
    assert!(holding.take_fallback(&RULES, 8, Ms(6500)).is_some());
    assert_eq!(Holding::default().take_fallback(&RULES, 13, Ms(0)), None);
    let without_slack = QuotaRules {
        slack: 11.0,
        ..RULES
    };
    let ticket = Holding::default().take_fallback(&without_slack, 1, Ms(0));
    assert_eq!(ticket, None);
}

/// Guards against an account that can never run because its burst is below one, and against one with
/// a rate of 0 that runs.
#[test]
fn unusual_limits_are_usable() {
    let mut small = bucket(0.5, 0.0);
    assert_eq!(granted(&mut small, A, 1, 1, 2000), 1);
    let mut none = bucket(0.0, 0.0);
    assert_eq!(granted(&mut none, A, 1, 1, 1_000_000), 0);
    let mut negative = bucket(-1.0, -1.0);
    assert_eq!(granted(&mut negative, A, 1, 1, 1_000_000), 0);
}

/// Guards against metrics that grow with the number of accounts, and against labels that stay with
/// accounts that are no longer busy.
#[test]
fn only_the_busiest_accounts_have_labels() {
    let mut busiest = BusiestAccounts::default();
    let labelled = (0..100).filter(|i| busiest.record(AccountKey(*i))).count();
    assert_eq!(labelled, 20);
    for _ in 0..5000 {
        busiest.record(AccountKey(99));
    }
    let lost = busiest.rank();
    assert_eq!(lost.len(), 1, "one makes room for account 99");
    assert!(busiest.record(AccountKey(99)));
    assert!(!busiest.record(lost[0]));
    assert!(busiest.rank().is_empty(), "it is not due again");
}

/// Guards against daemons that look for the keeper of an account in different shards.
#[test]
fn the_shard_of_a_name_is_fixed() {
    let shards: Vec<ShardKey> = ["a", "b", "c", "d", "e", "f"]
        .iter()
        .map(|name| ShardKey::of_name(name))
        .collect();
    let numbers: Vec<String> = shards.iter().map(|s| format!("{s:?}")).collect();
    let expected = [3, 3, 3, 2, 0, 2].map(|n| format!("ShardKey({n})"));
    assert_eq!(numbers, expected);
}
