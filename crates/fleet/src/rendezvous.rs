//! Rendezvous hashing: everyone who knows the same names ranks them alike.

use xxhash_rust::xxh3::xxh3_64;

/// Ranks names for a key; removing a name moves only the work that it held.
pub fn ranked<'a>(key: &str, names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let score = |name: &str| xxh3_64(format!("{key}\0{name}").as_bytes());
    let mut all: Vec<(u64, &str)> = names.map(|n| (score(n), n)).collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.into_iter().map(|(_, n)| n).collect()
}
