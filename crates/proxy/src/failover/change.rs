//! One primary change: demotes the old primary, fences the replicas, promotes one, and lets the
//! others follow it.

mod candidate;
mod order;
mod past;
mod sent_order;

use std::collections::BTreeMap;
use std::rc::Rc;

use base::{Ms, sleep_ms};

use super::abort_reason::AbortReason;
use super::control::{COMMAND_TIMEOUT_MS, MAX_DELIVERY_MS, ask, open_control_conn};
use super::old_primary::OldPrimary;
use crate::{
    ChangeRecord, Claim, Command, Conn, ConnError, Demotion, FenceHold, FencingToken, Group,
    Leader, Member, MemberKey, OrderAnswer, OrderConn, Proxy, RecordUpdate, Role, Status,
};
use sent_order::SentOrder;

/// Interval between two rounds while the old primary's log is longer than all others, in ms.
const UNCOVERED_RETRY_MS: u64 = 100;
/// Age of the claim, since it was taken or renewed, from which no promotion is ordered and no fence is
/// removed any more, in ms: another daemon may have taken over by then.
const MAX_CLAIM_AGE_MS: u64 = 3000;
/// Age of the claim from which a change stops that has not ordered a promotion, in ms, so that its
/// fences can be removed in time.
const MAX_FENCING_AGE_MS: u64 = 2700;
/// Age from which the claim is renewed while an order is not settled, in ms.
const RENEWAL_AGE_MS: u64 = 1200;
/// Delay before a change goes on that could not repeat its order, in ms.
const REPEAT_DELAY_MS: u64 = 200;

