//! Walks a group through a change of primary at random, with the real lease, and with naive rules
//! that must fail. A tick is 10 ms.

use std::collections::BTreeSet;

use base::Ms;
use proxy::{Lease, MemberKey, ProbeResult, Role};

const TICK_MS: u64 = 10;
const TICKS: u64 = 500;
/// Ticks from an order to its effect, at least and at most.
const EFFECT: (u64, u64) = (95, 110);
/// Ticks between two questions of a daemon to a replica, at least and at most.
const ASK: (u64, u64) = (45, 65);
/// Ticks that a restart of a member takes; longer than a lease.
const DOWN: u64 = 85;
const WALKS: u64 = 3000;

/// How a daemon turns words into a lease, and which replicas a change must fence.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The project's.
    Linked,
    /// Any free word of the term counts.
    AnyWord,
    /// A free word counts when the replica has been up for three seconds.
    Settled,
    /// The project's lease, but a change fences only the replicas that are reached.
    FenceReached,
    /// No lease at all.
    None,
}

#[derive(Clone, Copy, Default)]
struct Replica {
    term: u64,
    fenced: u64,
    primary: bool,
    up_since: u64,
    /// Tick from which it learns of a new primary.
    learns: u64,
    /// Tick until which it is down for a restart.
    down_until: u64,
}

struct Daemon {
    lease: Lease,
    naive_until: u64,
    ask_at: [u64; 2],
    freeze: (u64, u64),
    /// Words on their way: tick of arrival, replica, word.
    words: Vec<(u64, usize, ProbeResult)>,
}

struct Statement {
    daemon: usize,
    write: bool,
    number: u64,
    arrival: u64,
    runs: u64,
    answer: Option<u64>,
    seen: BTreeSet<u64>,
    stale: bool,
    late: bool,
}

#[derive(Default)]
struct Found {
    lost: bool,
    stale: bool,
    old: bool,
    acked: usize,
}

fn span(rng: &mut fastrand::Rng, (from, to): (u64, u64)) -> u64 {
    rng.u64(from..=to)
}

struct Walk {
    rng: fastrand::Rng,
    rule: Rule,
    now: u64,
    old_log: BTreeSet<u64>,
    logs: [BTreeSet<u64>; 2],
    replicas: [Replica; 2],
    daemons: Vec<Daemon>,
    flight: Vec<Statement>,
    acked: BTreeSet<u64>,
    new_acked: BTreeSet<u64>,
    promoted: Option<usize>,
    order: Option<(u64, usize)>,
    /// Tick at which the primary is cut from each replica.
    cut_at: u64,
    cut: [bool; 2],
    warden_cut: bool,
    restart: [Option<u64>; 2],
    number: u64,
    found: Found,
}

