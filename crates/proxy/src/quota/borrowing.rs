//! Borrows operations from the keepers of other data centres.
//!
//! Each data centre holds an equal part of every limit, so that a data centre which is cut off does
//! not stop the others. Demand is not equal: a keeper that has less than it is asked for asks those of
//! the other data centres, which grant from their own parts as to any daemon. What is borrowed is not
//! reported; the lender counts it as used.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use schema::{QuotaDemand, QuotaGrant, QuotaRequest};

use super::asking::{self, KeeperLink};
use super::{Loans, SHORTAGE_PAUSE_MS, Shard, ShardKey};
use crate::{Peer, Proxy};

/// Longest time for which one other data centre is asked, in ms. Operations wait for it.
const LENDER_TIMEOUT_MS: u64 = 60;
/// Time for which a data centre is not asked after it has not answered, in ms.
const LENDER_PAUSE_MS: u64 = 1000;
/// Number of data centres that are asked for one request at most.
const MAX_LENDERS: usize = 3;
/// Connections that are kept to the keeper of one data centre.
const MAX_IDLE_LINKS: usize = 2;

/// The keepers of the other data centres, as one shard knows them.
#[derive(Default)]
pub(crate) struct Lenders {
    by_center: RefCell<HashMap<Box<str>, Lender>>,
}

/// The keeper of another data centre.
#[derive(Default)]
struct Lender {
    /// Connections on which it has answered.
    idle: Vec<KeeperLink>,
    /// It is not asked before.
    ask_from: Ms,
}

impl Lenders {
    fn may_ask(&self, center: &str, now: Ms) -> bool {
        let by_center = self.by_center.borrow();
        by_center.get(center).is_none_or(|l| now >= l.ask_from)
    }

    /// Takes a connection to a data centre's keeper, if there is one.
    fn take(&self, center: &str) -> Option<KeeperLink> {
        self.by_center.borrow_mut().get_mut(center)?.idle.pop()
    }

    fn put_back(&self, center: &str, link: Option<KeeperLink>) {
        let mut by_center = self.by_center.borrow_mut();
        let lender = by_center.entry(center.into()).or_default();
        if lender.idle.len() < MAX_IDLE_LINKS {
            lender.idle.extend(link);
        }
    }

    /// Records that a data centre has not answered.
    fn pause(&self, center: &str, until: Ms) {
        let mut by_center = self.by_center.borrow_mut();
        let lender = by_center.entry(center.into()).or_default();
        lender.ask_from = until;
        lender.idle.clear();
    }
}

/// Adds to the grants of a request what other data centres lend.
pub(super) async fn top_up(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    demands: &[QuotaDemand],
    grants: &mut [QuotaGrant],
) {
    if proxy.quota.rules.parts < 2 {
        return;
    }
    for (demand, grant) in demands.iter().zip(grants.iter_mut()) {
        // The next operation asks again, and may get what another data centre lends.
        if missing(demand, grant) == 0 {
            grant.retry_ms = 0;
        }
    }
    let shard = proxy.quota.shard(key);
    let short = short_demands(proxy, shard, demands, grants, Ms::now());
    if short.is_empty() {
        return;
    }
    let mut centers = other_centers(proxy);
    fastrand::shuffle(&mut centers);
    for center in centers.into_iter().take(MAX_LENDERS) {
        let still_short = |i: &usize| missing(&demands[*i], &grants[*i]) > 0;
        let open: Vec<usize> = short.iter().copied().filter(still_short).collect();
        if open.is_empty() {
            return;
        }
        borrow_from(proxy, key, &center, &open, demands, grants).await;
    }
    record_shortages(proxy, shard, &short, demands, grants);
}

