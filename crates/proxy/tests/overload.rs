//! Replays of a primary that serves alone while more arrives than it can run: how much each daemon
//! has under way there, and which routes' statements are admitted.

use std::collections::VecDeque;

use base::Ms;
use proxy::{ConcurrencyLimit, Demand, ServiceTime, admitted_parts};

/// Daemons that share the primary.
const DAEMONS: usize = 6;
/// Slots of the primary.
const SLOTS: usize = 3;
/// Connections of each daemon to it.
const CONNS: u64 = 8;
/// Length of a replay, in ms; the load rises after `CALM_MS`.
const DURATION_MS: u64 = 12_000;
const CALM_MS: u64 = 4000;

/// A statement of one of two routes: an urgent one that takes 8 ms, and another that takes 24 ms.
#[derive(Clone, Copy)]
struct Statement {
    daemon: usize,
    urgent: bool,
    arrived_at: u64,
    sent_at: u64,
}

impl Statement {
    fn service_ms(self) -> u64 {
        if self.urgent { 8 } else { 24 }
    }
}

#[derive(Default)]
struct Daemon {
    urgent: VecDeque<Statement>,
    others: VecDeque<Statement>,
    under_way: u64,
    limit: ConcurrencyLimit,
    /// Of the urgent route, and of the other one.
    service_times: [ServiceTime; 2],
}

/// What the replay under load has shown.
#[derive(Debug, Default)]
struct Outcome {
    /// Times from arrival to answer of the urgent statements, in ms.
    urgent_ms: Vec<u64>,
    /// Number of other statements that were answered.
    others: usize,
}

impl Outcome {
    fn mean_urgent_ms(&self) -> u64 {
        self.urgent_ms.iter().sum::<u64>() / self.urgent_ms.len() as u64
    }
}

/// The primary runs statements in the order in which they reach it.
fn replay(limited: bool) -> Outcome {
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| Daemon::default()).collect();
    let mut waiting: VecDeque<Statement> = VecDeque::new();
    let mut running: Vec<(u64, Statement)> = Vec::new();
    let mut outcome = Outcome::default();
    for now in 0..DURATION_MS {
        for (i, daemon) in daemons.iter_mut().enumerate() {
            let phase = now + 11 * i as u64;
            let statement = |urgent| Statement {
                daemon: i,
                urgent,
                arrived_at: now,
                sent_at: 0,
            };
            if phase.is_multiple_of(120) {
                daemon.urgent.push_back(statement(true));
            }
            // One and a half times what the primary can run, later.
            let interval = if now < CALM_MS { 150 } else { 32 };
            if phase.is_multiple_of(interval) && daemon.others.len() < 8 {
                daemon.others.push_back(statement(false));
            }
        }
        let (done, rest) = running.into_iter().partition(|(end, _)| *end <= now);
        running = rest;
        for (_, statement) in done {
            let daemon = &mut daemons[statement.daemon];
            daemon.under_way -= 1;
            record(daemon, statement, now);
            if now >= CALM_MS + 1000 {
                if statement.urgent {
                    outcome.urgent_ms.push(now - statement.arrived_at);
                } else {
                    outcome.others += 1;
                }
            }
        }
        for daemon in &mut daemons {
            while let Some(statement) = next(daemon, limited, now) {
                waiting.push_back(statement);
            }
        }
        while running.len() < SLOTS {
            let Some(statement) = waiting.pop_front() else {
                break;
            };
            running.push((now + statement.service_ms(), statement));
        }
    }
    outcome
}

fn record(daemon: &mut Daemon, statement: Statement, now: u64) {
    let took_ms = u32::try_from(now - statement.sent_at).map_or(f64::MAX, f64::from);
    let service_time = &mut daemon.service_times[usize::from(!statement.urgent)];
    service_time.record(took_ms);
    if let Some(best_ms) = service_time.best_ms() {
        daemon.limit.record(took_ms, best_ms, Ms(now));
    }
}