impl Walk {
    fn new(seed: u64, rule: Rule) -> Walk {
        let mut rng = fastrand::Rng::with_seed(seed);
        let cut_at = rng.u64(100..160);
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
                    ask_at: [rng.u64(0..20), rng.u64(0..20)],
                    freeze: if frozen {
                        (from, from + rng.u64(20..200))
                    } else {
                        (0, 0)
                    },
                    words: Vec::new(),
                }
            })
            .collect();
        let mut restart = [None; 2];
        if rng.u8(..4) == 0 {
            restart[rng.usize(..2)] = Some(rng.u64(60..300));
        }
        Walk {
            cut: [rng.bool(), rng.bool()],
            warden_cut: rng.u8(..5) == 0,
            rng,
            rule,
            now: 0,
            old_log: BTreeSet::new(),
            logs: [BTreeSet::new(), BTreeSet::new()],
            replicas: [replica; 2],
            daemons,
            flight: Vec::new(),
            acked: BTreeSet::new(),
            new_acked: BTreeSet::new(),
            promoted: None,
            order: None,
            cut_at,
            restart,
            number: 0,
            found: Found::default(),
        }
    }

    fn run(mut self) -> Found {
        while self.now < TICKS {
            self.members();
            self.warden();
            self.ask();
            self.hear();
            self.submit();
            self.serve();
            self.now += 1;
        }
        self.found
    }

    fn receives(&self, i: usize) -> bool {
        let cut = self.now >= self.cut_at && self.cut[i];
        let up = self.now >= self.replicas[i].down_until;
        self.promoted.is_none() && self.replicas[i].fenced == 0 && !cut && up
    }

    fn members(&mut self) {
        for i in 0..2 {
            if self.restart[i] == Some(self.now) {
                self.replicas[i].fenced = 0;
                self.replicas[i].down_until = self.now + DOWN;
                self.replicas[i].up_since = self.now + DOWN;
            }
            if self.receives(i) && self.rng.bool() {
                self.logs[i].extend(self.old_log.iter().copied());
            }
            let replica = &mut self.replicas[i];
            if let Some(new) = self.promoted
                && new != i
                && self.now >= replica.learns
            {
                replica.term = 2;
            }
        }
    }

    fn warden(&mut self) {
        if self.promoted.is_some() || self.now < self.cut_at + 40 {
            return;
        }
        if let Some((at, best)) = self.order {
            if self.now >= at {
                self.promote(best);
            }
            return;
        }
        let reached = if self.warden_cut { 1 } else { 2 };
        for replica in &mut self.replicas[..reached] {
            replica.fenced = 2;
        }
        if reached < 2 && self.rule != Rule::FenceReached {
            return;
        }
        let best = (0..reached)
            .max_by_key(|&i| self.logs[i].len())
            .expect("one is reached");
        self.order = Some((self.now + span(&mut self.rng, EFFECT), best));
    }

    fn promote(&mut self, best: usize) {
        self.promoted = Some(best);
        if !self.acked.is_subset(&self.logs[best]) {
            self.found.lost = true;
        }
        let new = &mut self.replicas[best];
        (new.primary, new.term, new.fenced) = (true, 2, 0);
        // The other one is free at once, and hears of the new term later, perhaps much later.
        let late = if self.rng.bool() { 3 } else { 300 };
        let other = &mut self.replicas[1 - best];
        other.fenced = 0;
        other.learns = self.now + self.rng.u64(0..=late);
    }

    fn frozen(&self, d: usize) -> bool {
        let (from, to) = self.daemons[d].freeze;
        (from..to).contains(&self.now)
    }

    fn ask(&mut self) {
        for d in 0..self.daemons.len() {
            if self.frozen(d) {
                continue;
            }
            for i in 0..2 {
                if self.daemons[d].ask_at[i] > self.now {
                    continue;
                }
                self.daemons[d].ask_at[i] = self.now + span(&mut self.rng, ASK);
                let replica = self.replicas[i];
                if self.now < replica.down_until {
                    continue;
                }
                let word = ProbeResult {
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
                self.daemons[d].words.push((arrives, i, word));
            }
        }
    }

    fn hear(&mut self) {
        let now = self.now;
        for d in 0..self.daemons.len() {
            if self.frozen(d) {
                continue;
            }
            let daemon = &mut self.daemons[d];
            let (due, later) = daemon.words.drain(..).partition(|w| w.0 <= now);
            daemon.words = later;
            for (_, i, mut word) in due {
                word.received_at = Ms(now * TICK_MS);
                daemon
                    .lease
                    .record(MemberKey(i as u64), word, &[MemberKey(0), MemberKey(1)]);
                let free = word.role == Role::Replica && word.fenced == 0 && word.term == 1;
                let settled = word.sent_at.0 - word.up_since.0 >= 3000;
                if free && (self.rule != Rule::Settled || settled) {
                    daemon.naive_until = daemon.naive_until.max(word.sent_at.0 + 800);
                }
            }
        }
    }

    fn holds(&self, d: usize, at: u64) -> bool {
        let daemon = &self.daemons[d];
        match self.rule {
            Rule::Linked | Rule::FenceReached => daemon.lease.until(1).0 >= at * TICK_MS,
            Rule::AnyWord | Rule::Settled => daemon.naive_until >= at * TICK_MS,
            Rule::None => true,
        }
    }

    fn submit(&mut self) {
        for d in 0..self.daemons.len() {
            if self.rng.u8(..10) > 2 {
                continue;
            }
            self.number += 1;
            let write = self.rng.u8(..10) < 4;
            let mut seen = self.acked.clone();
            seen.extend(&self.new_acked);
            let arrival = self.now;
            self.flight.push(Statement {
                daemon: d,
                write,
                number: self.number,
                arrival,
                runs: 0,
                answer: None,
                seen,
                stale: false,
                late: false,
            });
        }
        // Callers of the new primary.
        if self.promoted.is_some() && self.rng.u8(..4) == 0 {
            self.number += 1;
            self.new_acked.insert(self.number);
        }
    }

    fn serve(&mut self) {
        let mut flight = std::mem::take(&mut self.flight);
        flight.retain_mut(|s| self.step(s));
        flight.append(&mut self.flight);
        self.flight = flight;
    }

    /// Moves a statement on; false when it has ended.
    fn step(&mut self, s: &mut Statement) -> bool {
        let now = self.now;
        if s.runs == 0 {
            if self.frozen(s.daemon) {
                return true;
            }
            // The daemon reads it now; that is its arrival.
            if !self.holds(s.daemon, now) {
                return false;
            }
            s.arrival = now;
            s.runs = now + self.rng.u64(1..8);
            return true;
        }
        if s.answer.is_none() {
            if now < s.runs {
                return true;
            }
            if s.write {
                self.old_log.insert(s.number);
                s.late |= self.promoted.is_some();
                let held = (0..2).any(|i| self.logs[i].contains(&s.number));
                if held {
                    s.answer = Some(now + self.rng.u64(1..8));
                }
            } else {
                s.stale = !s.seen.is_subset(&self.old_log);
                s.answer = Some(now + self.rng.u64(1..8));
            }
            return now < s.runs + 100;
        }
        if s.answer.is_some_and(|at| now < at) || self.frozen(s.daemon) {
            return true;
        }
        if !s.write {
            self.found.stale |= s.stale;
            return false;
        }
        if self.holds(s.daemon, now) {
            self.acked.insert(s.number);
            self.found.acked += 1;
            self.found.old |= s.late;
            if let Some(best) = self.promoted {
                self.found.lost |= !self.logs[best].contains(&s.number);
            }
        }
        false
    }
}

