//! Changes the primary of a group when the evidence calls for it.
//!
//! Both replicas are fenced first, so that the old primary can acknowledge nothing more; then the
//! one with the longest log is promoted. Every commit that was acknowledged is on one of them.

use std::rc::Rc;

use base::{Event, Ms, emit};

use crate::state::sleep_ms;
use crate::{
    Command, ConnError, FailoverCause, Group, Member, Promotion, Proxy, Role, Status,
    detect_failure,
};

/// Period of looks at the evidence, in ms.
const LOOK_MS: u64 = 50;
/// Length of a look from which this process counts as having stood still, in ms.
const STALL_MS: u64 = 350;
/// Longest pause before a daemon acts on evidence that others see too, in ms.
const STAGGER_MS: u64 = 150;
/// Time a member has for an order, in ms.
const ORDER_MS: u64 = 400;
/// Time after which an ordered promotion counts as failed, in ms.
const EFFECT_MS: u64 = 2500;
/// Time after which a fenced replica is taken to be left behind by a change, in ms.
const LEFT_MS: u64 = 4000;
/// Time from the claim after which a promotion is no longer ordered, since another daemon may
/// have taken over, in ms.
const CLAIM_MS: u64 = 2000;
/// Pause after a change that failed, in ms.
const AGAIN_MS: u64 = 300;
/// Pause while another daemon changes the primary, in ms.
const OTHER_MS: u64 = 1200;

/// Runs until the process ends.
pub async fn run(proxy: Rc<Proxy>, group: Rc<Group>) {
    loop {
        let before = Ms::now();
        sleep_ms(LOOK_MS).await;
        if !group.is_served() {
            continue;
        }
        if before.elapsed() >= STALL_MS {
            group.reset_failure_signs();
            continue;
        }
        let Some(cause) = detect_failure(&group.primary_health(), Ms::now()) else {
            unfence(&proxy, &group).await;
            continue;
        };
        sleep_ms(fastrand::u64(..STAGGER_MS)).await;
        if detect_failure(&group.primary_health(), Ms::now()).is_none() {
            continue;
        }
        match change(&proxy, &group, cause).await {
            Ok(Some(())) => {}
            Ok(None) => sleep_ms(OTHER_MS).await,
            Err(step) => {
                emit(
                    Event::FailoverAborted,
                    &[("group", &group.name), ("cause", &step)],
                );
                sleep_ms(AGAIN_MS).await;
            }
        }
    }
}

