//! Calls by which the locks of the rate limits' shards are taken, renewed and released.

use crate::AsyncCall;
use crate::quota::Start;

/// An attempt to take the lock of a shard.
pub struct ShardClaim {
    pub shard: u32,
    /// Revision of the lock in `ShardLock::Held` whose holder has ended since it was read; the lock is
    /// taken if it still has that revision.
    pub ended: Option<u64>,
}

/// The result of an attempt to take a lock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardLock {
    /// This daemon holds it now.
    Taken {
        start: Start,
        /// Name of the holder it was taken from, unless that had released it.
        former: Option<Box<str>>,
    },
    /// The daemon at this address holds it.
    Held {
        addr: Box<str>,
        /// Changes with each write of the lock.
        revision: u64,
    },
    /// A call failed, or the lock cannot be taken yet.
    Unavailable,
}

/// What the holder of a lock writes into it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardRecord {
    pub shard: u32,
    /// How the next keeper begins.
    pub next: Start,
}

/// The result of a renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Renewal {
    Renewed,
    /// Another daemon holds the lock.
    Lost,
    /// The call failed; the lock may still be held.
    Failed,
}

/// Calls on the locks of the shards.
pub struct QuotaApi {
    /// Takes a lock if it is free.
    pub claim: AsyncCall<ShardClaim, ShardLock>,
    /// Writes a lock again that this daemon holds.
    pub renew: AsyncCall<ShardRecord, Renewal>,
    /// Releases a lock that this daemon holds.
    pub release: AsyncCall<ShardRecord, ()>,
}