/// Adds to the grants of some demands what one data centre lends.
async fn borrow_from(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    center: &str,
    open: &[usize],
    demands: &[QuotaDemand],
    grants: &mut [QuotaGrant],
) {
    let wanted = open.iter().map(|i| {
        let missing = missing(&demands[*i], &grants[*i]);
        QuotaDemand {
            account: demands[*i].account.clone(),
            wanted: missing,
            waiting: missing,
            reports: Vec::new(),
        }
    });
    let lent = ask_lender(proxy, key, center, wanted.collect()).await;
    for (i, lent) in open.iter().zip(lent) {
        let grant = &mut grants[*i];
        grant.granted += lent.granted.min(missing(&demands[*i], grant));
        if missing(&demands[*i], grant) == 0 {
            grant.retry_ms = 0;
        }
    }
}

/// Records the accounts of which all data centres had too little.
fn record_shortages(
    proxy: &Proxy,
    shard: &Shard,
    short: &[usize],
    demands: &[QuotaDemand],
    grants: &mut [QuotaGrant],
) {
    let mut kept = shard.kept.borrow_mut();
    let Some(kept) = kept.as_mut() else {
        return;
    };
    for i in short {
        let Some(account) = proxy.accounts.find(&demands[*i].account) else {
            continue;
        };
        if missing(&demands[*i], &grants[*i]) > 0 {
            kept.loans.record_shortage(account, Ms::now());
            // The own part says nothing about when another one has something.
            grants[*i].retry_ms = grants[*i].retry_ms.min(SHORTAGE_PAUSE_MS);
        }
    }
}

/// Operations that wait and were not granted. Those that are only expected are not borrowed: the lender
/// would lack what expires unused.
fn missing(demand: &QuotaDemand, grant: &QuotaGrant) -> u32 {
    demand
        .waiting
        .min(demand.wanted)
        .saturating_sub(grant.granted)
}

/// Indexes of the demands for which other data centres are asked.
fn short_demands(
    proxy: &Proxy,
    shard: &Shard,
    demands: &[QuotaDemand],
    grants: &[QuotaGrant],
    now: Ms,
) -> Vec<usize> {
    let kept = shard.kept.borrow();
    let loans = kept.as_ref().map(|k| &k.loans);
    let is_short = |i: &usize| {
        let account = proxy.accounts.find(&demands[*i].account);
        missing(&demands[*i], &grants[*i]) > 0
            && account.is_some_and(|a| loans.is_some_and(|l: &Loans| l.may_borrow(a, now)))
    };
    (0..grants.len().min(demands.len()))
        .filter(is_short)
        .collect()
}

/// The data centres of the other daemons but for this one's.
fn other_centers(proxy: &Proxy) -> Vec<Box<str>> {
    let own = &proxy.settings.data_center;
    let mut centers: Vec<Box<str>> = Vec::new();
    for peer in proxy.peers.list().iter() {
        if peer.data_center != *own && !centers.contains(&peer.data_center) {
            centers.push(peer.data_center.clone());
        }
    }
    centers
}

/// Asks the keeper of another data centre; the grants are empty when it does not answer.
async fn ask_lender(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    center: &str,
    demands: Vec<QuotaDemand>,
) -> Vec<QuotaGrant> {
    let shard = proxy.quota.shard(key);
    if !shard.lenders.may_ask(center, Ms::now()) {
        return Vec::new();
    }
    let mut link = shard.lenders.take(center);
    let request = QuotaRequest {
        version: proxy.config_version.get(),
        sender: proxy.settings.name.clone(),
        seq: shard.next_seq(),
        refused: Box::from(""),
        demands,
        is_loan: true,
    };
    let is_there = |p: &Peer| *p.data_center == *center;
    let candidates = asking::ranked_peers(proxy, key, is_there);
    let wait = Duration::from_millis(LENDER_TIMEOUT_MS);
    let ask = asking::ask_remote(proxy, key, candidates, &mut link, &request);
    let Ok(Some(answered)) = monoio::time::timeout(wait, ask).await else {
        let until = Ms::now().plus(LENDER_PAUSE_MS);
        shard.lenders.pause(center, until);
        return Vec::new();
    };
    shard.lenders.put_back(center, link);
    answered.answer.grants
}
