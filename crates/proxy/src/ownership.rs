//! Selects the daemons that serve a group, its owners, and ranks them for each client account.
//!
//! A member does not accept enough connections for every daemon of a large fleet. There, only a few
//! daemons serve each group, so that the number of connections and probes grows with the number of
//! groups only. Where client accounts are in force, a connection serves one account only, so the
//! owners are fewer, also in a small fleet, and an account's sessions meet at one of them.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Largest fleet in which every daemon serves every group, unless client accounts are in force.
const MAX_SMALL_FLEET_SIZE: usize = 12;
const MIN_OWNERS: usize = 3;
/// Connections to a member that a daemon needs to serve its group well.
const CONNS_PER_OWNER: u64 = 3;
const MAX_OWNERS: usize = 12;
/// As `CONNS_PER_OWNER`, where each connection serves one client account only.
const CONNS_PER_OWNER_BY_ACCOUNT: u64 = 7;
const MAX_OWNERS_BY_ACCOUNT: usize = 8;
/// Number of daemons that may stand in for the owners of a group.
const MAX_SUBSTITUTES: usize = 24;
/// Separates the parts of what is hashed; no name contains it.
const SEPARATOR: u8 = 0;
/// Number of mantissa bits of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// How the sessions of a group are placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// At any owner.
    AnyOwner,
    /// At the first owner that accepts, in an order that depends on the client account.
    ByAccount,
}

/// A daemon that may become an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of its VM.
    pub name: &'a str,
    /// Its data centre.
    pub data_center: &'a str,
}

/// Number of owners of a group whose members accept `conns` connections each.
fn owner_count(conns: u64, placement: Placement) -> usize {
    let (conns_per_owner, max) = match placement {
        Placement::AnyOwner => (CONNS_PER_OWNER, MAX_OWNERS),
        Placement::ByAccount => (CONNS_PER_OWNER_BY_ACCOUNT, MAX_OWNERS_BY_ACCOUNT),
    };
    let share = conns * 3 / 4 / conns_per_owner;
    usize::try_from(share).unwrap_or(max).clamp(MIN_OWNERS, max)
}

/// Hash of names, the same on every daemon and in every version of the program. `bytes` is scratch
/// space.
fn stable_hash(parts: &[&str], bytes: &mut Vec<u8>) -> u64 {
    bytes.clear();
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
        bytes.push(SEPARATOR);
    }
    xxh3_64(bytes)
}

/// The owners of a group, or `None` when every daemon serves it.
///
/// Owners are chosen by rendezvous hashing, alternating between data centres. Two daemons with
/// different views of the fleet choose almost the same owners.
pub fn owners<'a>(
    group: &str,
    conns: u64,
    placement: Placement,
    fleet: &[Candidate<'a>],
) -> Option<Vec<Candidate<'a>>> {
    let ranking = Ranking::new(group, conns, placement, fleet)?;
    Some(ranking.owners)
}

/// The first daemons of a fleet in the ranking of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranking<'a> {
    /// Those that serve the group.
    pub owners: Vec<Candidate<'a>>,
    /// Those that follow, of which the first one that answers stands in while no owner does.
    pub substitutes: Vec<Candidate<'a>>,
}

impl<'a> Ranking<'a> {
    /// `None` when every daemon serves the group.
    pub fn new(
        group: &str,
        conns: u64,
        placement: Placement,
        fleet: &[Candidate<'a>],
    ) -> Option<Ranking<'a>> {
        if placement == Placement::AnyOwner && fleet.len() <= MAX_SMALL_FLEET_SIZE {
            return None;
        }
        let count = owner_count(conns, placement);
        let mut owners = first_ranked(group, fleet, count + MAX_SUBSTITUTES);
        let substitutes = owners.split_off(count.min(owners.len()));
        Some(Ranking {
            owners,
            substitutes,
        })
    }
}

/// The `count` daemons of a fleet that come first in the ranking of a group, the data centres taking turns.
fn first_ranked<'a>(group: &str, fleet: &[Candidate<'a>], count: usize) -> Vec<Candidate<'a>> {
    let mut chosen: Vec<(usize, Reverse<u64>, Candidate)> = Vec::new();
    for ranked in best_by_data_center(group, fleet, count) {
        let numbered = ranked.into_iter().enumerate();
        chosen.extend(numbered.map(|(n, (weight, c))| (n, weight, c.clone())));
    }
    chosen.sort_by_key(|c| (c.0, c.1));
    chosen.truncate(count);
    chosen.into_iter().map(|c| c.2).collect()
}

/// The `count` daemons of each data centre that weigh most for a group, the heaviest first. The rest
/// of the fleet is not sorted: there may be thousands of daemons for each of many groups.
fn best_by_data_center<'f, 'a>(
    group: &str,
    fleet: &'f [Candidate<'a>],
    count: usize,
) -> Vec<Vec<(Reverse<u64>, &'f Candidate<'a>)>> {
    let mut best: Vec<Vec<(Reverse<u64>, &Candidate)>> = Vec::new();
    let mut bytes = Vec::new();
    for candidate in fleet {
        let weight = Reverse(stable_hash(&[group, candidate.name], &mut bytes));
        let is_here =
            |b: &Vec<(Reverse<u64>, &Candidate)>| b[0].1.data_center == candidate.data_center;
        let Some(here) = best.iter_mut().find(|b| is_here(b)) else {
            best.push(vec![(weight, candidate)]);
            continue;
        };
        let i = here.partition_point(|b| b.0 <= weight);
        if i < count {
            here.insert(i, (weight, candidate));
            here.truncate(count);
        }
    }
    best
}

/// The order in which the owners of a group are asked to serve an account's sessions, as indexes
/// into `owners`, which are names with weights: an owner with twice the weight is the first for
/// twice as many accounts.
pub fn rank_owners(group: &str, account: &str, owners: &[(&str, f64)]) -> Vec<usize> {
    let mut bytes = Vec::new();
    let mut score = |i: usize| {
        let (name, weight) = owners[i];
        -unit(stable_hash(&[group, account, name], &mut bytes)).ln() / weight
    };
    let mut order: Vec<(f64, usize)> = (0..owners.len()).map(|i| (score(i), i)).collect();
    order.sort_by(|a, b| {
        let by_name = || owners[a.1].0.cmp(owners[b.1].0);
        a.0.total_cmp(&b.0).then_with(by_name)
    });
    order.into_iter().map(|(_, i)| i).collect()
}

/// A hash as a number above 0 and at most 1.
#[allow(
    clippy::cast_precision_loss,
    reason = "the number has no more bits than the mantissa"
)]
fn unit(hash: u64) -> f64 {
    let steps = (1_u64 << MANTISSA_BITS) as f64;
    ((hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 1.0) / steps
}
