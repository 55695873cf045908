//! Answers the requests of other daemons for grants.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit};
use link::BufferedStream;
use schema::{QuotaAnswer, QuotaDemand, QuotaGrant, QuotaRequest};

use super::frame::{read_frame, send_frame};
use super::shard::Kept;
use super::{AccountDemand, AskerKey, REQUEST_INTERVAL_MS, ShardKey, borrowing, lock};
use crate::{Proxy, ShardLock};

/// Time without a request after which a connection is closed; longer than that after which the other
/// side closes it.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// Answers the requests on a connection until it ends.
///
/// # Errors
/// `InvalidInput` when there is no such shard; malformed and oversized frames, and the errors of the
/// connection.
pub(crate) async fn serve(
    proxy: &Rc<Proxy>,
    mut link: BufferedStream,
    shard: &str,
) -> io::Result<()> {
    let Some(key) = ShardKey::parse(shard) else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let asker = proxy.quota.new_asker();
    let timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    loop {
        let request = monoio::time::timeout(timeout, read_frame(&mut link)).await;
        let request: QuotaRequest = match request {
            Ok(Ok(Some(request))) => request,
            Ok(Ok(None)) | Err(_) => return Ok(()),
            Ok(Err(e)) => {
                emit(Event::QuotaConnFailed, &[("cause", &e)]);
                return Err(e);
            }
        };
        proxy.hear_version(request.version, &request.sender);
        let answer = answer(proxy, key, asker, &request).await;
        send_frame(&mut link, &answer).await?;
    }
}

/// Answers a request as the keeper, which this daemon becomes if the shard has none; otherwise names
/// the keeper.
async fn answer(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    asker: AskerKey,
    request: &QuotaRequest,
) -> QuotaAnswer {
    let mut keeper = Box::from("");
    let mut granted = grants(proxy, key, asker, request).await;
    if granted.is_none() {
        match lock::find_keeper(proxy, key, &request.refused).await {
            ShardLock::Taken { .. } => granted = grants(proxy, key, asker, request).await,
            ShardLock::Held { addr, .. } => keeper = addr,
            ShardLock::Unavailable => {}
        }
    }
    QuotaAnswer {
        version: proxy.config_version.get(),
        sender: proxy.settings.name.clone(),
        seq: request.seq,
        is_keeper: granted.is_some(),
        keeper,
        grants: granted.unwrap_or_default(),
    }
}

/// What the keeper grants for a request, from its own part and from those of other data centres;
/// `None` if this daemon is not the keeper.
pub(super) async fn grants(
    proxy: &Rc<Proxy>,
    key: ShardKey,
    asker: AskerKey,
    request: &QuotaRequest,
) -> Option<Vec<QuotaGrant>> {
    let mut grants = own_grants(proxy, key, asker, request, Ms::now())?;
    // A loan is given from the own part only, so that data centres do not ask each other in turn.
    if !request.is_loan {
        borrowing::top_up(proxy, key, &request.demands, &mut grants).await;
    }
    Some(grants)
}

fn own_grants(
    proxy: &Proxy,
    key: ShardKey,
    asker: AskerKey,
    request: &QuotaRequest,
    now: Ms,
) -> Option<Vec<QuotaGrant>> {
    let mut kept = proxy.quota.shard(key).kept.borrow_mut();
    let kept = kept.as_mut().filter(|k| k.lease.is_valid(now))?;
    kept.lease.record_request(asker != AskerKey::OWN, now);
    let demands = request.demands.iter();
    let grants = demands.map(|d| grant(proxy, key, kept, asker, request, d, now));
    Some(grants.collect())
}

fn grant(
    proxy: &Proxy,
    key: ShardKey,
    kept: &mut Kept,
    asker: AskerKey,
    request: &QuotaRequest,
    demand: &QuotaDemand,
    now: Ms,
) -> QuotaGrant {
    // The configuration of the other daemon may name accounts that this one does not know yet.
    let account = proxy.accounts.find(&demand.account);
    let Some(account) = account.filter(|a| proxy.quota_shard(*a) == key) else {
        return QuotaGrant {
            granted: 0,
            retry_ms: REQUEST_INTERVAL_MS,
        };
    };
    let Some(limit) = proxy.quota_limit(account) else {
        return QuotaGrant {
            granted: demand.wanted,
            retry_ms: 0,
        };
    };
    let demand = AccountDemand {
        asker,
        seq: request.seq,
        account,
        wanted: demand.wanted,
        reports: &demand.reports,
        is_loan: request.is_loan,
    };
    kept.keeper.answer(&demand, limit, now)
}
