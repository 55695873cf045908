//! Replays offered loads against the wait queue's decisions, without members or sockets.

use base::Ms;
use proxy::{Rank, Throughput, is_servable};

/// Time that a statement takes once it has a connection, in ms.
const SERVICE_MS: u64 = 10;
/// Latency target of all statements, in ms.
const TARGET_MS: u64 = 200;
/// Deadline of all statements, in ms.
const DEADLINE_MS: u64 = 1000;
/// Connections of this daemon; the members' slots behind them are shared with other daemons, so that
/// they serve one statement at a time.
const CONNS: u64 = 4;
/// Interval at which waiting statements are looked at again, in ms.
const SWEEP_INTERVAL_MS: u64 = 100;
/// Duration of a replay, in ms.
const DURATION_MS: u64 = 10_000;

/// How statements that cannot be served in time are found.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// Once, on arrival, from the number of this daemon's connections.
    ConnsOnArrival,
    /// On arrival and while they wait, from the measured throughput.
    Measured,
}

#[derive(Debug, Default)]
struct Outcome {
    arrived: u64,
    /// Served within the target.
    in_target: u64,
    late: u64,
    /// Refused within the target.
    refused_early: u64,
    /// Refused after more than half of the time until the deadline.
    held: u64,
}

struct Replay {
    policy: Policy,
    throughput: Throughput,
    /// Arrivals of the waiting statements.
    waiting: Vec<u64>,
    outcome: Outcome,
}

fn rank(arrival: u64) -> Rank {
    Rank {
        priority: 1,
        target: Ms(arrival + TARGET_MS),
        deadline: Ms(arrival + DEADLINE_MS),
    }
}

impl Replay {
    fn is_servable(&self, arrival: u64, now: u64) -> bool {
        let rank = rank(arrival);
        let key = rank.key(Ms(now));
        let is_ahead = |&&other: &&u64| self::rank(other).key(Ms(now)) < key;
        let ahead = self.waiting.iter().filter(is_ahead).count();
        match self.policy {
            Policy::ConnsOnArrival => {
                ahead as u64 * SERVICE_MS / CONNS <= arrival + DEADLINE_MS - now
            }
            Policy::Measured => {
                let load = self.throughput.load(Ms(now));
                is_servable(&rank, ahead, load, 10.0, Ms(now))
            }
        }
    }

    fn refuse(&mut self, arrival: u64, now: u64) {
        let waited = now - arrival;
        self.outcome.refused_early += u64::from(waited <= TARGET_MS);
        self.outcome.held += u64::from(waited > DEADLINE_MS / 2);
    }

    fn arrive(&mut self, now: u64) {
        self.outcome.arrived += 1;
        if self.is_servable(now, now) {
            self.waiting.push(now);
            self.throughput.record_arrival(true, Ms(now));
            self.throughput.set_busy(true, Ms(now));
        } else {
            self.refuse(now, now);
        }
    }

    fn serve_one(&mut self, now: u64) {
        let first = self.waiting.iter().min_by_key(|&&a| rank(a).key(Ms(now)));
        let Some(&arrival) = first else { return };
        self.waiting.retain(|&a| a != arrival);
        self.throughput.record_service(10.0, Ms(now));
        self.throughput.set_busy(!self.waiting.is_empty(), Ms(now));
        if now + SERVICE_MS - arrival <= TARGET_MS {
            self.outcome.in_target += 1;
        } else {
            self.outcome.late += 1;
        }
    }

    fn sweep(&mut self, now: u64) {
        for arrival in self.waiting.clone() {
            let is_over = now >= arrival + DEADLINE_MS;
            let is_swept = self.policy == Policy::Measured && now.is_multiple_of(SWEEP_INTERVAL_MS);
            if is_over || (is_swept && !self.is_servable(arrival, now)) {
                self.waiting.retain(|&a| a != arrival);
                self.throughput.record_departure(Ms(now));
                self.refuse(arrival, now);
            }
        }
    }
}

/// Replays a load: one statement arrives whenever `arrives` says so for an instant.
fn replay(policy: Policy, arrives: impl Fn(u64) -> bool) -> Outcome {
    let mut replay = Replay {
        policy,
        throughput: Throughput::default(),
        waiting: Vec::new(),
        outcome: Outcome::default(),
    };
    for now in 0..DURATION_MS {
        if arrives(now) {
            replay.arrive(now);
        }
        if now.is_multiple_of(SERVICE_MS) {
            replay.serve_one(now);
        }
        replay.sweep(now);
    }
    replay.outcome
}

/// Guards against statements that stand in the queue until their deadline: with 1.4 times as many
/// as the members serve, a quarter of them ended that way.
#[test]
fn lasting_overload_is_refused_early() {
    let arrives = |now: u64| now.is_multiple_of(7);
    let former = replay(Policy::ConnsOnArrival, arrives);
    let measured = replay(Policy::Measured, arrives);
    println!("on arrival only: {former:?}\nmeasured: {measured:?}");
    assert!(former.held * 5 > former.arrived, "{former:?}");
    assert_eq!(measured.held, 0, "{measured:?}");
    assert!(
        measured.refused_early * 20 > measured.arrived * 4,
        "{measured:?}"
    );
    assert!(measured.in_target * 20 >= former.in_target * 19);
}

/// Guards against refusing statements of a burst that can be served late, once it is over.
#[test]
fn a_burst_is_served_late_rather_than_refused() {
    let arrives = |now: u64| {
        if (2000..2100).contains(&now) {
            now.is_multiple_of(2)
        } else {
            now.is_multiple_of(25)
        }
    };
    let measured = replay(Policy::Measured, arrives);
    println!("{measured:?}");
    assert_eq!(measured.held, 0, "{measured:?}");
    assert!(measured.late > 10, "{measured:?}");
    assert!(
        (measured.in_target + measured.late) * 20 >= measured.arrived * 19,
        "{measured:?}"
    );
}

/// Guards against refusals while the members keep up.
#[test]
fn ordinary_load_is_served() {
    let arrives = |now: u64| now.is_multiple_of(11) && now < DURATION_MS - TARGET_MS;
    let measured = replay(Policy::Measured, arrives);
    assert_eq!(measured.in_target, measured.arrived, "{measured:?}");
}
