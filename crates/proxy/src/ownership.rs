//! Selects the daemons that serve a group, its owners, and ranks them for each client account.
//!
//! A member does not accept enough connections for every daemon of a large fleet. There, only a few
//! daemons serve each group, so that the number of connections and probes grows with the number of
//! groups only. Where client accounts are in force, a connection serves one account only, so the
//! owners are fewer, also in a small fleet, and an account's sessions meet at one of them.

use std::cmp::Reverse;
use std::collections::HashMap;

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

/// Hash of names, the same on every daemon and in every version of the program.
fn stable_hash(parts: &[&str]) -> u64 {
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
        bytes.push(SEPARATOR);
    }
    xxh3_64(&bytes)
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
    if placement == Placement::AnyOwner && fleet.len() <= MAX_SMALL_FLEET_SIZE {
        return None;
    }
    let mut ranked = fleet.to_vec();
    ranked.sort_by_cached_key(|c| Reverse(stable_hash(&[group, c.name])));
    let mut seen: HashMap<&str, usize> = HashMap::new();
    let mut chosen: Vec<(usize, Candidate)> = Vec::with_capacity(ranked.len());
    for candidate in ranked {
        let count = seen.entry(candidate.data_center).or_default();
        chosen.push((*count, candidate));
        *count += 1;
    }
    chosen.sort_by_key(|c| c.0);
    chosen.truncate(owner_count(conns, placement));
    Some(chosen.into_iter().map(|c| c.1).collect())
}

/// The order in which the owners of a group are asked to serve an account's sessions, as indexes
/// into `owners`, which are names with weights: an owner with twice the weight is the first for
/// twice as many accounts.
pub fn rank_owners(group: &str, account: &str, owners: &[(&str, f64)]) -> Vec<usize> {
    let score = |&i: &usize| {
        let (name, weight) = owners[i];
        -unit(stable_hash(&[group, account, name])).ln() / weight
    };
    let mut order: Vec<(f64, usize)> = (0..owners.len()).map(|i| (score(&i), i)).collect();
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
