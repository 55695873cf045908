//! Rendezvous hashing: daemons with the same list of VMs compute the same ranking.

use xxhash_rust::xxh3::xxh3_64;

/// Ranks candidate daemons for a key, such as the name of a member.
///
/// Equal inputs give the same order on every daemon, and removing a candidate leaves the order of
/// the others unchanged.
pub fn rank_candidates<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    // The separator keeps pairs apart whose concatenations are equal.
    let score = |name: &str| xxh3_64(format!("{key}\0{name}").as_bytes());
    let mut scored: Vec<(u64, &str)> = names.map(|n| (score(n), n)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, n)| n).collect()
}
