//! One primary change: fences the replicas, promotes one, and lets the others follow it.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::{Event, Ms, emit};

use crate::state::sleep_ms;
use crate::{
    Command, Conn, ConnError, FenceHold, FenceReport, FencingToken, Group, Member, MemberKey,
    Promotion, Proxy, Role, Status,
};

/// Timeout of a control command to a member, in ms.
const COMMAND_TIMEOUT_MS: u64 = 400;
/// Interval between two questions to the candidate whether it is primary, in ms.
const PROMOTION_POLL_MS: u64 = 50;
/// Time after which a promotion that has been ordered counts as failed, in ms.
const PROMOTION_TIMEOUT_MS: u64 = 2500;
/// Age of the claim from which no promotion is ordered and no fence is removed any more, in ms:
/// another daemon may have taken over by then.
const MAX_CLAIM_AGE_MS: u64 = 3000;

/// Why a primary change was aborted.
pub(super) type AbortReason = Box<str>;

/// A primary change under a claim.
pub(super) struct PrimaryChange<'a> {
    proxy: &'a Proxy,
    group: &'a Rc<Group>,
    token: FencingToken,
    /// When the claim was requested.
    started_at: Ms,
    old_primary: Option<Rc<Member>>,
    /// Newest term when the change began.
    old_term: u64,
    /// Term that the replicas are fenced for.
    term: u64,
    hold: FenceHold,
    /// Control connections. They are kept, since only reports over the same connection show that a
    /// member has not restarted between them.
    conns: BTreeMap<MemberKey, Conn>,
}

impl<'a> PrimaryChange<'a> {
    pub(super) fn new(
        proxy: &'a Proxy,
        group: &'a Rc<Group>,
        old_primary: Option<Rc<Member>>,
        token: FencingToken,
        started_at: Ms,
    ) -> PrimaryChange<'a> {
        let old_term = group.newest_term();
        PrimaryChange {
            proxy,
            group,
            token,
            started_at,
            old_primary,
            old_term,
            term: old_term + 1,
            hold: FenceHold::new(old_term + 1),
            conns: BTreeMap::new(),
        }
    }

    /// Runs the change; returns the new primary. Fences are removed if it fails before the
    /// promotion was ordered.
    ///
    /// # Errors
    /// The step that failed.
    pub(super) async fn run(mut self) -> Result<Rc<Member>, AbortReason> {
        let fence_set = self.group.fence_set(self.old_primary.as_ref());
        let result = match self.order_promotion(&fence_set).await {
            Ok(candidate) => self.finish(&fence_set, candidate).await,
            Err(reason) => {
                self.remove_fences(&fence_set).await;
                Err(reason)
            }
        };
        for conn in self.conns.into_values() {
            self.group.release(conn);
        }
        result
    }

    fn is_claim_too_old(&self) -> bool {
        self.started_at.elapsed() >= MAX_CLAIM_AGE_MS
    }

    /// Fences the replicas, orders the promotion of the one with the longest log and returns it.
    async fn order_promotion(
        &mut self,
        fence_set: &[Rc<Member>],
    ) -> Result<Rc<Member>, AbortReason> {
        // An unfenced member may hold an acknowledged commit that no other member has, or let the
        // old primary acknowledge one later. A group has at least two replicas, so a smaller fence
        // set is incomplete.
        if fence_set.len() < 2 {
            return Err("fewer than two replicas are known".into());
        }
        self.hold_fences(fence_set).await?;
        let candidate = self
            .candidate(fence_set)
            .ok_or("no replica can be promoted")?;
        emit(
            Event::FailoverFenced,
            &[
                ("group", &self.group.name),
                ("best", &candidate.id),
                ("term", &self.term),
                ("change", &self.token),
            ],
        );
        if self.is_claim_too_old() {
            return Err("the claim is too old".into());
        }
        let promotion = Promotion {
            group: self.group.name.clone(),
            member: candidate.id.clone(),
            token: self.token,
        };
        let accepted = (self.proxy.failover_api.promote)(promotion).await;
        emit(
            Event::PromotionOrdered,
            &[
                ("group", &self.group.name),
                ("member", &candidate.id),
                ("change", &self.token),
                ("accepted", &accepted),
            ],
        );
        if accepted {
            Ok(candidate)
        } else {
            Err("the promotion was refused".into())
        }
    }

    /// Fences the replicas and keeps them fenced until no lease on the old primary is left.
    async fn hold_fences(&mut self, fence_set: &[Rc<Member>]) -> Result<(), AbortReason> {
        let keys: Vec<MemberKey> = fence_set.iter().map(|m| m.key).collect();
        loop {
            self.ask_all(fence_set).await?;
            if self.hold.is_complete(&keys) {
                return Ok(());
            }
            if self.is_claim_too_old() {
                return Err("the replicas did not stay fenced".into());
            }
            let wait_ms = self.hold.due_at(&keys).map_or(0, Ms::left);
            sleep_ms(wait_ms).await;
        }
    }

    /// Asks all members in parallel, and fences those that are not fenced yet.
    ///
    /// # Errors
    /// A member has become primary, or gave no valid answer.
    async fn ask_all(&mut self, members: &[Rc<Member>]) -> Result<(), AbortReason> {
        let pending: Vec<_> = members
            .iter()
            .map(|member| {
                let fenced = self.hold.is_fenced(member.key);
                let terms = (self.old_term, self.term);
                let conn = self.conns.remove(&member.key);
                monoio::spawn(ask(self.group.clone(), member.clone(), conn, fenced, terms))
            })
            .collect();
        let (mut answered, mut promoted) = (0, false);
        for (member, task) in members.iter().zip(pending) {
            let Ok((conn, status, report)) = task.await else {
                self.hold.forget(member.key);
                continue;
            };
            self.conns.insert(member.key, conn);
            promoted |= status.role == Role::Primary;
            self.hold.record(member.key, report);
            answered += 1;
        }
        if promoted {
            return Err("a replica has become primary".into());
        }
        if answered < members.len() {
            let all = members.len();
            return Err(format!("{answered} of {all} members could be fenced").into());
        }
        Ok(())
    }

    /// The fenced member with the longest log; among equals, one that is listed and not leaving.
    fn candidate(&self, fence_set: &[Rc<Member>]) -> Option<Rc<Member>> {
        let key = |m: &&Rc<Member>| (self.hold.pos(m.key), m.is_serving());
        fence_set.iter().max_by_key(key).cloned()
    }

    /// Waits until the candidate is primary, lets the other members follow it, and demotes the old
    /// primary.
    async fn finish(
        &mut self,
        fence_set: &[Rc<Member>],
        candidate: Rc<Member>,
    ) -> Result<Rc<Member>, AbortReason> {
        self.await_promotion(&candidate).await?;
        let others: Vec<_> = fence_set
            .iter()
            .filter(|m| m.key != candidate.key)
            .cloned()
            .collect();
        self.remove_fences(&others).await;
        if let Some(old_primary) = self.old_primary.clone()
            && !old_primary.removed.get()
            && old_primary.unreachable_since.get().is_none()
        {
            let term = candidate.last_probe.get().map_or(0, |probe| probe.term);
            let _ = self.send(&old_primary, &Command::Demote { term }).await;
        }
        Ok(candidate)
    }

    async fn await_promotion(&mut self, candidate: &Rc<Member>) -> Result<(), AbortReason> {
        let until = Ms::now().plus(PROMOTION_TIMEOUT_MS);
        while until.left() > 0 {
            sleep_ms(PROMOTION_POLL_MS).await;
            if let Ok(status) = self.send(candidate, &Command::Status).await
                && status.role == Role::Primary
            {
                return Ok(());
            }
        }
        Err("the promotion took no effect".into())
    }

    /// Removes the fences of this change, unless another daemon may have taken over. Errors are
    /// ignored, since `remove_stale_fences` removes those that were missed.
    async fn remove_fences(&mut self, members: &[Rc<Member>]) {
        for member in members {
            if !self.hold.is_fenced(member.key) {
                continue;
            }
            if let Ok(status) = self.send(member, &Command::Status).await
                && status.fenced == self.term
                && !self.is_claim_too_old()
            {
                let _ = self.send(member, &Command::Unfence).await;
            }
        }
    }

    /// Sends a command over the member's control connection, or opens one.
    async fn send(
        &mut self,
        member: &Rc<Member>,
        command: &Command<'_>,
    ) -> Result<Status, ConnError> {
        let mut conn = match self.conns.remove(&member.key) {
            Some(conn) => conn,
            None => open_control_conn(self.group, member).await?,
        };
        let status = self
            .group
            .send_control(&mut conn, command, COMMAND_TIMEOUT_MS)
            .await?;
        self.conns.insert(member.key, conn);
        Ok(status)
    }
}

