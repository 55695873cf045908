//! Simulates a primary change while another replica joins the group, which the platform lists only
//! later, and confirms commits of the old primary alone.
//!
//! Guards against lost commits. The real rules must show none where the old primary can be demoted;
//! simpler ones must fail. Where it cannot be demoted, a member that joins unnoticed may still lose
//! commits; the simulation shows how rarely.

use std::collections::BTreeMap;

use base::Ms;
use proxy::{Demotion, FenceHold, FenceReport, MemberKey};
use schema::Pos;

/// Length of a simulation, in ms.
const DURATION_MS: u64 = 8000;
const STEP_MS: u64 = 5;
/// Time for which the lease of a daemon outlasts the last unfenced replica that it knows, in ms.
const LEASE_MS: u64 = 800;
/// Longest time until a member that has joined is listed, in ms; the changes rely on it.
const LISTING_DELAY_MS: u64 = 2400;
const SEEDS: u64 = 30_000;
const NAIVE_SEEDS: u64 = 3000;

const JOINING: MemberKey = MemberKey(2);

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The old primary is demoted, and the members are listed once the fences were held.
    Real,
    /// As `Real`, but the old primary cannot be reached for the demotion.
    Undemoted,
    /// The fence set is what was known when the change began.
    SetOnce,
    /// The fence set is what has been heard of in each round.
    SetAsHeard,
}

#[derive(Clone, Copy, Default)]
struct Replica {
    joined_at: u64,
    listed_at: u64,
    fenced_at: Option<u64>,
    received: u64,
    /// Replication to it is interrupted in this range.
    deaf: (u64, u64),
}

struct Simulation {
    rng: fastrand::Rng,
    rule: Rule,
    now: u64,
    replicas: BTreeMap<MemberKey, Replica>,
    /// Number of commits in the old primary's log.
    log: u64,
    demoted_at: Option<u64>,
    /// Highest acknowledged commit.
    acked: u64,
    hold: FenceHold,
    begins_at: u64,
    /// Members that the controller fences.
    fence_set: Vec<MemberKey>,
    next_round_at: u64,
}

