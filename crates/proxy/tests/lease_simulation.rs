//! Simulates a primary change with random timing and faults: interrupted replication, restarts,
//! frozen daemons, and a failover controller that reaches only one replica.
//!
//! Guards against lost commits and stale reads while daemons still use the old primary. The real
//! lease must show none; simpler rules must fail, which shows that the simulation finds such
//! faults.

use std::collections::BTreeSet;

use base::Ms;
use proxy::{Lease, MemberKey, ProbeResult, Role};

/// Duration of a tick, in ms.
const TICK_MS: u64 = 10;
/// Length of a simulation.
const TICKS: u64 = 500;
/// Range of the delay from the order of a promotion to its effect, in ticks.
const PROMOTION_DELAY: (u64, u64) = (95, 110);
/// Range of the interval between two probes of a replica by a daemon, in ticks.
const PROBE_INTERVAL: (u64, u64) = (45, 65);
/// Duration of a restart of a member, in ticks; longer than a lease.
const RESTART_DURATION: u64 = 85;
/// Number of simulations per rule.
const SEEDS: u64 = 3000;

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
    /// Probe results in transit: tick of arrival, replica, result.
    probes: Vec<(u64, usize, ProbeResult)>,
}

struct Statement {
    daemon: usize,
    write: bool,
    id: u64,
    arrival: u64,
    /// Tick at which the primary runs the statement; 0 before the daemon has sent it.
    run_at: u64,
    answer_at: Option<u64>,
    /// Writes that were acknowledged before the statement was submitted.
    acked_before: BTreeSet<u64>,
    stale_read: bool,
    ran_after_promotion: bool,
}

#[derive(Default)]
struct Findings {
    lost_commit: bool,
    stale_read: bool,
    /// The old primary acknowledged a write that it ran after the promotion.
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
    acked: BTreeSet<u64>,
    /// Writes acknowledged by the new primary to callers of other daemons.
    new_primary_acked: BTreeSet<u64>,
    /// Replica that has become primary.
    promoted: Option<usize>,
    /// Ordered promotion: tick of its effect, replica.
    promotion: Option<(u64, usize)>,
    /// Tick from which replication to the replicas in `replication_cut` is interrupted.
    replication_cut_at: u64,
    replication_cut: [bool; 2],
    /// Whether the failover controller reaches only the first replica.
    controller_cut: bool,
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
            rng,
            rule,
            now: 0,
            primary_log: BTreeSet::new(),
            logs: [BTreeSet::new(), BTreeSet::new()],
            replicas: [replica; 2],
            daemons,
            in_flight: Vec::new(),
            acked: BTreeSet::new(),
            new_primary_acked: BTreeSet::new(),
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
                self.replicas[i].fenced = 0;
                self.replicas[i].down_until = self.now + RESTART_DURATION;
                self.replicas[i].up_since = self.now + RESTART_DURATION;
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
        if self.promoted.is_some() || self.now < self.replication_cut_at + 40 {
            return;
        }
        if let Some((at, candidate)) = self.promotion {
            if self.now >= at {
                self.promote(candidate);
            }
            return;
        }
        let reachable = if self.controller_cut { 1 } else { 2 };
        for replica in &mut self.replicas[..reachable] {
            replica.fenced = 2;
        }
        if reachable < 2 && self.rule != Rule::FenceReachable {
            return;
        }
        let candidate = (0..reachable)
            .max_by_key(|&i| self.logs[i].len())
            .expect("at least one replica is reachable");
        self.promotion = Some((
            self.now + random_ticks(&mut self.rng, PROMOTION_DELAY),
            candidate,
        ));
    }

    fn promote(&mut self, candidate: usize) {
        self.promoted = Some(candidate);
        if !self.acked.is_subset(&self.logs[candidate]) {
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
                let replica = self.replicas[i];
                if self.now < replica.down_until {
                    continue;
                }
                let probe = ProbeResult {
                    sent_at: Ms(self.now * TICK_MS),
                    received_at: Ms(self.now * TICK_MS),
                    role: if replica.primary {
                        Role::Primary
                    } else {
                        Role::Replica
                    },
                    term: replica.term,
                    fenced: replica.fenced,
                    up_since: Ms(replica.up_since * TICK_MS),
                };
                let arrives = self.now + self.rng.u64(1..8);
                self.daemons[d].probes.push((arrives, i, probe));
            }
        }
    }

    fn receive_probes(&mut self) {
        let now = self.now;
        for d in 0..self.daemons.len() {
            if self.is_frozen(d) {
                continue;
            }
            let daemon = &mut self.daemons[d];
            let (due, later) = daemon.probes.drain(..).partition(|p| p.0 <= now);
            daemon.probes = later;
            for (_, i, mut probe) in due {
                probe.received_at = Ms(now * TICK_MS);
                daemon
                    .lease
                    .record(MemberKey(i as u64), probe, &[MemberKey(0), MemberKey(1)]);
                let unfenced = probe.role == Role::Replica && probe.fenced == 0 && probe.term == 1;
                let long_up = probe.sent_at.0 - probe.up_since.0 >= 3000;
                if unfenced && (self.rule != Rule::LongUptime || long_up) {
                    daemon.naive_until = daemon.naive_until.max(probe.sent_at.0 + 800);
                }
            }
        }
    }

    fn has_lease(&self, d: usize, at: u64) -> bool {
        let daemon = &self.daemons[d];
        match self.rule {
            Rule::Linked | Rule::FenceReachable => daemon.lease.until(1).0 >= at * TICK_MS,
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
            let mut acked_before = self.acked.clone();
            acked_before.extend(&self.new_primary_acked);
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
            self.new_primary_acked.insert(self.last_id);
        }
    }

    fn step_statements(&mut self) {
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.retain_mut(|s| self.step_statement(s));
        in_flight.append(&mut self.in_flight);
        self.in_flight = in_flight;
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
                s.stale_read = !s.acked_before.is_subset(&self.primary_log);
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
            self.acked.insert(s.id);
            self.findings.acked += 1;
            self.findings.late_ack |= s.ran_after_promotion;
            if let Some(candidate) = self.promoted {
                self.findings.lost_commit |= !self.logs[candidate].contains(&s.id);
            }
        }
        false
    }
}

/// Runs all simulations of a rule. Returns how many of them lose a commit, read stale data, or
/// acknowledge a write late, and how many writes were acknowledged in total.
fn simulate(rule: Rule) -> (u64, u64, u64, usize) {
    let (mut lost, mut stale, mut late_acks, mut acked) = (0, 0, 0, 0);
    for seed in 0..SEEDS {
        let findings = Simulation::new(seed, rule).run();
        lost += u64::from(findings.lost_commit);
        stale += u64::from(findings.stale_read);
        late_acks += u64::from(findings.late_ack);
        acked += findings.acked;
    }
    println!(
        "seeds 0..{SEEDS}: lost commits {lost}, stale reads {stale}, \
         late acknowledgements {late_acks}, acknowledged writes {acked}"
    );
    (lost, stale, late_acks, acked)
}

#[test]
fn linked_results_lose_nothing() {
    let (lost, stale, late_acks, acked) = simulate(Rule::Linked);
    assert_eq!((lost, stale, late_acks), (0, 0, 0));
    assert!(
        acked > 50_000,
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
