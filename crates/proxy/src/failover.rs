//! Changes the primary of a group when it has failed or is leaving.
//!
//! Every acknowledged commit is in the log of at least one replica. All replicas are therefore
//! fenced first, after which the old primary can acknowledge no further commit. Then the replica
//! with the longest log, which contains every acknowledged commit, is promoted.

use std::rc::Rc;

use base::{Event, Ms, emit};

use crate::state::sleep_ms;
use crate::{
    Command, ConnError, FailoverCause, Group, Member, Promotion, Proxy, Role, Status,
    detect_failure,
};

/// Interval between two checks of the primary, in ms.
const POLL_INTERVAL_MS: u64 = 50;
/// Measured duration of a poll interval from which this process counts as having been stalled, in
/// ms.
const PROCESS_STALL_MS: u64 = 350;
/// Longest random delay before acting on a failure, since other daemons detect it too, in ms.
const MAX_JITTER_MS: u64 = 150;
/// Timeout of a control command to a member, in ms.
const COMMAND_TIMEOUT_MS: u64 = 400;
/// Time after which a promotion that has been ordered counts as failed, in ms.
const PROMOTION_TIMEOUT_MS: u64 = 2500;
/// Age from which a fence counts as left over from an abandoned primary change, in ms.
const STALE_FENCE_MS: u64 = 4000;
/// Age of the claim from which no promotion is ordered any more, in ms: another daemon may have
/// taken over by then.
const MAX_CLAIM_AGE_MS: u64 = 2000;
/// Delay after an aborted primary change, in ms.
const FAILURE_RETRY_MS: u64 = 300;
/// Delay while another daemon holds the claim, in ms.
const CLAIM_HELD_RETRY_MS: u64 = 1200;

/// Polls the health of the primary and replaces it when needed; runs until the process ends.
pub async fn run(proxy: Rc<Proxy>, group: Rc<Group>) {
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
        let Some(cause) = detect_failure(&group.primary_health(), Ms::now()) else {
            resume_stale_fences(&proxy, &group).await;
            continue;
        };
        sleep_ms(fastrand::u64(..MAX_JITTER_MS)).await;
        if detect_failure(&group.primary_health(), Ms::now()).is_none() {
            continue;
        }
        match change_primary(&proxy, &group, cause).await {
            Ok(Some(())) => {}
            Ok(None) => sleep_ms(CLAIM_HELD_RETRY_MS).await,
            Err(reason) => {
                emit(
                    Event::FailoverAborted,
                    &[("group", &group.name), ("cause", &reason)],
                );
                sleep_ms(FAILURE_RETRY_MS).await;
            }
        }
    }
}

/// Unfences replicas that an abandoned primary change has left fenced. Called while no primary
/// change is needed.
async fn resume_stale_fences(proxy: &Proxy, group: &Rc<Group>) {
    let is_stale = |m: &Rc<Member>| {
        let since = m.fenced_since.get();
        since.is_some_and(|at| at.elapsed() >= STALE_FENCE_MS) && !m.removed.get()
    };
    if !group.listed().iter().any(is_stale) {
        return;
    }
    sleep_ms(fastrand::u64(..MAX_JITTER_MS)).await;
    let stale: Vec<_> = group.listed().into_iter().filter(is_stale).collect();
    if stale.is_empty()
        || (proxy.failover_api.claim)(group.name.clone())
            .await
            .is_none()
    {
        return;
    }
    for member in stale {
        let result = send_command(group, &member, &Command::Resume).await;
        emit(
            Event::MemberResumed,
            &[
                ("group", &group.name),
                ("member", &member.id),
                ("done", &result.is_ok()),
            ],
        );
    }
    (proxy.failover_api.release)(group.name.clone()).await;
}

/// Why a primary change was aborted.
type AbortReason = Box<str>;

