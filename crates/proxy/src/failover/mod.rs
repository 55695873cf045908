//! Changes the primary of a group when it has failed or is leaving.
//!
//! Every acknowledged commit is in the log of at least one replica. The old primary is therefore
//! demoted, if it can be reached, and all replicas are fenced, after which no further commit can be
//! acknowledged. Once no daemon can hold a lease on the old primary any more and no unknown member
//! is left (`fence`), the replica with the longest log, which contains every acknowledged commit,
//! is promoted.

mod abort_reason;
mod change;
mod control;
mod old_primary;

use std::rc::Rc;

use base::{Event, Ms, emit, sleep_ms};

use crate::{
    Claim, FailoverCause, FencingToken, Group, Member, OrderConn, Proxy, RecordUpdate, Release,
    detect_failure,
};
use change::PrimaryChange;

pub use abort_reason::{AbortReason, AbortSeries};
use control::{FenceRemoval, MAX_DELIVERY_MS, MAX_REMOVAL_AGE_MS, remove_fence};

/// Interval between two checks of the primary, in ms.
const POLL_INTERVAL_MS: u64 = 50;
/// Duration of a poll interval from which this process counts as having been stalled, in ms.
const PROCESS_STALL_MS: u64 = 350;
/// Longest random delay before acting on a failure, since other daemons detect it too, in ms.
const MAX_JITTER_MS: u64 = 150;
/// Age from which a fence counts as left over from an abandoned primary change, in ms.
const STALE_FENCE_MS: u64 = 4000;
/// Interval between two attempts to remove what abandoned changes have left, in ms: a fenced member may
/// be down.
const TIDY_INTERVAL_MS: u64 = 500;
/// Delay after the record of a group could not be read, in ms.
const READ_RETRY_MS: u64 = 300;
/// Interval between two readings of the record while an order of another daemon is on its way, in ms.
const READ_INTERVAL_MS: u64 = 1000;
/// Delay after a claim was not obtained, in ms.
const CLAIM_RETRY_MS: u64 = 1200;

/// Polls the health of the primary and replaces it when needed; runs until the process ends.
pub async fn run(proxy: Rc<Proxy>, group: Rc<Group>) {
    let mut aborts = AbortSeries::default();
    let (mut tidy_at, mut read_at) = (Ms(0), Ms(0));
    // Whether the platform could not be reached the last time.
    let mut was_cut_off = false;
    loop {
        let before = Ms::now();
        sleep_ms(POLL_INTERVAL_MS).await;
        if !group.is_served() {
            continue;
        }
        if before.elapsed() >= PROCESS_STALL_MS {
            group.reset_failure_signs();
            continue;
        }
        let must_read =
            group.must_read_record() || group.is_record_unread() || group.awaits_other_order();
        if must_read && read_at.left() == 0 {
            let is_read = read_record(&proxy, &group).await;
            let delay_ms = if is_read {
                READ_INTERVAL_MS
            } else {
                READ_RETRY_MS
            };
            read_at = Ms::now().plus(delay_ms);
        }
        let Some(cause) = cause_of_change(&group) else {
            if group.primary().is_some() {
                aborts = AbortSeries::default();
                group.is_blocked.set(false);
            }
            if tidy_at.left() == 0 && tidy_up(&proxy, &group).await {
                tidy_at = Ms::now().plus(TIDY_INTERVAL_MS);
            }
            continue;
        };
        sleep_ms(fastrand::u64(..MAX_JITTER_MS)).await;
        // The sender of an order that may be on its way makes the change, as long as it lives.
        if cause_of_change(&group).is_none() || group.awaits_other_order() {
            continue;
        }
        let order_conn = (proxy.failover_api.connect)(()).await;
        if order_conn.is_some() && std::mem::take(&mut was_cut_off) {
            // The members may have been out of reach for the same reason.
            group.reset_failure_signs();
            continue;
        }
        was_cut_off = order_conn.is_none();
        let result = match order_conn {
            Some(conn) => change_primary(&proxy, &group, cause, conn).await,
            None => Err(AbortReason::NoPath),
        };
        match result {
            Ok(Some(())) => {}
            Ok(None) => sleep_ms(CLAIM_RETRY_MS).await,
            Err(reason) => {
                on_abort(&group, &mut aborts, &reason);
                sleep_ms(aborts.delay_ms()).await;
            }
        }
    }
}

/// Reads the record that changes of the group have left; false when the call fails.
async fn read_record(proxy: &Proxy, group: &Group) -> bool {
    let read = (proxy.failover_api.read_record)(group.name.clone()).await;
    let is_read = read.is_some();
    if let Some(record) = read {
        let era = (proxy.failover_api.replicas.era)();
        group.on_record(record, era);
    }
    is_read
}

/// Why the group needs a change of primary, if it does.
fn cause_of_change(group: &Group) -> Option<FailoverCause> {
    let failure = detect_failure(&group.primary_health(), Ms::now());
    failure.or_else(|| {
        let is_unfinished = group.has_unfinished_order();
        is_unfinished.then_some(FailoverCause::Unfinished)
    })
}

/// Logs an aborted change, and once when only an operator or a returning member can help.
fn on_abort(group: &Group, aborts: &mut AbortSeries, reason: &AbortReason) {
    let is_new = aborts.record(reason);
    let is_blocked = aborts.is_blocked();
    let was_blocked = group.is_blocked.replace(is_blocked);
    if is_blocked && !was_blocked {
        emit(
            Event::GroupBlocked,
            &[("group", &group.name), ("cause", reason)],
        );
    }
    if is_new {
        emit(
            Event::FailoverAborted,
            &[("group", &group.name), ("cause", reason)],
        );
    }
}

