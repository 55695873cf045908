//! Takes, renews and releases the lock of a shard.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit, sleep_ms};

use super::shard::Kept;
use super::{Keeper, KeeperLease, Loans, Quota, ShardKey, Start, asking};
use crate::tunnel::PeerError;
use crate::{Proxy, Renewal, ShardClaim, ShardLock, ShardRecord};

/// Time for which the result of an attempt to take a lock is used again. It bounds the calls to the
/// store, however many daemons ask.
const CLAIM_TTL_MS: u64 = 300;
/// Longest wait for an attempt that is in progress.
const CLAIM_TIMEOUT_MS: u64 = 4000;
/// Interval at which the holder of a lock checks what is due.
const CHECK_INTERVAL_MS: u64 = 250;
/// Time for which a daemon does not take a lock again that it has released because no other daemon
/// asked, so that one which the others reach can take it.
const RELEASED_PAUSE_MS: u64 = 2000;

/// Finds the keeper of a shard; this daemon becomes it if the lock is free. `refused` is the address
/// of a daemon that another one did not find to be the keeper any more, or empty.
pub(super) async fn find_keeper(proxy: &Rc<Proxy>, key: ShardKey, refused: &str) -> ShardLock {
    let shard = proxy.quota.shard(key);
    if shard.is_claiming.get() {
        let claimed = shard.claimed.wait_past(shard.claimed.generation());
        let _ = monoio::time::timeout(Duration::from_millis(CLAIM_TIMEOUT_MS), claimed).await;
    }
    if let Some(known) = known_keeper(proxy, key, refused) {
        return known;
    }
    shard.is_claiming.set(true);
    let lock = claim(proxy, key, refused).await;
    shard.is_claiming.set(false);
    if !matches!(lock, ShardLock::Taken { .. }) {
        shard.last_claim.replace(Some((lock.clone(), Ms::now())));
    }
    shard.claimed.notify();
    lock
}

/// What is known of the keeper without a call to the store.
fn known_keeper(proxy: &Proxy, key: ShardKey, refused: &str) -> Option<ShardLock> {
    let shard = proxy.quota.shard(key);
    let now = Ms::now();
    if shard.is_keeper(now) {
        return Some(ShardLock::Taken {
            start: Start::Successor,
            former: None,
        });
    }
    if let Some(addr) = shard.keeper.get().map(|addr| addr.to_string())
        && addr != refused
    {
        // The lock was not read; its revision matters only to a claim.
        return Some(ShardLock::Held {
            addr: addr.into(),
            revision: 0,
        });
    }
    if proxy.quota.stopping.get() || now < shard.claim_from.get() || shard.is_kept() {
        return Some(ShardLock::Unavailable);
    }
    if shard.is_claiming.get() {
        return Some(ShardLock::Unavailable);
    }
    let last = shard.last_claim.borrow();
    let (lock, at) = last.as_ref()?;
    let has_ended = matches!(lock, ShardLock::Held { addr, .. } if **addr == *refused);
    (now < at.plus(CLAIM_TTL_MS) && !has_ended).then(|| lock.clone())
}

async fn claim(proxy: &Rc<Proxy>, key: ShardKey, refused: &str) -> ShardLock {
    let mut sent_at = Ms::now();
    let mut lock = (proxy.quota.api.claim)(ShardClaim {
        shard: key.0,
        ended: None,
    })
    .await;
    // The holder is asked after the lock was read: whoever takes the lock meanwhile changes it.
    if let ShardLock::Held { addr, revision } = &lock
        && **addr == *refused
        && has_ended(proxy, key, addr).await
    {
        let claim = ShardClaim {
            shard: key.0,
            ended: Some(*revision),
        };
        sent_at = Ms::now();
        lock = (proxy.quota.api.claim)(claim).await;
    }
    if let ShardLock::Taken { start, former } = &lock {
        let now = Ms::now();
        let kept = Kept {
            keeper: Keeper::new(proxy.quota.rules, *start, now),
            loans: Loans::default(),
            lease: KeeperLease::new(*start, sent_at, now),
        };
        proxy.quota.shard(key).kept.replace(Some(kept));
        proxy.stats.quota_shards.inc();
        match former {
            Some(holder) => emit(
                Event::QuotaKeeperTakenOver,
                &[("shard", &key.0), ("holder", holder)],
            ),
            None => emit(Event::QuotaKeeperGained, &[("shard", &key.0)]),
        }
        monoio::spawn(keep(proxy.clone(), key));
    }
    lock
}

