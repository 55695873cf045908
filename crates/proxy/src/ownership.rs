//! Which daemons serve a group.
//!
//! Answers the load at which the members' connections do not go round: with many daemons, a few
//! serve each group, so that connections and questions to members grow with the groups.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Largest fleet in which every daemon serves every group.
const SMALL_FLEET: usize = 12;
/// Connections to a member that a daemon needs to serve its group well.
const CONNS_EACH: u64 = 3;
/// Fewest daemons that serve a group.
const FEWEST: usize = 3;
/// Most daemons that serve a group.
const MOST: usize = 12;

/// A daemon, for the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of its VM.
    pub name: &'a str,
    /// Its data centre.
    pub data_center: &'a str,
}

/// How many daemons serve a group whose members take `conns` connections each.
fn count(conns: u64) -> usize {
    let room = conns * 3 / 4 / CONNS_EACH;
    usize::try_from(room).unwrap_or(MOST).clamp(FEWEST, MOST)
}

fn weight(group: &str, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (group, name).hash(&mut hasher);
    hasher.finish()
}

/// The daemons that serve a group, by rendezvous, with the data centres taking turns; `None` when
/// all do. Two daemons that know different fleets choose almost the same ones.
pub fn owners<'a>(group: &str, conns: u64, fleet: &[Candidate<'a>]) -> Option<Vec<Candidate<'a>>> {
    if fleet.len() <= SMALL_FLEET {
        return None;
    }
    let mut ranked = fleet.to_vec();
    ranked.sort_by_key(|c| std::cmp::Reverse(weight(group, c.name)));
    let mut chosen: Vec<(usize, Candidate)> = Vec::new();
    for candidate in ranked {
        let before = chosen
            .iter()
            .filter(|c| c.1.data_center == candidate.data_center);
        chosen.push((before.count(), candidate));
    }
    chosen.sort_by_key(|c| c.0);
    chosen.truncate(count(conns));
    Some(chosen.into_iter().map(|c| c.1).collect())
}