/// Lets replicas receive again that a change left fenced, while the primary serves.
async fn unfence(proxy: &Proxy, group: &Rc<Group>) {
    let left = |m: &Rc<Member>| {
        let since = m.fenced_since.get();
        since.is_some_and(|at| at.elapsed() >= LEFT_MS) && !m.removed.get()
    };
    if !group.listed().iter().any(left) {
        return;
    }
    sleep_ms(fastrand::u64(..STAGGER_MS)).await;
    let left: Vec<_> = group.listed().into_iter().filter(left).collect();
    if left.is_empty()
        || (proxy.failover_api.claim)(group.name.clone())
            .await
            .is_none()
    {
        return;
    }
    for member in left {
        let result = order(group, &member, &Command::Resume).await;
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

/// Tells where a change of primary stopped.
type Step = Box<str>;

/// Runs one change; `None` when another daemon has the right to.
async fn change(
    proxy: &Proxy,
    group: &Rc<Group>,
    cause: FailoverCause,
) -> Result<Option<()>, Step> {
    let began = Ms::now();
    let old = group.primary();
    let Some(token) = (proxy.failover_api.claim)(group.name.clone()).await else {
        return Ok(None);
    };
    emit(
        Event::FailoverStarted,
        &[
            ("group", &group.name),
            ("cause", &cause),
            ("primary", &old.as_ref().map_or("", |p| &p.id)),
            ("change", &token),
        ],
    );
    let result = steps(proxy, group, old.as_ref(), token, began).await;
    (proxy.failover_api.release)(group.name.clone()).await;
    let new = result?;
    proxy.stats.changes.inc();
    emit(
        Event::FailoverFinished,
        &[
            ("group", &group.name),
            ("primary", &new.id),
            ("change", &token),
            ("took_ms", &began.elapsed()),
        ],
    );
    Ok(Some(()))
}

async fn steps(
    proxy: &Proxy,
    group: &Rc<Group>,
    old: Option<&Rc<Member>>,
    token: u64,
    began: Ms,
) -> Result<Rc<Member>, Step> {
    let term = group.newest_term() + 1;
    let cohort = group.fence_set(old);
    let fenced = fence(group, &cohort, term).await?;
    // A member that is not fenced may hold an acknowledged commit, or acknowledge one later.
    if fenced.len() < cohort.len().max(2) {
        resume(group, &fenced).await;
        let (done, all) = (fenced.len(), cohort.len());
        return Err(format!("{done} of {all} members could be fenced").into());
    }
    let best = best(&fenced).ok_or("no replica can be promoted")?;
    emit(
        Event::FailoverFenced,
        &[
            ("group", &group.name),
            ("best", &best.id),
            ("term", &term),
            ("change", &token),
        ],
    );
    if began.elapsed() >= CLAIM_MS {
        resume(group, &fenced).await;
        return Err("the claim is too old".into());
    }
    let promotion = Promotion {
        group: group.name.clone(),
        member: best.id.clone(),
        token,
    };
    let ordered = (proxy.failover_api.promote)(promotion).await;
    emit(
        Event::PromotionOrdered,
        &[
            ("group", &group.name),
            ("member", &best.id),
            ("change", &token),
            ("accepted", &ordered),
        ],
    );
    if !ordered {
        resume(group, &fenced).await;
        return Err("the promotion was refused".into());
    }
    await_effect(group, &best).await?;
    settle(group, &best, &fenced, old).await;
    Ok(best)
}

/// Fences the replicas that can be reached.
async fn fence(
    group: &Rc<Group>,
    replicas: &[Rc<Member>],
    term: u64,
) -> Result<Vec<(Rc<Member>, Status)>, Step> {
    let mut fenced = Vec::new();
    let asked: Vec<_> = replicas
        .iter()
        .map(|member| {
            let (group, member) = (group.clone(), member.clone());
            monoio::spawn(async move { order(&group, &member, &Command::Fence { term }).await })
        })
        .collect();
    for (member, answer) in replicas.iter().zip(asked) {
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

/// The fenced replica with the longest log; among equals one that stays.
fn best(fenced: &[(Rc<Member>, Status)]) -> Option<Rc<Member>> {
    let key = |(member, status): &&(Rc<Member>, Status)| (status.received, member.is_serving());
    fenced.iter().max_by_key(key).map(|(m, _)| m.clone())
}

async fn await_effect(group: &Rc<Group>, best: &Rc<Member>) -> Result<(), Step> {
    let until = Ms::now().plus(EFFECT_MS);
    while until.left() > 0 {
        sleep_ms(LOOK_MS).await;
        if let Ok(status) = order(group, best, &Command::Status).await
            && status.role == Role::Primary
        {
            return Ok(());
        }
    }
    Err("the promotion took no effect".into())
}

/// Lets the other replica follow, and makes the old primary step down.
async fn settle(
    group: &Rc<Group>,
    best: &Rc<Member>,
    fenced: &[(Rc<Member>, Status)],
    old: Option<&Rc<Member>>,
) {
    let term = best.last_probe.get().map_or(0, |w| w.term);
    for (member, _) in fenced.iter().filter(|(m, _)| !Rc::ptr_eq(m, best)) {
        if let Ok(status) = order(group, member, &Command::Status).await
            && status.fenced > 0
        {
            let _ = order(group, member, &Command::Resume).await;
        }
    }
    if let Some(old) = old
        && !old.removed.get()
        && old.unreachable_since.get().is_none()
    {
        let _ = order(group, old, &Command::Demote { term }).await;
    }
}

async fn resume(group: &Rc<Group>, fenced: &[(Rc<Member>, Status)]) {
    for (member, _) in fenced {
        let _ = order(group, member, &Command::Resume).await;
    }
}

async fn order(
    group: &Rc<Group>,
    member: &Rc<Member>,
    command: &Command<'_>,
) -> Result<Status, ConnError> {
    let mut conn = match group.control_conn(member).await {
        Ok(conn) => conn,
        // Callers hold all connections; an order is worth one more.
        Err(_) => group.connect(member).await?,
    };
    let status = group.send_control(&mut conn, command, ORDER_MS).await?;
    group.release(conn);
    Ok(status)
}