impl Simulation {
    fn new(seed: u64, rule: Rule) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let begins_at = rng.u64(1000..2000);
        let mut replicas = BTreeMap::new();
        for key in [MemberKey(0), MemberKey(1)] {
            let from = rng.u64(500..3000);
            let deaf = (from, from + rng.u64(..1500));
            let replica = Replica {
                deaf: if rng.u8(..4) == 0 { deaf } else { (0, 0) },
                ..Replica::default()
            };
            replicas.insert(key, replica);
        }
        let joined_at = rng.u64(0..4000);
        let joining = Replica {
            joined_at,
            listed_at: joined_at + rng.u64(..LISTING_DELAY_MS),
            ..Replica::default()
        };
        replicas.insert(JOINING, joining);
        Simulation {
            rng,
            rule,
            now: 0,
            replicas,
            log: 0,
            demoted_at: None,
            acked: 0,
            hold: FenceHold::new(2),
            begins_at,
            fence_set: vec![MemberKey(0), MemberKey(1)],
            next_round_at: begins_at,
        }
    }

    /// Whether an acknowledged commit is missing from the log of the member that is promoted.
    fn loses_commit(mut self) -> bool {
        while self.now < DURATION_MS {
            self.replicate();
            if self.now >= self.next_round_at
                && let Some(best) = self.round()
            {
                return self.replicas[&best].received < self.acked;
            }
            self.now += STEP_MS;
        }
        false
    }

    /// Commits, sends the log to the replicas, and acknowledges what one of them holds.
    fn replicate(&mut self) {
        let now = self.now;
        if self.demoted_at.is_none() && self.rng.bool() {
            self.log += 1;
        }
        for replica in self.replicas.values_mut() {
            let is_deaf = (replica.deaf.0..replica.deaf.1).contains(&now);
            let follows = replica.fenced_at.is_none() && now >= replica.joined_at && !is_deaf;
            if follows && self.demoted_at.is_none() {
                replica.received = self.log;
            }
        }
        // Daemons learn of a member when it is listed. Until then it renews no lease.
        let known = self.replicas.values().filter(|r| r.listed_at <= now);
        let fenced: Option<Vec<u64>> = known.map(|r| r.fenced_at).collect();
        let lease_until = fenced.map_or(u64::MAX, |all| {
            all.into_iter().max().unwrap_or(0) + LEASE_MS
        });
        if now <= lease_until && self.demoted_at.is_none() {
            let confirmed = self.replicas.values().map(|r| r.received).max();
            self.acked = self.acked.max(confirmed.unwrap_or(0));
        }
    }

    /// One round of the controller; returns the member whose promotion it orders.
    fn round(&mut self) -> Option<MemberKey> {
        let now = self.now;
        self.next_round_at = now + 50;
        if self.rule == Rule::Real && self.demoted_at.is_none() && self.rng.u8(..8) > 0 {
            self.demoted_at = Some(now);
            // What was under way still arrives.
            return None;
        }
        if matches!(self.rule, Rule::SetAsHeard | Rule::Real | Rule::Undemoted) {
            // The controller's own view lags behind the listing.
            self.add_listed(now.saturating_sub(300));
        }
        for key in self.fence_set.clone() {
            let replica = self.replicas.get_mut(&key).expect("it has joined");
            replica.fenced_at.get_or_insert(now);
            let report = FenceReport {
                sent_at: Ms(now),
                received_at: Ms(now),
                up_since: Ms(0),
                fenced: 2,
                pos: pos(replica.received),
            };
            self.hold.record(key, report);
        }
        if !self.hold.is_complete(&self.fence_set) {
            return None;
        }
        if matches!(self.rule, Rule::Real | Rule::Undemoted) && self.add_listed(now) {
            return None;
        }
        let best = self.fence_set.iter().max_by_key(|key| self.hold.pos(**key));
        let best = *best.expect("there are members");
        let demotion = self.demoted_at.map(|at| Demotion {
            at: Ms(at),
            pos: pos(self.log),
        });
        let best_pos = self.hold.pos(best).expect("it is fenced");
        let is_covered = demotion.is_none_or(|d| d.is_covered(best_pos, Ms(now), LISTING_DELAY_MS));
        (is_covered && now >= self.begins_at).then_some(best)
    }

    /// Adds the member that has joined to the fence set if it was listed by then; returns whether it
    /// is new there.
    fn add_listed(&mut self, at: u64) -> bool {
        let is_new = self.replicas[&JOINING].listed_at <= at && !self.fence_set.contains(&JOINING);
        if is_new {
            self.fence_set.push(JOINING);
        }
        is_new
    }
}

fn pos(log: u64) -> Pos {
    Pos { term: 1, log }
}

/// Number of simulations in which an acknowledged commit is lost.
fn losses(rule: Rule, seeds: u64) -> usize {
    let lost = (0..seeds).filter(|seed| Simulation::new(*seed, rule).loses_commit());
    lost.count()
}

#[test]
fn a_demoted_primary_and_a_fresh_listing_lose_nothing() {
    assert_eq!(losses(Rule::Real, SEEDS), 0);
}

#[test]
fn a_fence_set_computed_once_loses_commits() {
    assert!(losses(Rule::SetOnce, NAIVE_SEEDS) > 0);
}

#[test]
fn a_fence_set_from_what_was_heard_loses_commits() {
    assert!(losses(Rule::SetAsHeard, NAIVE_SEEDS) > 0);
}

/// Shows what is left where the old primary cannot be demoted: a member that joins while the others
/// are fenced, and is listed only after the order.
#[test]
fn without_the_demotion_a_fresh_listing_loses_less() {
    let undemoted = losses(Rule::Undemoted, NAIVE_SEEDS);
    let as_heard = losses(Rule::SetAsHeard, NAIVE_SEEDS);
    let once = losses(Rule::SetOnce, NAIVE_SEEDS);
    println!(
        "of {NAIVE_SEEDS}: once {once}, as heard {as_heard}, listed after the hold {undemoted}"
    );
    assert!(undemoted < as_heard && as_heard < once);
}