/// The members that an abandoned primary change has left fenced.
fn stale_fences(group: &Group) -> Vec<Rc<Member>> {
    let mut listed = group.listed();
    listed.retain(|m| {
        let since = m.fenced_since.get();
        since.is_some_and(|at| at.elapsed() >= STALE_FENCE_MS)
    });
    listed
}

/// Removes what abandoned primary changes have left: fences, and orders on record that do not take
/// effect any more. Called while no primary change is needed. Returns whether there was anything.
async fn tidy_up(proxy: &Proxy, group: &Rc<Group>) -> bool {
    let is_needed = || !stale_fences(group).is_empty() || group.has_outdated_orders();
    if !is_needed() {
        return false;
    }
    sleep_ms(fastrand::u64(..MAX_JITTER_MS)).await;
    if !is_needed() {
        return false;
    }
    let until = Ms::now().plus(MAX_REMOVAL_AGE_MS);
    let Some(mut claim) = (proxy.failover_api.claim)(group.name.clone()).await else {
        return true;
    };
    group.on_claim(&mut claim);
    // Otherwise a primary would acknowledge commits that the ordered member lacks.
    if group.may_serve(&claim.record.orders) {
        remove_stale_fences(group, claim.token, until).await;
    }
    let release = Release {
        group: group.name.clone(),
        record: claim.record,
    };
    (proxy.failover_api.release)(release).await;
    true
}

/// Unfences the replicas that an abandoned primary change has left fenced, under a claim with this token.
/// Sends nothing after `until`.
async fn remove_stale_fences(group: &Rc<Group>, token: FencingToken, until: Ms) {
    for member in stale_fences(group) {
        let fenced = member.last_probe.get().map_or(0, |p| p.fenced);
        let removal = remove_fence(group, &member, fenced, until).await;
        emit(
            Event::MemberResumed,
            &[
                ("group", &group.name),
                ("member", &member.id),
                ("fenced", &fenced),
                ("change", &token),
                ("done", &(removal == FenceRemoval::Done)),
            ],
        );
        if let FenceRemoval::Unanswered(sent_at) = removal {
            // It may still take effect, and would then lift the fence of the next change.
            sleep_ms(sent_at.plus(MAX_DELIVERY_MS).left()).await;
            break;
        }
    }
}

/// Claims and runs one primary change; `None` when the claim was not obtained, or when the record shows
/// that no change is needed.
async fn change_primary(
    proxy: &Proxy,
    group: &Rc<Group>,
    cause: FailoverCause,
    order_conn: OrderConn,
) -> Result<Option<()>, AbortReason> {
    let started_at = Ms::now();
    let old_primary = group.primary();
    let Some(mut claim) = (proxy.failover_api.claim)(group.name.clone()).await else {
        return Ok(None);
    };
    let had_unknown = claim.record.has_unknown_order();
    group.on_claim(&mut claim);
    if had_unknown && !claim.record.has_unknown_order() {
        // Otherwise the fences of this change would make it count again, should this daemon end.
        let update = RecordUpdate {
            group: group.name.clone(),
            record: claim.record.clone(),
        };
        (proxy.failover_api.save_record)(update).await;
    }
    if let Err(reason) = check_orders(group, old_primary.as_deref(), &claim, cause) {
        let release = Release {
            group: group.name.clone(),
            record: claim.record,
        };
        (proxy.failover_api.release)(release).await;
        return reason.map_or(Ok(None), Err);
    }
    group.log_orders(&claim.record.orders);
    let token = claim.token;
    emit(
        Event::FailoverStarted,
        &[
            ("group", &group.name),
            ("cause", &cause),
            ("primary", &old_primary.as_ref().map_or("", |p| &p.id)),
            ("change", &token),
        ],
    );
    let change = PrimaryChange::new(proxy, group, old_primary, claim, started_at, order_conn);
    let (result, record) = change.run().await;
    let release = Release {
        group: group.name.clone(),
        record,
    };
    (proxy.failover_api.release)(release).await;
    let new = result?;
    proxy.stats.changes.inc();
    emit(
        Event::FailoverFinished,
        &[
            ("group", &group.name),
            ("primary", &new.id),
            ("change", &token),
            ("took_ms", &started_at.elapsed()),
        ],
    );
    Ok(Some(()))
}

/// Checks whether a change may begin, given the orders that may still take effect.
///
/// # Errors
/// `Some` if none may: an order of another sender may be on its way, which a later token must not
/// overtake, or an order to promote the old primary itself may take effect, so that nobody else may lead
/// before that is settled. `None` if none is needed any more.
fn check_orders(
    group: &Group,
    old_primary: Option<&Member>,
    claim: &Claim,
    cause: FailoverCause,
) -> Result<(), Option<AbortReason>> {
    if cause == FailoverCause::Unfinished && !group.has_unfinished_order() {
        return Err(None);
    }
    let order_log = group.order_log.borrow();
    if let Some(order) = order_log.other_on_way(&claim.record.orders) {
        return Err(Some(if order.is_unknown() {
            AbortReason::UnknownOrder
        } else {
            AbortReason::OnWay(order.holder.clone())
        }));
    }
    let is_for_old = |id: &str| old_primary.is_some_and(|p| *p.id == *id);
    let mut orders = claim.record.orders.iter();
    match orders.find(|o| is_for_old(&o.member)) {
        Some(order) => Err(Some(AbortReason::Outstanding(order.member.clone()))),
        None => Ok(()),
    }
}
