//! Asks the keepers for grants.

use std::cmp::Reverse;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit};
use link::BufferedStream;
use schema::{QuotaAnswer, QuotaDemand, QuotaRequest};
use xxhash_rust::xxh3::xxh3_64;

use super::charge::over_rate;
use super::frame::{MAX_FRAME_BYTES, read_frame, send_frame};
use super::{Admission, AskerKey, REQUEST_INTERVAL_MS, Shard, ShardKey, Ticket, lock, serving};
use crate::tunnel::{PeerError, connect_to_keeper};
use crate::{AccountKey, Peer, Proxy, Reply, ShardLock};

/// Longest wait of an operation for the answer of a keeper.
const MAX_WAIT_MS: u64 = 150;
/// Timeout of a request to a keeper. Much of the life of a grant that comes later has passed.
const EXCHANGE_TIMEOUT_MS: u64 = 250;
/// Delay after an attempt in which no keeper answered.
const RETRY_DELAY_MS: u64 = 250;
/// Time without anything to ask after which the connection to the keeper is closed.
const IDLE_CLOSE_MS: u64 = 10_000;
/// Number of other daemons that are asked for the keeper in one attempt.
const MAX_CANDIDATES: usize = 3;
/// Bytes that a demand needs at most, apart from its account's name and its reports.
const DEMAND_BYTES: usize = 16;
const REPORT_BYTES: usize = 20;
/// Space left in a request for its other fields.
const REQUEST_RESERVE_BYTES: usize = 1024;

/// A connection to a keeper.
pub(super) struct KeeperLink {
    addr: SocketAddr,
    link: BufferedStream,
}

/// A request, and the accounts of its demands in the same order.
struct Prepared {
    request: QuotaRequest,
    accounts: Vec<AccountKey>,
}

/// An answer of the keeper, and when its request was sent.
pub(super) struct Answered {
    pub(super) answer: QuotaAnswer,
    sent_at: Ms,
}

/// A daemon that is asked for the keeper.
pub(super) enum Candidate {
    Own,
    Peer(Peer),
}

/// The result of asking a candidate.
enum Lead {
    Answered(Answered),
    /// The address of the keeper.
    Named(Box<str>),
    /// The daemon at this address is named as the keeper, but refuses connections or is not.
    Ended(Box<str>),
    /// The daemon that was asked is not the keeper and names none.
    NotKeeper,
    Nothing,
}

/// Charges an operation that has arrived; waits for the answer of a keeper if none is held.
///
/// # Errors
/// The `Busy` reply when the account is over its rate, or no keeper answers.
pub async fn acquire(
    proxy: &Rc<Proxy>,
    account: AccountKey,
    deadline: Ms,
) -> Result<Ticket, Reply> {
    let key = proxy.quota_shard(account);
    let shard = proxy.quota.shard(key);
    let now = Ms::now();
    match shard.with_holding(account, |h| h.arrive(now)) {
        Admission::Admitted(ticket) => return Ok(ticket),
        Admission::Refused { retry_ms } => return Err(over_rate(retry_ms)),
        Admission::Unknown => {}
    }
    if !shard.is_asking.replace(true) {
        monoio::spawn(run(proxy.clone(), key));
    }
    shard.with_holding(account, super::Holding::add_waiting);
    let give_up = now.plus(MAX_WAIT_MS).min(deadline);
    let result = wait_for_answer(proxy, shard, account, give_up).await;
    shard.with_holding(account, super::Holding::remove_waiting);
    result
}

