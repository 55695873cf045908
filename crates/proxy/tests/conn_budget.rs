//! Replays loads of many accounts against the decisions on connections, without members or sockets.

mod conn_replay;

use base::Ms;
use conn_replay::{DEADLINE_MS, End, Op, Replay};
use proxy::{AccountKey, ConnBudget, ConnEntry, ConnKey, ConnState, ConnStep, Purpose};

/// Slot time of a statement, in ms.
const SERVICE_MS: u64 = 8;
/// An account whose operations are transactions.
const HOT: usize = 1;
/// Time for which these hold their connection beyond a slot, in ms.
const HOT_PINNED_MS: u64 = 70;

/// Part of the demand of each account: the first has 28 %, the smallest 0.14 %.
fn shares(accounts: usize) -> Vec<f64> {
    let mut shares = vec![0.28];
    for n in 1..u32::try_from(accounts).expect("few accounts") {
        let rank = f64::from(n) / f64::from(u32::try_from(accounts).expect("few accounts"));
        shares.push(0.016 - 0.0146 * rank);
    }
    let sum: f64 = shares.iter().sum();
    shares.iter().map(|s| s / sum).collect()
}

/// Random arrivals: `per_s` operations a second, divided as `shares` says, and `factor` of an
/// account and an instant.
struct Load {
    rng: fastrand::Rng,
    shares: Vec<f64>,
    per_s: f64,
}

impl Load {
    fn new(accounts: usize, per_s: f64) -> Load {
        Load {
            rng: fastrand::Rng::with_seed(7),
            shares: shares(accounts),
            per_s,
        }
    }

    fn arrivals(&mut self, now: u64, factor: impl Fn(usize) -> f64) -> Vec<Op> {
        let mut arrivals = Vec::new();
        for (account, share) in self.shares.iter().enumerate() {
            if self.rng.f64() < share * self.per_s / 1000.0 * factor(account) {
                arrivals.push(Op {
                    account,
                    arrival: now,
                    service_ms: SERVICE_MS,
                    pinned_ms: if account == HOT { HOT_PINNED_MS } else { 0 },
                });
            }
        }
        arrivals
    }
}

/// Runs a load for a time and then lets the operations end.
fn run(replay: &mut Replay, load: &mut Load, ms: u64, factor: impl Fn(usize, u64) -> f64) {
    for _ in 0..ms {
        let now = replay.now;
        let arrivals = load.arrivals(now, |account| factor(account, now));
        replay.step(&arrivals);
    }
    for _ in 0..DEADLINE_MS * 2 {
        replay.step(&[]);
    }
}

/// Part of the operations that were refused, and a percentile of the time of the others, in ms.
fn outcome<'a>(ends: impl Iterator<Item = &'a End>, percentile: usize) -> (f64, u64) {
    let ends: Vec<&End> = ends.collect();
    let mut took: Vec<u64> = ends
        .iter()
        .filter(|e| e.served)
        .map(|e| e.at - e.op.arrival)
        .collect();
    took.sort_unstable();
    let refused = ends.len() - took.len();
    let count = |n| f64::from(u32::try_from(n).expect("few operations"));
    let index = (took.len() * percentile / 100).min(took.len().saturating_sub(1));
    let at = took.get(index).copied().unwrap_or(0);
    (count(refused) / count(ends.len().max(1)), at)
}

/// Replays the usual demand on a member and checks that all of it is served.
fn check_usual_demand(limit: u64, slots: u64, owners: usize, accounts: usize, per_s: f64) {
    let mut replay = Replay::new(limit, slots, owners, accounts);
    let mut load = Load::new(accounts, per_s);
    run(&mut replay, &mut load, 30_000, |_, _| 1.0);
    let (refused, p50) = outcome(replay.ends.iter(), 50);
    let (_, p99) = outcome(replay.ends.iter(), 99);
    println!(
        "{accounts} on {limit}: {} operations, refused {refused:.4}, p50 {p50} ms, p99 {p99} ms, \
         {} openings, {} refused, {} open",
        replay.ends.len(),
        replay.openings,
        replay.refused_openings.len(),
        replay.total(),
    );
    assert!(refused < 0.001, "{refused}");
    assert!(p99 <= 60, "{p99}");
    // An opening takes more of a slot than a statement does.
    assert!(replay.openings * 2 < replay.ends.len() as u64);
    assert!(replay.refused_openings.len() < 10);
}