/// A primary change under a claim.
pub(super) struct PrimaryChange<'a> {
    proxy: &'a Proxy,
    group: &'a Rc<Group>,
    token: FencingToken,
    /// As an earlier change has left it.
    record: ChangeRecord,
    /// When the claim was requested, or its last renewal.
    claimed_at: Ms,
    /// Opened before the claim was requested, which shows that this daemon reaches the platform.
    order_conn: Option<OrderConn>,
    /// The orders that this change has sent. Dropping them resets their connections: what has not reached
    /// the platform by then is not sent after the claim has passed on.
    sent: Vec<SentOrder>,
    /// Not fenced, but demoted; `None` if no primary was known.
    old_primary: Option<Rc<Member>>,
    demotion: Option<OldPrimary>,
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
        claim: Claim,
        claimed_at: Ms,
        order_conn: OrderConn,
    ) -> PrimaryChange<'a> {
        let mut record = claim.record;
        if let Some(leader) = group.recorded_leader() {
            record.add_leader(leader);
        }
        let old_term = group.newest_term();
        let term = old_term + 1;
        let demote = |member| OldPrimary::demote(group, member, term);
        PrimaryChange {
            proxy,
            group,
            token: claim.token,
            record,
            claimed_at,
            order_conn: Some(order_conn),
            sent: Vec::new(),
            demotion: old_primary.as_ref().map(demote),
            old_primary,
            old_term,
            term,
            hold: FenceHold::new(old_term + 1),
            conns: BTreeMap::new(),
        }
    }

    /// Runs the change; returns the new primary, or the step that failed, and the record for the
    /// next change. Fences are removed if it fails and no order may take effect.
    pub(super) async fn run(mut self) -> (Result<Rc<Member>, AbortReason>, ChangeRecord) {
        let (result, record) = match self.promote().await {
            Ok((candidate, term)) => {
                self.finish(&candidate, term).await;
                (Ok(candidate), self.record_after_order())
            }
            Err(reason) if self.has_outstanding_order() => (Err(reason), self.record_after_order()),
            Err(reason) => {
                let record = self.new_record();
                if self.group.may_serve(&self.record.orders) {
                    self.remove_fences(&self.fenced_members(), &record).await;
                }
                (Err(reason), record)
            }
        };
        for sent in self.sent.iter().filter(|s| s.is_pending()) {
            sent.log_end(self.group, OrderAnswer::Missing, self.claimed_at);
        }
        for conn in self.conns.into_values() {
            self.group.release(conn);
        }
        (result, record)
    }

    /// Orders the promotion of a member, and orders it again under the same token until it takes effect.
    /// The claim is kept until then, so that nobody else orders. Returns the member and its term.
    async fn promote(&mut self) -> Result<(Rc<Member>, u64), AbortReason> {
        let mut ordered: Option<Rc<Member>> = None;
        loop {
            match self.order_promotion().await {
                Ok(candidate) => ordered = Some(candidate),
                // What was ordered may take effect although it cannot be ordered again now. Nobody else may
                // order before it has arrived.
                Err(_) if self.has_recorded_order() => {
                    sleep_ms(REPEAT_DELAY_MS).await;
                }
                Err(reason) => return Err(reason),
            }
            let Some(candidate) = ordered.clone() else {
                continue;
            };
            if let Some(term) = self.await_promotion(&candidate).await? {
                return Ok((candidate, term));
            }
        }
    }

    /// What the old primary has shown; `None` if it does not answer as a replica.
    fn demotion(&self) -> Option<Demotion> {
        self.demotion.as_ref().and_then(OldPrimary::demotion)
    }

    fn is_claim_too_old(&self) -> bool {
        self.claimed_at.elapsed() >= MAX_CLAIM_AGE_MS
    }

    /// Renews the claim if it is not new any more.
    ///
    /// # Errors
    /// Another daemon may have taken over.
    async fn keep_claim(&mut self) -> Result<(), AbortReason> {
        if self.claimed_at.elapsed() < RENEWAL_AGE_MS {
            return Ok(());
        }
        let requested_at = Ms::now();
        let update = RecordUpdate {
            group: self.group.name.clone(),
            record: self.record.clone(),
        };
        if (self.proxy.failover_api.save_record)(update).await {
            self.claimed_at = requested_at;
        }
        if self.is_claim_too_old() {
            return Err("the claim could not be renewed".into());
        }
        Ok(())
    }

    /// The members that this change has fenced.
    fn fenced_members(&self) -> Vec<Rc<Member>> {
        let members = self.group.members.borrow();
        let fenced = members.iter().filter(|m| self.hold.is_fenced(m.key));
        fenced.cloned().collect()
    }

    /// Stops the old primary, fences the replicas, and keeps them fenced until no lease on the old
    /// primary is left and no other member can hold an acknowledged commit. Returns the member to
    /// promote.
    async fn fence_all(&mut self) -> Result<Rc<Member>, AbortReason> {
        if let (Some(member), Some(demotion)) = (&self.old_primary, &self.demotion) {
            let is_reachable = member.unreachable_since.get().is_none();
            let is_needed = || !self.departed().is_empty() || self.check_departed().is_err();
            // What it has sent to the replicas by then still reaches them before they are fenced.
            if is_reachable || is_needed() {
                demotion.first_attempt().await;
            }
        }
        loop {
            if !self.sent.is_empty() {
                self.keep_claim().await?;
            }
            let fence_set = self.fence_set()?;
            let keys: Vec<MemberKey> = fence_set.iter().map(|m| m.key).collect();
            self.ask_all(&fence_set).await?;
            let mut wait_ms = self.hold.due_at(&keys).map_or(0, Ms::left);
            if self.hold.is_complete(&keys) {
                let listed_at = Ms::now();
                if self.is_fence_set_complete(&keys).await? {
                    let candidate = self.candidate(&fence_set)?;
                    let has_longest = self.is_longest(&candidate, &fence_set, listed_at)?;
                    if has_longest && self.is_covered(&candidate, listed_at) {
                        return Ok(candidate);
                    }
                    wait_ms = UNCOVERED_RETRY_MS;
                }
            }
            if self.claimed_at.elapsed() >= MAX_FENCING_AGE_MS {
                return Err("the replicas did not stay fenced".into());
            }
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
            return Err(AbortReason::Unfenced { answered, all });
        }
        Ok(())
    }

    /// Notes that the candidate leads a term, and lets the other members follow it.
    async fn finish(&mut self, candidate: &Member, term: u64) {
        // The platform counts the terms by itself: nobody leads the one that the order was made for, if
        // that is a later one.
        self.record.leaders.retain(|l| l.term <= term);
        self.record.add_leader(Leader {
            term,
            id: candidate.id.clone(),
        });
        self.group.update_orders(&mut self.record);
        let mut others = self.fenced_members();
        others.retain(|m| m.key != candidate.key);
        let record = self.record_after_order();
        self.remove_fences(&others, &record).await;
    }

    /// Removes the fences of this change, unless another daemon may have taken over. Those that are
    /// missed are left to `tidy_up`. `record` is what the next change is to find.
    async fn remove_fences(&mut self, members: &[Rc<Member>], record: &ChangeRecord) {
        let mut unanswered = None;
        for member in members {
            if !self.hold.is_fenced(member.key) {
                continue;
            }
            if let Ok(status) = self.send(member, &Command::Status).await
                && status.fenced == self.term
                && !self.is_tunneled(member)
                && !self.is_claim_too_old()
            {
                let sent_at = Ms::now();
                if self.send(member, &Command::Unfence).await.is_err() {
                    unanswered = Some(sent_at);
                }
            }
        }
        if let Some(sent_at) = unanswered {
            self.outlast(sent_at, record).await;
        }
    }

    /// Whether the connection to a member goes through another daemon, which could hold up a command.
    fn is_tunneled(&self, member: &Member) -> bool {
        let conn = self.conns.get(&member.key);
        conn.is_some_and(|c| c.is_tunneled)
    }

    /// Keeps the claim until a command without an answer takes no effect any more: it would lift the
    /// fence of the next change.
    async fn outlast(&self, sent_at: Ms, record: &ChangeRecord) {
        let update = RecordUpdate {
            group: self.group.name.clone(),
            record: record.clone(),
        };
        // Renews the claim. If another daemon has it already, nothing is left to be done.
        (self.proxy.failover_api.save_record)(update).await;
        sleep_ms(sent_at.plus(MAX_DELIVERY_MS).left()).await;
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
