//! Simulates a primary change with random timing and faults: interrupted replication, restarts,
//! frozen daemons, and a failover controller that reaches only one replica. A promotion and a
//! restart may each take any time, none at all included.
//!
//! Guards against lost commits and stale reads while daemons still use the old primary. The real
//! lease and fences must show none; simpler rules must fail, which shows that the simulation finds
//! such faults.

use std::collections::BTreeSet;

use base::Ms;
use proxy::{FenceHold, FenceReport, Lease, MemberKey, ProbeResult, Role};
use schema::Pos;

/// Duration of a tick, in ms.
const TICK_MS: u64 = 10;
/// Length of a simulation.
const TICKS: u64 = 500;
/// Range of the delay from the order of a promotion to its effect, in ticks.
const PROMOTION_DELAY: (u64, u64) = (0, 110);
/// Range of the interval between two probes of a replica by a daemon, in ticks.
const PROBE_INTERVAL: (u64, u64) = (10, 65);
/// Range of the time in which a message is under way in one direction, in ticks.
const MESSAGE_DELAY: (u64, u64) = (1, 8);
/// Range of the duration of a restart of a member, in ticks.
const RESTART_DURATION: (u64, u64) = (0, 85);
/// Ticks from the start of the interruption of replication to the start of the primary change.
const DETECTION_DELAY: u64 = 40;
/// Number of simulations of the real rule.
const SEEDS: u64 = 30_000;
/// Number of simulations of a rule that must fail.
const NAIVE_SEEDS: u64 = 3000;
/// The replicas of the group.
const REPLICAS: [MemberKey; 2] = [MemberKey(0), MemberKey(1)];

/// How a daemon derives a lease from probe results, and which replicas a primary change must fence.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The real lease: linked probe results of replicas that are all fenced by a primary change.
    Linked,
    /// Any result of an unfenced replica of the term grants a lease.
    AnyProbe,
    /// A result of an unfenced replica grants a lease if the replica has been up for three seconds.
    LongUptime,
    /// The real lease, but a primary change fences only the replicas that are reachable.
    FenceReachable,
    /// The real lease, but the promotion is ordered as soon as all replicas are fenced.
    OrderAtOnce,
    /// The real lease, but the promotion is ordered without asking again whether the replicas were
    /// fenced without interruption.
    AskOnce,
    /// The primary is used without a lease.
    None,
}

/// State of a replica; times are in ticks.
#[derive(Clone, Copy, Default)]
struct Replica {
    term: u64,
    fenced: u64,
    primary: bool,
    up_since: u64,
    /// Tick at which the replica learns of the new primary.
    learns_at: u64,
    /// Tick until which the replica is down for a restart.
    down_until: u64,
}

struct Daemon {
    lease: Lease,
    /// End, in ms, of the lease by the rules `AnyProbe` and `LongUptime`.
    naive_until: u64,
    next_probe_at: [u64; 2],
    /// Ticks from which and until which the daemon is frozen.
    frozen_range: (u64, u64),
    probes: Vec<Probe>,
}

/// A probe in transit.
struct Probe {
    replica: usize,
    sent_at: u64,
    handled_at: u64,
    answered_at: u64,
    result: Option<ProbeResult>,
}

/// A control command of the failover controller in transit.
struct ControlCall {
    replica: usize,
    sent_at: u64,
    handled_at: u64,
    answered_at: u64,
    report: Option<FenceReport>,
}

/// The failover controller.
struct Controller {
    hold: FenceHold,
    calls: Vec<ControlCall>,
    /// Tick at which the replicas are asked next.
    next_call_at: u64,
}

struct Statement {
    daemon: usize,
    write: bool,
    id: u64,
    arrival: u64,
    /// Tick at which the primary runs the statement; 0 before the daemon has sent it.
    run_at: u64,
    answer_at: Option<u64>,
    /// Number of writes that each primary had acknowledged when the statement was submitted.
    acked_before: (usize, usize),
    stale_read: bool,
    ran_after_promotion: bool,
}

#[derive(Default)]
struct Findings {
    lost_commit: bool,
    stale_read: bool,
    /// The old primary acknowledged a write that it was still running after the promotion.
    late_ack: bool,
    acked: usize,
}