fn walk(rule: Rule) -> (u64, u64, u64, usize) {
    let (mut lost, mut stale, mut old, mut acked) = (0, 0, 0, 0);
    for seed in 0..WALKS {
        let found = Walk::new(seed, rule).run();
        lost += u64::from(found.lost);
        stale += u64::from(found.stale);
        old += u64::from(found.old);
        acked += found.acked;
    }
    println!("seeds 0..{WALKS}: lost {lost}, stale {stale}, old {old}, acknowledged {acked}");
    (lost, stale, old, acked)
}

#[test]
fn linked_words_lose_nothing() {
    let (lost, stale, old, acked) = walk(Rule::Linked);
    assert_eq!((lost, stale, old), (0, 0, 0));
    assert!(acked > 50_000, "the walks serve something: {acked}");
}

#[test]
fn without_a_lease_reads_are_stale() {
    assert!(walk(Rule::None).1 > 0);
}

#[test]
fn any_free_word_reads_stale_after_a_promotion() {
    assert!(walk(Rule::AnyWord).1 > 0);
}

#[test]
fn a_settled_replica_alone_reads_stale_after_a_promotion() {
    assert!(walk(Rule::Settled).1 > 0);
}

#[test]
fn fencing_what_is_reached_loses_commits() {
    assert!(walk(Rule::FenceReached).0 > 0);
}