/// Guards against accounts that get no connection because there are fewer connections than accounts.
#[test]
fn accounts_share_fewer_connections() {
    check_usual_demand(56, 4, 6, 85, 90.0);
    check_usual_demand(29, 2, 3, 80, 60.0);
}

/// Guards against two accounts that close each other's connection for every statement: on one
/// connection, they would open one every 20 ms.
#[test]
fn two_accounts_do_not_evict_each_other_in_turn() {
    // The share of the only owner is one connection.
    let mut replay = Replay::new(4, 1, 1, 2);
    let mut served = 0;
    let mut arrivals = vec![op(0, 0), op(1, 0)];
    for now in 0..5000 {
        replay.step(&arrivals);
        arrivals.clear();
        for end in &replay.ends[served..] {
            arrivals.push(op(end.op.account, now + 1));
        }
        served = replay.ends.len();
    }
    let of = |account| {
        let ends = replay.ends.iter().filter(|e| e.op.account == account);
        ends.filter(|e| e.served).count()
    };
    println!(
        "{} openings, served {} and {}",
        replay.openings,
        of(0),
        of(1)
    );
    assert!(replay.openings <= 50, "{}", replay.openings);
    assert!(of(0) > 20 && of(1) > 20, "{} and {}", of(0), of(1));
}

fn op(account: usize, arrival: u64) -> Op {
    Op {
        account,
        arrival,
        service_ms: SERVICE_MS,
        pinned_ms: 0,
    }
}

/// Guards against a hot account that takes the connections of the others. Its operations are
/// transactions that hold a connection for longer than a slot, so that it could use the whole share.
#[test]
fn a_hot_account_does_not_slow_down_the_others() {
    let outcomes = |factor: f64| {
        let mut replay = Replay::new(56, 4, 6, 85);
        let mut load = Load::new(85, 90.0);
        run(&mut replay, &mut load, 12_000, |account, now| {
            let is_hot = account == HOT && (3000..10_000).contains(&now);
            if is_hot { factor } else { 1.0 }
        });
        // The accounts that share connections with the hot one.
        let home = replay.home(HOT);
        let is_other = |e: &&End| e.op.account != HOT && replay.home(e.op.account) == home;
        let ends = || replay.ends.iter().filter(is_other);
        let most = outcome(replay.ends.iter().filter(|e| e.op.account == HOT), 99);
        println!("the hot account: refused {:.3}, p99 {} ms", most.0, most.1);
        (outcome(ends(), 50), outcome(ends(), 99), replay.openings)
    };
    // 75 times its usual demand: 100 operations a second, which is more than all others have.
    let (calm, hot) = (outcomes(1.0), outcomes(75.0));
    println!("the others: calm {calm:?}, hot {hot:?}");
    assert!(hot.1.0 < 0.001);
    assert!(hot.0.1 <= calm.0.1 + 8);
    assert!(hot.1.1 <= calm.1.1 + 30);
}

/// Guards against a start, or a change of primary, that fills the member's slots with openings.
#[test]
fn a_start_opens_as_many_connections_at_once_as_there_are_slots() {
    let mut replay = Replay::new(56, 4, 6, 85);
    let all: Vec<Op> = (0..85).map(|account| op(account, 0)).collect();
    replay.step(&all);
    for _ in 0..DEADLINE_MS * 2 {
        replay.step(&[]);
    }
    let (refused, last) = outcome(replay.ends.iter(), 100);
    println!(
        "refused {refused:.3}, last {last} ms, {} openings, {} of them refused",
        replay.openings,
        replay.refused_openings.len()
    );
    assert!(replay.peak_opening <= 4);
    assert!(replay.refused_openings.is_empty());
    assert_eq!(replay.ends.len(), 85);
    assert!(refused < 0.001 && last <= DEADLINE_MS);
}