async fn wait_for_answer(
    proxy: &Proxy,
    shard: &Shard,
    account: AccountKey,
    give_up: Ms,
) -> Result<Ticket, Reply> {
    loop {
        let generation = shard.answered.generation();
        let now = Ms::now();
        match shard.with_holding(account, |h| h.admit(now)) {
            Admission::Admitted(ticket) => return Ok(ticket),
            Admission::Refused { retry_ms } => return Err(over_rate(retry_ms)),
            Admission::Unknown => {}
        }
        let has_failed = now < shard.ask_from.get();
        if has_failed || now >= give_up {
            let groups = proxy.groups.borrow().len();
            let rules = &proxy.quota.rules;
            let ticket = shard.with_holding(account, |h| h.take_fallback(rules, groups, now));
            return ticket.ok_or_else(|| over_rate(RETRY_DELAY_MS));
        }
        shard.wanted.notify();
        let wait = Duration::from_millis(give_up.left());
        let _ = monoio::time::timeout(wait, shard.answered.wait_past(generation)).await;
    }
}

/// Asks the keeper of a shard whenever there is something to ask, until the process ends.
async fn run(proxy: Rc<Proxy>, key: ShardKey) {
    let shard = proxy.quota.shard(key);
    let mut link = None;
    let mut interval_end = Ms::now().plus(REQUEST_INTERVAL_MS);
    let mut last_business = Ms::now();
    loop {
        let generation = shard.wanted.generation();
        if !shard.is_urgent(Ms::now()) {
            wait_for_work(shard, generation, interval_end, link.is_some()).await;
        }
        let now = Ms::now();
        let is_interval_end = now >= interval_end;
        if is_interval_end {
            shard.end_interval(now);
            interval_end = now.plus(REQUEST_INTERVAL_MS);
        }
        if shard.is_urgent(now) || is_interval_end && shard.has_business(now) {
            last_business = now;
            ask_once(&proxy, key, &mut link).await;
        } else if now >= last_business.plus(IDLE_CLOSE_MS) {
            link = None;
            shard.keeper.set(None);
        }
    }
}

/// Waits until an operation waits for an answer or the interval ends. Without demand and connection,
/// there is nothing to do at its end.
async fn wait_for_work(shard: &Shard, generation: u64, interval_end: Ms, is_connected: bool) {
    let wanted = shard.wanted.wait_past(generation);
    if shard.holdings.borrow().is_empty() && !is_connected {
        return wanted.await;
    }
    let wait = Duration::from_millis(interval_end.left());
    let _ = monoio::time::timeout(wait, wanted).await;
}

/// Sends one request for all accounts of a shard, and takes in the answer.
async fn ask_once(proxy: &Rc<Proxy>, key: ShardKey, link: &mut Option<KeeperLink>) {
    let shard = proxy.quota.shard(key);
    let prepared = prepare(proxy, shard);
    let answered = ask_keeper(proxy, key, link, &prepared.request).await;
    shard.keeper.set(link.as_ref().map(|l| l.addr));
    let now = Ms::now();
    let failed = answered.is_none();
    if shard.is_unreachable.replace(failed) != failed {
        let event = if failed {
            Event::QuotaKeeperUnreachable
        } else {
            Event::QuotaKeeperReached
        };
        emit(event, &[("shard", &key.0)]);
    }
    if let Some(answered) = answered {
        take_in(shard, &prepared, &answered, now);
    } else {
        shard.ask_from.set(now.plus(RETRY_DELAY_MS));
    }
    shard.answered.notify();
}

/// Builds a request from what is wanted and what is to be reported. What does not fit is left for the
/// next one.
fn prepare(proxy: &Proxy, shard: &Shard) -> Prepared {
    let now = Ms::now();
    let mut bytes = REQUEST_RESERVE_BYTES;
    let mut accounts = Vec::new();
    let mut demands = Vec::new();
    for (account, holding) in shard.holdings.borrow_mut().iter_mut() {
        if !holding.has_business(now) {
            continue;
        }
        let name = proxy.accounts.name(*account);
        let demand = DEMAND_BYTES + name.len() + REPORT_BYTES * holding.lot_count();
        if bytes + demand > MAX_FRAME_BYTES {
            continue;
        }
        bytes += demand;
        accounts.push(*account);
        demands.push(QuotaDemand {
            account: (&*name).into(),
            wanted: holding.wanted(now),
            waiting: holding.waiting(),
            reports: holding.reports(now),
        });
    }
    let request = QuotaRequest {
        version: proxy.config_version.get(),
        sender: proxy.settings.name.clone(),
        seq: shard.next_seq(),
        refused: Box::from(""),
        demands,
        is_loan: false,
    };
    Prepared { request, accounts }
}