fn random_ticks(rng: &mut fastrand::Rng, (from, to): (u64, u64)) -> u64 {
    rng.u64(from..=to)
}

struct Simulation {
    rng: fastrand::Rng,
    rule: Rule,
    now: u64,
    primary_log: BTreeSet<u64>,
    logs: [BTreeSet<u64>; 2],
    replicas: [Replica; 2],
    daemons: Vec<Daemon>,
    in_flight: Vec<Statement>,
    /// Writes acknowledged by the old primary, in the order of their acknowledgement.
    acked: Vec<u64>,
    /// Writes acknowledged by the new primary to callers of other daemons, likewise.
    new_primary_acked: Vec<u64>,
    /// Replica that has become primary.
    promoted: Option<usize>,
    /// Ordered promotion: tick of its effect, replica.
    promotion: Option<(u64, usize)>,
    /// Tick from which replication to the replicas in `replication_cut` is interrupted.
    replication_cut_at: u64,
    replication_cut: [bool; 2],
    /// Whether the failover controller reaches only the first replica.
    controller_cut: bool,
    controller: Controller,
    /// Tick at which each replica restarts.
    restart_at: [Option<u64>; 2],
    last_id: u64,
    findings: Findings,
}

impl Simulation {
    fn new(seed: u64, rule: Rule) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let replication_cut_at = rng.u64(100..160);
        let replica = Replica {
            term: 1,
            ..Replica::default()
        };
        let daemons = (0..3)
            .map(|_| {
                let from = rng.u64(90..250);
                let frozen = rng.bool();
                Daemon {
                    lease: Lease::default(),
                    naive_until: 0,
                    next_probe_at: [rng.u64(0..20), rng.u64(0..20)],
                    frozen_range: if frozen {
                        (from, from + rng.u64(20..200))
                    } else {
                        (0, 0)
                    },
                    probes: Vec::new(),
                }
            })
            .collect();
        let mut restart_at = [None; 2];
        if rng.u8(..4) == 0 {
            restart_at[rng.usize(..2)] = Some(rng.u64(60..300));
        }
        Simulation {
            replication_cut: [rng.bool(), rng.bool()],
            controller_cut: rng.u8(..5) == 0,
            controller: Controller {
                hold: FenceHold::new(2),
                calls: Vec::new(),
                next_call_at: replication_cut_at + DETECTION_DELAY,
            },
            rng,
            rule,
            now: 0,
            primary_log: BTreeSet::new(),
            logs: [BTreeSet::new(), BTreeSet::new()],
            replicas: [replica; 2],
            daemons,
            in_flight: Vec::new(),
            acked: Vec::new(),
            new_primary_acked: Vec::new(),
            promoted: None,
            promotion: None,
            replication_cut_at,
            restart_at,
            last_id: 0,
            findings: Findings::default(),
        }
    }

    fn run(mut self) -> Findings {
        while self.now < TICKS {
            self.step_members();
            self.step_controller();
            self.send_probes();
            self.handle_probes();
            self.receive_probes();
            self.submit_statements();
            self.step_statements();
            self.now += 1;
        }
        self.findings
    }

    fn is_replicating(&self, i: usize) -> bool {
        let is_cut = self.now >= self.replication_cut_at && self.replication_cut[i];
        let up = self.now >= self.replicas[i].down_until;
        self.promoted.is_none() && self.replicas[i].fenced == 0 && !is_cut && up
    }

    fn step_members(&mut self) {
        for i in 0..2 {
            if self.restart_at[i] == Some(self.now) {
                let up_at = self.now + random_ticks(&mut self.rng, RESTART_DURATION);
                self.replicas[i].fenced = 0;
                self.replicas[i].down_until = up_at;
                self.replicas[i].up_since = up_at;
            }
            if self.is_replicating(i) && self.rng.bool() {
                self.logs[i].extend(self.primary_log.iter().copied());
            }
            let replica = &mut self.replicas[i];
            if let Some(new) = self.promoted
                && new != i
                && self.now >= replica.learns_at
            {
                replica.term = 2;
            }
        }
    }

    fn step_controller(&mut self) {
        if self.promoted.is_some() {
            return;
        }
        if let Some((at, candidate)) = self.promotion {
            if self.now >= at {
                self.promote(candidate);
            }
            return;
        }
        if self.controller.calls.is_empty() && self.now >= self.controller.next_call_at {
            self.send_control_calls();
        }
        self.handle_control_calls();
        let calls = &self.controller.calls;
        if !calls.is_empty() && calls.iter().all(|c| c.answered_at <= self.now) {
            self.finish_control_calls();
        }
    }

    /// Number of replicas that the controller fences.
    fn fence_count(&self) -> usize {
        if self.controller_cut { 1 } else { 2 }
    }

    fn send_control_calls(&mut self) {
        for replica in 0..self.fence_count() {
            let handled_at = self.now + random_ticks(&mut self.rng, MESSAGE_DELAY);
            self.controller.calls.push(ControlCall {
                replica,
                sent_at: self.now,
                handled_at,
                answered_at: handled_at + random_ticks(&mut self.rng, MESSAGE_DELAY),
                report: None,
            });
        }
    }

    /// Lets the replicas fence themselves, or report their state if they were fenced before.
    fn handle_control_calls(&mut self) {
        let now = self.now;
        for call in &mut self.controller.calls {
            let replica = &mut self.replicas[call.replica];
            if call.handled_at != now || now < replica.down_until {
                continue;
            }
            if !self
                .controller
                .hold
                .is_fenced(MemberKey(call.replica as u64))
            {
                replica.fenced = 2;
            }
            call.report = Some(FenceReport {
                sent_at: Ms(call.sent_at * TICK_MS),
                received_at: Ms(call.answered_at * TICK_MS),
                up_since: Ms(replica.up_since * TICK_MS),
                fenced: replica.fenced,
                pos: Pos {
                    term: 1,
                    log: self.logs[call.replica].len() as u64,
                },
            });
        }
    }

    /// Orders the promotion if the rule allows it.
    fn finish_control_calls(&mut self) {
        let controller = &mut self.controller;
        for call in controller.calls.drain(..) {
            let key = MemberKey(call.replica as u64);
            match call.report {
                Some(report) => controller.hold.record(key, report),
                None => controller.hold.forget(key),
            }
        }
        let reached = self.fence_count();
        let keys = &REPLICAS[..reached];
        let due_at = self.controller.hold.due_at(keys);
        let Some(due_tick) = due_at.map(|at| at.0.div_ceil(TICK_MS)) else {
            self.controller.next_call_at = self.now + 5;
            return;
        };
        if reached < 2 && self.rule != Rule::FenceReachable {
            return;
        }
        let ordered_at = match self.rule {
            Rule::OrderAtOnce => self.now,
            Rule::AskOnce => due_tick,
            _ if self.controller.hold.is_complete(keys) => self.now,
            _ => {
                self.controller.next_call_at = due_tick;
                return;
            }
        };
        let candidate = (0..reached)
            .max_by_key(|&i| self.controller.hold.pos(REPLICAS[i]))
            .expect("at least one replica is reachable");
        let delay = random_ticks(&mut self.rng, PROMOTION_DELAY);
        self.promotion = Some((ordered_at + delay, candidate));
    }

    fn promote(&mut self, candidate: usize) {
        self.promoted = Some(candidate);
        if !self
            .acked
            .iter()
            .all(|id| self.logs[candidate].contains(id))
        {
            self.findings.lost_commit = true;
        }
        let new = &mut self.replicas[candidate];
        (new.primary, new.term, new.fenced) = (true, 2, 0);
        // The other replica is unfenced at once, and learns of the new term later, perhaps much
        // later.
        let max_delay = if self.rng.bool() { 3 } else { 300 };
        let other = &mut self.replicas[1 - candidate];
        other.fenced = 0;
        other.learns_at = self.now + self.rng.u64(0..=max_delay);
    }

    fn is_frozen(&self, d: usize) -> bool {
        let (from, to) = self.daemons[d].frozen_range;
        (from..to).contains(&self.now)
    }

    fn send_probes(&mut self) {
        for d in 0..self.daemons.len() {
            if self.is_frozen(d) {
                continue;
            }
            for i in 0..2 {
                if self.daemons[d].next_probe_at[i] > self.now {
                    continue;
                }
                self.daemons[d].next_probe_at[i] =
                    self.now + random_ticks(&mut self.rng, PROBE_INTERVAL);
                let handled_at = self.now + random_ticks(&mut self.rng, MESSAGE_DELAY);
                self.daemons[d].probes.push(Probe {
                    replica: i,
                    sent_at: self.now,
                    handled_at,
                    answered_at: handled_at + random_ticks(&mut self.rng, MESSAGE_DELAY),
                    result: None,
                });
            }
        }
    }

    /// Lets the replicas answer the probes that reach them in this tick.
    fn handle_probes(&mut self) {
        let now = self.now;
        for probe in self.daemons.iter_mut().flat_map(|d| &mut d.probes) {
            let replica = self.replicas[probe.replica];
            if probe.handled_at != now || now < replica.down_until {
                continue;
            }
            probe.result = Some(ProbeResult {
                sent_at: Ms(probe.sent_at * TICK_MS),
                received_at: Ms(probe.answered_at * TICK_MS),
                role: if replica.primary {
                    Role::Primary
                } else {
                    Role::Replica
                },
                term: replica.term,
                fenced: replica.fenced,
                up_since: Ms(replica.up_since * TICK_MS),
            });
        }
    }

    fn receive_probes(&mut self) {
        let now = self.now;
        for d in 0..self.daemons.len() {
            if self.is_frozen(d) {
                continue;
            }
            let daemon = &mut self.daemons[d];
            let (due, later) = daemon.probes.drain(..).partition(|p| p.answered_at <= now);
            daemon.probes = later;
            for probe in due {
                let Some(mut result) = probe.result else {
                    continue;
                };
                result.received_at = Ms(now * TICK_MS);
                let key = REPLICAS[probe.replica];
                daemon.lease.record(key, result, &REPLICAS);
                let unfenced =
                    result.role == Role::Replica && result.fenced == 0 && result.term == 1;
                let long_up = result.sent_at.0.saturating_sub(result.up_since.0) >= 3000;
                if unfenced && (self.rule != Rule::LongUptime || long_up) {
                    daemon.naive_until = daemon.naive_until.max(result.sent_at.0 + 800);
                }
            }
        }
    }

    fn has_lease(&self, d: usize, at: u64) -> bool {
        let daemon = &self.daemons[d];
        match self.rule {
            Rule::Linked | Rule::FenceReachable | Rule::OrderAtOnce | Rule::AskOnce => {
                daemon.lease.until(1).0 >= at * TICK_MS
            }
            Rule::AnyProbe | Rule::LongUptime => daemon.naive_until >= at * TICK_MS,
            Rule::None => true,
        }
    }

    fn submit_statements(&mut self) {
        for d in 0..self.daemons.len() {
            if self.rng.u8(..10) > 2 {
                continue;
            }
            self.last_id += 1;
            let write = self.rng.u8(..10) < 4;
            let acked_before = (self.acked.len(), self.new_primary_acked.len());
            let arrival = self.now;
            self.in_flight.push(Statement {
                daemon: d,
                write,
                id: self.last_id,
                arrival,
                run_at: 0,
                answer_at: None,
                acked_before,
                stale_read: false,
                ran_after_promotion: false,
            });
        }
        // A write of a caller of the new primary.
        if self.promoted.is_some() && self.rng.u8(..4) == 0 {
            self.last_id += 1;
            self.new_primary_acked.push(self.last_id);
        }
    }

    fn step_statements(&mut self) {
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.retain_mut(|s| self.step_statement(s));
        in_flight.append(&mut self.in_flight);
        self.in_flight = in_flight;
    }

    /// Whether the old primary lacks one of the first acknowledged writes of either primary.
    fn lacks_acked_write(&self, (old, new): (usize, usize)) -> bool {
        let mut acked = self.acked[..old]
            .iter()
            .chain(&self.new_primary_acked[..new]);
        acked.any(|id| !self.primary_log.contains(id))
    }

    /// Advances a statement; returns false when it has ended.
    fn step_statement(&mut self, s: &mut Statement) -> bool {
        let now = self.now;
        if s.run_at == 0 {
            if self.is_frozen(s.daemon) {
                return true;
            }
            // The daemon reads the statement only now, so this is its arrival.
            if !self.has_lease(s.daemon, now) {
                return false;
            }
            s.arrival = now;
            s.run_at = now + self.rng.u64(1..8);
            return true;
        }
        if s.answer_at.is_none() {
            if now < s.run_at {
                return true;
            }
            if s.write {
                self.primary_log.insert(s.id);
                s.ran_after_promotion |= self.promoted.is_some();
                let held = (0..2).any(|i| self.logs[i].contains(&s.id));
                if held {
                    s.answer_at = Some(now + self.rng.u64(1..8));
                }
            } else {
                s.stale_read = self.lacks_acked_write(s.acked_before);
                s.answer_at = Some(now + self.rng.u64(1..8));
            }
            return now < s.run_at + 100;
        }
        if s.answer_at.is_some_and(|at| now < at) || self.is_frozen(s.daemon) {
            return true;
        }
        if !s.write {
            self.findings.stale_read |= s.stale_read;
            return false;
        }
        if self.has_lease(s.daemon, now) {
            self.acked.push(s.id);
            self.findings.acked += 1;
            self.findings.late_ack |= s.ran_after_promotion;
            if let Some(candidate) = self.promoted {
                self.findings.lost_commit |= !self.logs[candidate].contains(&s.id);
            }
        }
        false
    }
}

