//! Selects the daemons that serve a group, its owners.
//!
//! A member does not accept enough connections for every daemon of a large fleet. There, only a few
//! daemons serve each group, so that the number of connections and probes grows with the number of
//! groups only.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Largest fleet in which every daemon serves every group.
const MAX_SMALL_FLEET_SIZE: usize = 12;
/// Connections to a member that a daemon needs to serve its group well.
const CONNS_PER_OWNER: u64 = 3;
const MIN_OWNERS: usize = 3;
const MAX_OWNERS: usize = 12;

/// A daemon that may become an owner.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of its VM.
    pub name: &'a str,
    /// Its data centre.
    pub data_center: &'a str,
}

/// Number of owners of a group whose members accept `conns` connections each.
fn owner_count(conns: u64) -> usize {
    let share = conns * 3 / 4 / CONNS_PER_OWNER;
    usize::try_from(share)
        .unwrap_or(MAX_OWNERS)
        .clamp(MIN_OWNERS, MAX_OWNERS)
}

/// Equal on every daemon, so that all choose the same owners.
fn rendezvous_weight(group: &str, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (group, name).hash(&mut hasher);
    hasher.finish()
}

/// The owners of a group, or `None` when every daemon serves it.
///
/// Owners are chosen by rendezvous hashing, alternating between data centres. Two daemons with
/// different views of the fleet choose almost the same owners.
pub fn owners<'a>(group: &str, conns: u64, fleet: &[Candidate<'a>]) -> Option<Vec<Candidate<'a>>> {
    if fleet.len() <= MAX_SMALL_FLEET_SIZE {
        return None;
    }
    let mut ranked = fleet.to_vec();
    ranked.sort_by_key(|c| std::cmp::Reverse(rendezvous_weight(group, c.name)));
    let mut chosen: Vec<(usize, Candidate)> = Vec::new();
    for candidate in ranked {
        let before = chosen
            .iter()
            .filter(|c| c.1.data_center == candidate.data_center);
        chosen.push((before.count(), candidate));
    }
    chosen.sort_by_key(|c| c.0);
    chosen.truncate(owner_count(conns));
    Some(chosen.into_iter().map(|c| c.1).collect())
}
