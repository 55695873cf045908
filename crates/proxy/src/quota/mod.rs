//! Rate limits of client accounts, across all daemons.
//!
//! The accounts are divided into shards. The keeper of a shard, which holds its lock in the store,
//! hands out short-lived grants of operations to the daemons that ask. Where the limits are divided
//! among data centres, each of them has keepers of its own. The modules `bucket`, `keeper`,
//! `keeper_lease`, `holding`, `loans`, `rules` and `busiest` decide; they do no I/O and read no clock.
//! `charge` charges the operations of sessions, `asking` asks the keepers, `serving` answers as
//! keeper, `borrowing` asks those of other data centres, `lock` takes and renews the lock.

mod asking;
mod borrowing;
mod bucket;
mod busiest;
mod charge;
mod frame;
mod holding;
mod keeper;
mod keeper_lease;
mod limit;
mod loans;
mod lock;
mod rules;
mod serving;
mod shard;

use std::cell::{Cell, RefCell};

pub use bucket::Bucket;
pub use busiest::BusiestAccounts;
pub use charge::Charge;
pub use holding::{Admission, Holding, Ticket};
pub use keeper::{AccountDemand, Keeper, Start};
pub use keeper_lease::{KEEPER_LEASE_MS, KeeperLease, RENEWAL_INTERVAL_MS};
pub use limit::Limit;
pub use loans::Loans;
use loans::SHORTAGE_PAUSE_MS;
pub use rules::QuotaRules;
pub(crate) use serving::serve;
pub(crate) use shard::Shard;
use xxhash_rust::xxh3::xxh3_64;

use crate::{AccountKey, Proxy, QuotaApi};

/// Number of shards.
const SHARDS: u32 = 4;
/// Life of a grant, from the sending of its request.
pub const GRANT_TTL_MS: u64 = 500;
/// Interval at which a daemon with demand asks.
pub const REQUEST_INTERVAL_MS: u64 = 250;

/// A connection on which a keeper is asked; never reused within one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AskerKey(pub u64);

impl AskerKey {
    /// The keeper's own daemon.
    pub const OWN: AskerKey = AskerKey(0);
}

/// The shard of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardKey(u32);

impl ShardKey {
    /// The shard of an account's name; equal on every daemon.
    #[expect(clippy::cast_possible_truncation)]
    pub fn of_name(name: &str) -> ShardKey {
        ShardKey((xxh3_64(name.as_bytes()) % u64::from(SHARDS)) as u32)
    }

    /// Parses the number of a shard.
    fn parse(text: &str) -> Option<ShardKey> {
        let number = text.parse().ok()?;
        (number < SHARDS).then_some(ShardKey(number))
    }
}

/// Rate limits as one daemon knows them.
pub struct Quota {
    pub rules: QuotaRules,
    api: QuotaApi,
    shards: [Shard; SHARDS as usize],
    last_asker: Cell<u64>,
    /// Whether this daemon takes no lock any more.
    stopping: Cell<bool>,
    /// Number of locks that are being released.
    releasing: Cell<u32>,
    busiest: RefCell<BusiestAccounts>,
}

impl Quota {
    pub fn new(rules: QuotaRules, api: QuotaApi) -> Quota {
        Quota {
            rules,
            api,
            shards: Default::default(),
            last_asker: Cell::new(AskerKey::OWN.0),
            stopping: Cell::new(false),
            releasing: Cell::new(0),
            busiest: RefCell::default(),
        }
    }

    fn shard(&self, key: ShardKey) -> &Shard {
        &self.shards[key.0 as usize]
    }

    fn new_asker(&self) -> AskerKey {
        self.last_asker.set(self.last_asker.get() + 1);
        AskerKey(self.last_asker.get())
    }

    /// Whether this daemon holds a lock or is releasing one.
    pub fn holds_locks(&self) -> bool {
        self.releasing.get() > 0 || self.shards.iter().any(Shard::is_kept)
    }
}

impl Proxy {
    /// The shard of an account.
    fn quota_shard(&self, account: AccountKey) -> ShardKey {
        ShardKey::of_name(&self.accounts.name(account))
    }

    /// The limit of an account in the configuration in force.
    fn quota_limit(&self, account: AccountKey) -> Option<Limit> {
        let (rate, burst) = self.accounts.limit(account)?;
        Some(Limit::new(rate, burst))
    }
}