fn take_in(shard: &Shard, prepared: &Prepared, answered: &Answered, now: Ms) {
    let mut holdings = shard.holdings.borrow_mut();
    for (account, grant) in prepared.accounts.iter().zip(&answered.answer.grants) {
        let holding = holdings.entry(*account).or_default();
        holding.add_grant(prepared.request.seq, *grant, answered.sent_at, now);
    }
}

/// Sends a request to the keeper, which is found first if need be; `None` when none answers.
async fn ask_keeper(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    link: &mut Option<KeeperLink>,
    request: &QuotaRequest,
) -> Option<Answered> {
    if let Some(answered) = ask_own(proxy, key, request).await {
        link.take();
        return Some(answered);
    }
    ask_remote(proxy, key, candidates(proxy, key), link, request).await
}

/// Sends a request to the keeper that `link` leads to, or to the one that the candidates know.
pub(super) async fn ask_remote(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    candidates: Vec<Candidate>,
    link: &mut Option<KeeperLink>,
    request: &QuotaRequest,
) -> Option<Answered> {
    if let Some(known) = link.take()
        && let Lead::Answered(answered) = exchange(proxy, known, request, link).await
    {
        return Some(answered);
    }
    for candidate in candidates {
        let mut request = request.clone();
        let mut lead = ask_candidate(proxy, key, &candidate, &request, link).await;
        if let Lead::Ended(addr) = lead {
            request.refused = addr;
            lead = ask_candidate(proxy, key, &candidate, &request, link).await;
        }
        if let Lead::Answered(answered) = lead {
            return Some(answered);
        }
    }
    None
}

/// The daemons that are asked for the keeper: others by rank, then this one. A keeper that only its
/// own daemon asks hands over after a while, which interrupts the grants, so that another daemon is
/// better where there is one.
fn candidates(proxy: &Proxy, key: ShardKey) -> Vec<Candidate> {
    let mut candidates = ranked_peers(proxy, key, |peer| is_asker(proxy, peer));
    candidates.push(Candidate::Own);
    candidates
}

/// Whether a daemon asks the same keepers as this one.
fn is_asker(proxy: &Proxy, peer: &Peer) -> bool {
    proxy.quota.rules.parts < 2 || peer.data_center == proxy.settings.data_center
}

/// Whether other daemons ask the same keepers as this one.
pub(super) fn has_askers(proxy: &Proxy) -> bool {
    proxy.peers.list().iter().any(|peer| is_asker(proxy, peer))
}

/// Some of the other daemons by their rank for a shard.
pub(super) fn ranked_peers(
    proxy: &Proxy,
    key: ShardKey,
    is_candidate: impl Fn(&Peer) -> bool,
) -> Vec<Candidate> {
    let rank = |name: &str| Reverse(xxh3_64(format!("{}.{name}", key.0).as_bytes()));
    let mut peers = proxy.peers.all();
    peers.retain(|p| is_candidate(p) && !proxy.peers.is_silent(p));
    peers.sort_by_cached_key(|peer| rank(&peer.name));
    peers.truncate(MAX_CANDIDATES);
    peers.into_iter().map(Candidate::Peer).collect()
}