/// Runs the simulations with seeds below `seeds` on several threads.
fn run_in_parallel(seeds: u64, rule: Rule) -> Vec<Findings> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    std::thread::scope(|scope| {
        let run_share = |first: u64| {
            let share = (first..seeds).step_by(usize::try_from(threads).expect("a small number"));
            share
                .map(|seed| Simulation::new(seed, rule).run())
                .collect()
        };
        let tasks: Vec<_> = (0..threads)
            .map(|first| scope.spawn(move || run_share(first)))
            .collect();
        let join = |task: std::thread::ScopedJoinHandle<Vec<Findings>>| task.join();
        let results = tasks.into_iter().map(join);
        results
            .flat_map(|r| r.expect("no simulation panics"))
            .collect()
    })
}

/// Runs all simulations of a rule. Returns how many of them lose a commit, read stale data, or
/// acknowledge a write late, and how many writes were acknowledged in total.
fn simulate(rule: Rule) -> (u64, u64, u64, usize) {
    let seeds = if rule == Rule::Linked {
        SEEDS
    } else {
        NAIVE_SEEDS
    };
    let (mut lost, mut stale, mut late_acks, mut acked) = (0, 0, 0, 0);
    for findings in run_in_parallel(seeds, rule) {
        lost += u64::from(findings.lost_commit);
        stale += u64::from(findings.stale_read);
        late_acks += u64::from(findings.late_ack);
        acked += findings.acked;
    }
    println!(
        "seeds 0..{seeds}: lost commits {lost}, stale reads {stale}, \
         late acknowledgements {late_acks}, acknowledged writes {acked}"
    );
    (lost, stale, late_acks, acked)
}

#[test]
fn linked_results_lose_nothing() {
    let (lost, stale, late_acks, acked) = simulate(Rule::Linked);
    assert_eq!((lost, stale, late_acks), (0, 0, 0));
    assert!(
        acked > 500_000,
        "the simulations acknowledge too few writes: {acked}"
    );
}

#[test]
fn without_a_lease_reads_are_stale() {
    assert!(simulate(Rule::None).1 > 0);
}

#[test]
fn accepting_any_unfenced_result_reads_stale_after_a_promotion() {
    assert!(simulate(Rule::AnyProbe).1 > 0);
}

#[test]
fn trusting_uptime_reads_stale_after_a_promotion() {
    assert!(simulate(Rule::LongUptime).1 > 0);
}

#[test]
fn fencing_only_reachable_replicas_loses_commits() {
    assert!(simulate(Rule::FenceReachable).0 > 0);
}

#[test]
fn ordering_the_promotion_at_once_reads_stale_and_loses_commits() {
    let (lost, stale, ..) = simulate(Rule::OrderAtOnce);
    assert!(lost > 0 && stale > 0);
}

#[test]
fn asking_once_loses_commits_when_a_replica_restarts() {
    assert!(simulate(Rule::AskOnce).0 > 0);
}