/// Asks a member for its state if it was fenced before, and fences it otherwise. `terms` are the
/// term of the old primary and that of the change. A primary of an earlier term is demoted first,
/// so that it can be fenced.
///
/// # Errors
/// As `Group::send_control`; the connection is dropped.
async fn ask(
    group: Rc<Group>,
    member: Rc<Member>,
    conn: Option<Conn>,
    fenced: bool,
    (old_term, term): (u64, u64),
) -> Result<(Conn, Status, FenceReport), ConnError> {
    let mut conn = match conn {
        Some(conn) => conn,
        None => open_control_conn(&group, &member).await?,
    };
    let fence = Command::Fence { term };
    let command = if fenced { &Command::Status } else { &fence };
    let mut sent_at = Ms::now();
    let mut status = group
        .send_control(&mut conn, command, COMMAND_TIMEOUT_MS)
        .await?;
    if status.role == Role::Primary && status.term < old_term {
        let demote = Command::Demote { term: old_term };
        group
            .send_control(&mut conn, &demote, COMMAND_TIMEOUT_MS)
            .await?;
        sent_at = Ms::now();
        status = group
            .send_control(&mut conn, &fence, COMMAND_TIMEOUT_MS)
            .await?;
    }
    let report = FenceReport {
        sent_at,
        received_at: Ms::now(),
        up_since: conn.opened_at,
        fenced: status.fenced,
        pos: status.received,
    };
    Ok((conn, status, report))
}

/// Takes a connection for control commands from the pool, or opens one.
async fn open_control_conn(group: &Group, member: &Rc<Member>) -> Result<Conn, ConnError> {
    match group.control_conn(member).await {
        Ok(conn) => Ok(conn),
        // Sessions hold all connections; a control command justifies another one.
        Err(_) => group.connect(member).await,
    }
}

/// Sends one control command to a member and returns its status.
///
/// # Errors
/// As `Group::connect` and `Group::send_control`.
pub(super) async fn send_command(
    group: &Rc<Group>,
    member: &Rc<Member>,
    command: &Command<'_>,
) -> Result<Status, ConnError> {
    let mut conn = open_control_conn(group, member).await?;
    let status = group
        .send_control(&mut conn, command, COMMAND_TIMEOUT_MS)
        .await?;
    group.release(conn);
    Ok(status)
}