/// Claims and runs one primary change; `None` when another daemon holds the claim.
async fn change_primary(
    proxy: &Proxy,
    group: &Rc<Group>,
    cause: FailoverCause,
) -> Result<Option<()>, AbortReason> {
    let started_at = Ms::now();
    let old_primary = group.primary();
    let Some(token) = (proxy.failover_api.claim)(group.name.clone()).await else {
        return Ok(None);
    };
    emit(
        Event::FailoverStarted,
        &[
            ("group", &group.name),
            ("cause", &cause),
            ("primary", &old_primary.as_ref().map_or("", |p| &p.id)),
            ("change", &token),
        ],
    );
    let result = execute_change(proxy, group, old_primary.as_ref(), token, started_at).await;
    (proxy.failover_api.release)(group.name.clone()).await;
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

/// Fences the fence set, promotes a candidate, resumes the other replicas and demotes the old
/// primary.
async fn execute_change(
    proxy: &Proxy,
    group: &Rc<Group>,
    old_primary: Option<&Rc<Member>>,
    token: u64,
    started_at: Ms,
) -> Result<Rc<Member>, AbortReason> {
    let term = group.newest_term() + 1;
    let fence_set = group.fence_set(old_primary);
    let fenced = fence_replicas(group, &fence_set, term).await?;
    // An unfenced member may hold an acknowledged commit that no other member has, or let the old
    // primary acknowledge one later. A group has at least two replicas, so a smaller fence set is
    // incomplete.
    if fenced.len() < fence_set.len().max(2) {
        resume_all(group, &fenced).await;
        let (done, all) = (fenced.len(), fence_set.len());
        return Err(format!("{done} of {all} members could be fenced").into());
    }
    let candidate = choose_candidate(&fenced).ok_or("no replica can be promoted")?;
    emit(
        Event::FailoverFenced,
        &[
            ("group", &group.name),
            ("best", &candidate.id),
            ("term", &term),
            ("change", &token),
        ],
    );
    if started_at.elapsed() >= MAX_CLAIM_AGE_MS {
        resume_all(group, &fenced).await;
        return Err("the claim is too old".into());
    }
    let promotion = Promotion {
        group: group.name.clone(),
        member: candidate.id.clone(),
        token,
    };
    let accepted = (proxy.failover_api.promote)(promotion).await;
    emit(
        Event::PromotionOrdered,
        &[
            ("group", &group.name),
            ("member", &candidate.id),
            ("change", &token),
            ("accepted", &accepted),
        ],
    );
    if !accepted {
        resume_all(group, &fenced).await;
        return Err("the promotion was refused".into());
    }
    await_promotion(group, &candidate).await?;
    resume_and_demote(group, &candidate, &fenced, old_primary).await;
    Ok(candidate)
}

/// Fences the replicas in parallel; returns those that have confirmed it.
///
/// # Errors
/// The change is aborted if one of them has become primary.
async fn fence_replicas(
    group: &Rc<Group>,
    replicas: &[Rc<Member>],
    term: u64,
) -> Result<Vec<(Rc<Member>, Status)>, AbortReason> {
    let mut fenced = Vec::new();
    let pending: Vec<_> = replicas
        .iter()
        .map(|member| {
            let (group, member) = (group.clone(), member.clone());
            monoio::spawn(
                async move { send_command(&group, &member, &Command::Fence { term }).await },
            )
        })
        .collect();
    for (member, answer) in replicas.iter().zip(pending) {
        match answer.await {
            Ok(status) if status.role == Role::Primary => {
                return Err("a replica has become primary".into());
            }
            Ok(status) if status.fenced > 0 => fenced.push((member.clone(), status)),
            Ok(_) | Err(_) => {}
        }
    }
    Ok(fenced)
}

/// Returns the fenced replica with the longest log; among equals, one that is not leaving.
fn choose_candidate(fenced: &[(Rc<Member>, Status)]) -> Option<Rc<Member>> {
    let key = |(member, status): &&(Rc<Member>, Status)| (status.received, member.is_serving());
    fenced.iter().max_by_key(key).map(|(m, _)| m.clone())
}

/// Waits until the candidate reports that it is primary.
async fn await_promotion(group: &Rc<Group>, candidate: &Rc<Member>) -> Result<(), AbortReason> {
    let until = Ms::now().plus(PROMOTION_TIMEOUT_MS);
    while until.left() > 0 {
        sleep_ms(POLL_INTERVAL_MS).await;
        if let Ok(status) = send_command(group, candidate, &Command::Status).await
            && status.role == Role::Primary
        {
            return Ok(());
        }
    }
    Err("the promotion took no effect".into())
}

/// Unfences the other replicas, so that they follow the new primary, and demotes the old primary.
async fn resume_and_demote(
    group: &Rc<Group>,
    candidate: &Rc<Member>,
    fenced: &[(Rc<Member>, Status)],
    old_primary: Option<&Rc<Member>>,
) {
    let term = candidate.last_probe.get().map_or(0, |probe| probe.term);
    for (member, _) in fenced.iter().filter(|(m, _)| !Rc::ptr_eq(m, candidate)) {
        if let Ok(status) = send_command(group, member, &Command::Status).await
            && status.fenced > 0
        {
            let _ = send_command(group, member, &Command::Resume).await;
        }
    }
    if let Some(old_primary) = old_primary
        && !old_primary.removed.get()
        && old_primary.unreachable_since.get().is_none()
    {
        let _ = send_command(group, old_primary, &Command::Demote { term }).await;
    }
}

/// Unfences replicas after an aborted primary change. Errors are ignored, since
/// `resume_stale_fences` unfences those that were missed.
async fn resume_all(group: &Rc<Group>, fenced: &[(Rc<Member>, Status)]) {
    for (member, _) in fenced {
        let _ = send_command(group, member, &Command::Resume).await;
    }
}

/// Sends a control command to a member and returns its status.
async fn send_command(
    group: &Rc<Group>,
    member: &Rc<Member>,
    command: &Command<'_>,
) -> Result<Status, ConnError> {
    let mut conn = match group.control_conn(member).await {
        Ok(conn) => conn,
        // Sessions hold all connections; a control command justifies another one.
        Err(_) => group.connect(member).await?,
    };
    let status = group
        .send_control(&mut conn, command, COMMAND_TIMEOUT_MS)
        .await?;
    group.release(conn);
    Ok(status)
}