/// Asks a candidate, or the keeper that it names.
async fn ask_candidate(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    candidate: &Candidate,
    request: &QuotaRequest,
    link: &mut Option<KeeperLink>,
) -> Lead {
    let keeper = match candidate {
        Candidate::Own => match lock::find_keeper(proxy, key, &request.refused).await {
            ShardLock::Taken { .. } => {
                // Boxed, since a keeper asks others for what it lacks.
                let answered = Box::pin(ask_own(proxy, key, request)).await;
                return answered.map_or(Lead::Nothing, Lead::Answered);
            }
            ShardLock::Held { addr, .. } => addr,
            ShardLock::Unavailable => return Lead::Nothing,
        },
        Candidate::Peer(peer) => match ask_addr(proxy, key, peer.addr, request, link).await {
            Ok(Lead::Named(addr)) => addr,
            Ok(lead) => return lead,
            Err(_) => return Lead::Nothing,
        },
    };
    let Ok(addr) = keeper.parse() else {
        return Lead::Nothing;
    };
    match ask_addr(proxy, key, addr, request, link).await {
        Ok(Lead::Answered(answered)) => Lead::Answered(answered),
        Err(PeerError::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            Lead::Ended(keeper)
        }
        Ok(Lead::NotKeeper) => Lead::Ended(keeper),
        Ok(_) | Err(_) => Lead::Nothing,
    }
}

/// Opens a connection to a daemon and asks it.
async fn ask_addr(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    addr: SocketAddr,
    request: &QuotaRequest,
    link: &mut Option<KeeperLink>,
) -> Result<Lead, PeerError> {
    let version = proxy.config_version.get();
    let opened = connect_to_keeper(addr, version, key.0).await?;
    let opened = KeeperLink { addr, link: opened };
    Ok(exchange(proxy, opened, request, link).await)
}

/// Whether a daemon says that it is the keeper of a shard.
///
/// # Errors
/// As `connect_to_keeper`; `PeerError::Io` also when it does not answer.
pub(super) async fn is_keeper(
    proxy: &Proxy,
    key: ShardKey,
    addr: SocketAddr,
) -> Result<bool, PeerError> {
    let version = proxy.config_version.get();
    let mut link = connect_to_keeper(addr, version, key.0).await?;
    let request = QuotaRequest {
        version,
        sender: proxy.settings.name.clone(),
        seq: proxy.quota.shard(key).next_seq(),
        refused: Box::from(""),
        demands: Vec::new(),
        is_loan: true,
    };
    let timeout = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
    let exchange = async {
        send_frame(&mut link, &request).await?;
        read_frame::<QuotaAnswer>(&mut link).await
    };
    match monoio::time::timeout(timeout, exchange).await {
        Ok(Ok(Some(answer))) => Ok(answer.is_keeper),
        Ok(Err(e)) => Err(e.into()),
        Ok(Ok(None)) => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    }
}

/// Sends a request and reads the answer. The connection is kept if that is the keeper's.
async fn exchange(
    proxy: &Rc<Proxy>,
    mut opened: KeeperLink,
    request: &QuotaRequest,
    link: &mut Option<KeeperLink>,
) -> Lead {
    let sent_at = Ms::now();
    let timeout = Duration::from_millis(EXCHANGE_TIMEOUT_MS);
    let result = monoio::time::timeout(timeout, async {
        send_frame(&mut opened.link, request).await?;
        read_frame::<QuotaAnswer>(&mut opened.link).await
    });
    let answer = match result.await {
        Ok(Ok(Some(answer))) if answer.seq == request.seq => answer,
        Ok(Err(e)) => {
            emit(
                Event::QuotaConnFailed,
                &[("peer", &opened.addr), ("cause", &e)],
            );
            return Lead::Nothing;
        }
        _ => return Lead::Nothing,
    };
    proxy.hear_version(answer.version, &answer.sender);
    if answer.is_keeper {
        *link = Some(opened);
        return Lead::Answered(Answered { answer, sent_at });
    }
    if answer.keeper.is_empty() {
        return Lead::NotKeeper;
    }
    Lead::Named(answer.keeper)
}

/// Asks this daemon itself, if it is the keeper.
async fn ask_own(proxy: &Rc<Proxy>, key: ShardKey, request: &QuotaRequest) -> Option<Answered> {
    let sent_at = Ms::now();
    let grants = serving::grants(proxy, key, AskerKey::OWN, request).await?;
    let answer = QuotaAnswer {
        version: request.version,
        sender: request.sender.clone(),
        seq: request.seq,
        is_keeper: true,
        keeper: Box::from(""),
        grants,
    };
    Some(Answered { answer, sent_at })
}