/// Guards against openings that are tried again and again at a member that has no connection left.
#[test]
fn a_refusal_for_too_many_connections_stops_openings() {
    let mut replay = Replay::new(30, 4, 2, 60);
    // Somebody else has all connections but four.
    replay.foreign = 24;
    let all: Vec<Op> = (0..60).map(|account| op(account, 0)).collect();
    replay.step(&all);
    while replay.now < 1000 {
        replay.step(&[]);
    }
    let refused = replay.refused_openings.len();
    println!("{refused} refused, {} open", replay.total());
    // Each of the two daemons tries again once every 150 ms.
    assert!((1..=14).contains(&refused), "{refused}");
    replay.foreign = 0;
    let all: Vec<Op> = (0..20).map(|account| op(account, 1000)).collect();
    replay.step(&all);
    while replay.now < 2000 {
        replay.step(&[]);
    }
    let (lost, _) = outcome(replay.ends.iter().filter(|e| e.op.arrival == 1000), 50);
    assert!(lost < 0.001, "{lost}");
}

/// Guards against connections above the share that are kept while other owners need theirs.
#[test]
fn connections_above_the_share_are_given_back_when_the_member_is_nearly_full() {
    let mut replay = Replay::new(26, 4, 2, 30);
    // Only the accounts of one daemon have any demand.
    let busy: Vec<usize> = (0..30).filter(|&a| replay.home(a) == 0).collect();
    for (n, now) in (0..3000).enumerate() {
        let arrivals = [op(busy[n / 5 % busy.len()], now)];
        replay.step(&arrivals[usize::from(n % 5 > 0)..]);
    }
    let (most, share) = replay.most_of_one_daemon();
    assert!(most as u64 > share, "{most} of {share}");
    replay.foreign = 24_u64.saturating_sub(replay.total() as u64);
    for _ in 0..700 {
        replay.step(&[]);
    }
    let (most, share) = replay.most_of_one_daemon();
    println!("{most} of a share of {share}, {} openings", replay.openings);
    assert!(most as u64 <= share);
}

/// Guards against a statement that is refused only at its deadline although transactions hold all
/// connections, and against an account that gets none after they have ended.
#[test]
fn pinned_connections_refuse_the_others_early_and_not_for_longer() {
    let mut replay = Replay::new(8, 4, 1, 6);
    // The share is five connections.
    let pin = |account| Op {
        pinned_ms: 3000,
        ..op(account, 0)
    };
    replay.step(&[pin(0), pin(1), pin(2), pin(3), pin(4)]);
    while replay.now < 1000 {
        replay.step(&[]);
    }
    replay.step(&[op(5, 1000)]);
    while replay.now < 4000 {
        replay.step(&[]);
    }
    let end = *replay
        .ends
        .iter()
        .find(|e| e.op.account == 5)
        .expect("ended");
    println!("refused after {} ms", end.at - 1000);
    assert!(!end.served && end.at <= 1200, "{end:?}");
    replay.step(&[op(5, 4000)]);
    for _ in 0..100 {
        replay.step(&[]);
    }
    let last = replay.ends.last().expect("ended");
    assert!(last.served && last.op.account == 5, "{last:?}");
    assert_eq!(replay.count(5), 1);
}

/// Guards against members that get more connections than they accept: the owners behind a cut use their
/// shares while another daemon stands in for them.
#[test]
fn a_stand_in_leaves_the_owners_their_shares() {
    const LIMIT: u64 = 16;
    const OWNERS: u64 = 3;
    let budget = |used, stands_in| ConnBudget {
        limit: LIMIT,
        used,
        growth: 0,
        owners: OWNERS,
        stands_in,
        slots: 4,
        max_opening: 4,
        retry_at: Ms(0),
    };
    let owner = budget(0, false).share();
    let stand_in = budget(0, true).share();
    // Each daemon has a control connection besides.
    assert!(
        OWNERS * (owner + 1) + stand_in < LIMIT,
        "{owner} {stand_in}"
    );
    let account = Some(AccountKey(0));
    let conns = [ConnEntry {
        key: ConnKey(0),
        purpose: Purpose::Statements(account),
        state: ConnState::Held,
        since: Ms(0),
        opened_at: Ms(0),
    }];
    let step = |used| budget(used, true).next_step(&conns, account, false, Ms(10_000));
    assert_eq!(
        step(OWNERS * (owner + 1)),
        ConnStep::Wait,
        "the shares are in use"
    );
    assert_eq!(step(3), ConnStep::Open, "the member has free connections");
}
