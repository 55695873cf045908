//! Rendezvous hashing: daemons with the same list of names compute the same ranking.

use xxhash_rust::xxh3::xxh3_64;

/// Ranks names for a key. Removing a name leaves the order of the others unchanged.
pub fn ranked<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let score = |name: &str| xxh3_64(format!("{key}\0{name}").as_bytes());
    let mut scored: Vec<(u64, &str)> = names.map(|n| (score(n), n)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, n)| n).collect()
}