/// Whether the daemon at an address does not act as keeper of a shard any more: nothing listens there,
/// or it says so. Another daemon's word is not enough: it may have another address in mind, or be
/// wrong about the network.
async fn has_ended(proxy: &Proxy, key: ShardKey, addr: &str) -> bool {
    let Ok(addr) = addr.parse() else {
        return false;
    };
    match asking::is_keeper(proxy, key, addr).await {
        Ok(is_keeper) => !is_keeper,
        Err(PeerError::Io(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        Err(PeerError::Refused(_)) => false,
    }
}

/// Renews the lock of a shard until it is lost or released.
async fn keep(proxy: Rc<Proxy>, key: ShardKey) {
    let quota = &proxy.quota;
    let cause = loop {
        if quota.stopping.get() {
            release(quota, key).await;
            break "released for the stop";
        }
        sleep_ms(CHECK_INTERVAL_MS).await;
        let now = Ms::now();
        let Some(lease) = lease(quota, key) else {
            break "released for the stop";
        };
        if !lease.is_valid(now) {
            quota.shard(key).kept.take();
            // The store does not answer this daemon; until it does, others are told at once that the
            // shard has no keeper here.
            quota.shard(key).claim_from.set(now.plus(RELEASED_PAUSE_MS));
            break "the lease ran out";
        }
        let has_peers = asking::has_askers(&proxy);
        if lease.is_release_due(&quota.rules, has_peers, now) {
            if lease.next_start(&quota.rules, true, now) != Start::First {
                let claim_from = now.plus(RELEASED_PAUSE_MS);
                quota.shard(key).claim_from.set(claim_from);
            }
            release(quota, key).await;
            break "released, since no other daemon asked";
        }
        if lease.is_renewal_due(now) && !renew(quota, key, &lease).await {
            quota.shard(key).kept.take();
            break "another daemon holds the lock";
        }
    };
    proxy.stats.quota_shards.dec();
    emit(
        Event::QuotaKeeperLost,
        &[("shard", &key.0), ("cause", &cause)],
    );
}

fn lease(quota: &Quota, key: ShardKey) -> Option<KeeperLease> {
    let kept = quota.shard(key).kept.borrow();
    kept.as_ref().map(|k| k.lease)
}

/// Writes the lock again; false if another daemon holds it.
async fn renew(quota: &Quota, key: ShardKey, lease: &KeeperLease) -> bool {
    let sent_at = Ms::now();
    let record = ShardRecord {
        shard: key.0,
        next: lease.next_start(&quota.rules, false, sent_at),
    };
    match (quota.api.renew)(record).await {
        Renewal::Renewed => {
            if let Some(kept) = quota.shard(key).kept.borrow_mut().as_mut() {
                kept.lease.renew(sent_at);
            }
            true
        }
        Renewal::Failed => true,
        Renewal::Lost => false,
    }
}

/// Stops acting as keeper and releases the lock.
async fn release(quota: &Quota, key: ShardKey) {
    let Some(kept) = quota.shard(key).kept.take() else {
        return;
    };
    let record = ShardRecord {
        shard: key.0,
        next: kept.lease.next_start(&quota.rules, true, Ms::now()),
    };
    quota.releasing.set(quota.releasing.get() + 1);
    (quota.api.release)(record).await;
    quota.releasing.set(quota.releasing.get() - 1);
}

impl Quota {
    /// Lets the tasks that hold locks release them; no lock is taken any more.
    pub(crate) fn stop(&self) {
        self.stopping.set(true);
    }
}