/// The next statement that a daemon sends, urgent ones first.
fn next(daemon: &mut Daemon, limited: bool, now: u64) -> Option<Statement> {
    let has_room = if limited {
        daemon.limit.allows(daemon.under_way, 1)
    } else {
        daemon.under_way < CONNS
    };
    if !has_room {
        return None;
    }
    let statement = daemon
        .urgent
        .pop_front()
        .or_else(|| daemon.others.pop_front())?;
    daemon.under_way += 1;
    Some(Statement {
        sent_at: now,
        ..statement
    })
}

/// Guards against urgent statements that wait at the member, where their urgency counts for
/// nothing, behind what several daemons have sent there beyond its slots.
#[test]
fn urgent_statements_pass_by_while_the_slots_stay_busy() {
    let (unlimited, limited) = (replay(false), replay(true));
    println!(
        "urgent: {} ms without a limit, {} ms with; others: {} and {}",
        unlimited.mean_urgent_ms(),
        limited.mean_urgent_ms(),
        unlimited.others,
        limited.others
    );
    assert!(limited.mean_urgent_ms() * 2 <= unlimited.mean_urgent_ms());
    assert!(limited.others * 20 >= unlimited.others * 19);
}

/// Guards against a limit that holds back a daemon that has the member for itself.
#[test]
fn without_waiting_the_limit_stays_up() {
    let mut limit = ConcurrencyLimit::default();
    for now in 0..5000 {
        limit.record(25.0, 24.0, Ms(now));
    }
    assert!(limit.allows(7, 1));
    for now in 5000..10_000 {
        limit.record(100.0, 24.0, Ms(now));
    }
    assert!(!limit.allows(1, 1) && limit.allows(0, 1));
    // The daemon's share of the slots is never held back.
    assert!(limit.allows(1, 2));
    for now in 10_000..15_000 {
        limit.record(25.0, 24.0, Ms(now));
    }
    assert!(limit.allows(7, 1));
}

/// Guards against an estimate that follows a member's waiting time.
#[test]
fn the_best_time_hardly_rises_under_load() {
    let mut time = ServiceTime::default();
    assert_eq!(time.best_ms(), None);
    (0..32).for_each(|_| time.record(20.0));
    assert_eq!(time.best_ms(), Some(20.0));
    (0..160).for_each(|_| time.record(80.0));
    assert!(time.best_ms().is_some_and(|best| best < 32.0));
    (0..16).for_each(|_| time.record(10.0));
    assert_eq!(time.best_ms(), Some(10.0));
}

fn demand(priority: u64, service_ms: f64, per_s: f64) -> Demand {
    Demand {
        priority,
        service_ms,
        rate: per_s / 1000.0,
    }
}

/// Checks, in percent, which parts of the demands are admitted to a number of slots.
fn check(demands: &[Demand], slots: f64, expect: &[f64]) {
    let parts = admitted_parts(demands, slots);
    let percent: Vec<f64> = parts.iter().map(|p| (p * 100.0).round()).collect();
    assert_eq!(percent, expect, "{demands:?}");
}

/// Guards against turning somebody away while there is room.
#[test]
fn what_fits_is_admitted() {
    check(&[], 3.0, &[]);
    let calm = [demand(1, 8.0, 50.0), demand(2, 40.0, 25.0)];
    check(&calm, 3.0, &[100.0, 100.0]);
}

/// Guards against slots spent on the statements that take most of them: of 5.2 slots that are asked
/// for, 3 are there. An equal treatment would admit 58% of each route and answer 129 statements a
/// second; this one answers 142, and no route gets less than half of its equal part.
#[test]
fn of_equally_urgent_routes_the_shorter_statements_go_first() {
    let load = [
        demand(1, 8.0, 50.0),
        demand(2, 40.0, 30.0),
        demand(2, 25.0, 144.0),
    ];
    check(&load, 3.0, &[100.0, 29.0, 63.0]);
    let answered = |parts: &[f64]| -> f64 {
        let by_route = load.iter().zip(parts).map(|(d, p)| d.rate * p * 1000.0);
        by_route.sum()
    };
    let parts = admitted_parts(&load, 3.0);
    let wanted: f64 = load.iter().map(|d| d.rate * d.service_ms).sum();
    assert!(answered(&parts) > answered(&[3.0 / wanted; 3]) * 1.08);
}
