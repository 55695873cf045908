//! Which member a primary change promotes, and its order.

use std::rc::Rc;

use base::{Event, Ms, emit, sleep_ms};

use super::PrimaryChange;
use crate::failover::AbortReason;
use crate::{
    ChangeRecord, Command, Demotion, Leader, Member, OrderAnswer, Promotion, PromotionOrder,
    RecordUpdate, Role,
};

/// Interval between two questions to the candidate whether it is primary, in ms.
const PROMOTION_POLL_MS: u64 = 50;
/// Time after which a promotion that has been accepted counts as failed, in ms.
const PROMOTION_TIMEOUT_MS: u64 = 2500;
/// As `PROMOTION_TIMEOUT_MS`, without an answer: the order is probably lost, and the next change repeats it.
const UNANSWERED_TIMEOUT_MS: u64 = 1200;

impl PrimaryChange<'_> {
    /// The record for the next change after a promotion was ordered: only who leads which term, and the
    /// orders that may still take effect.
    pub(super) fn record_after_order(&self) -> ChangeRecord {
        ChangeRecord {
            leaders: self.record.leaders.clone(),
            orders: self.record.orders.clone(),
            ..ChangeRecord::default()
        }
    }

    /// Fences the replicas, orders the promotion of the one with the longest log and returns it.
    pub(super) async fn order_promotion(&mut self) -> Result<Rc<Member>, AbortReason> {
        let candidate = self.fence_all().await?;
        emit(
            Event::FailoverFenced,
            &[
                ("group", &self.group.name),
                ("best", &candidate.id),
                ("pos", &self.hold.pos(candidate.key).unwrap_or_default()),
                ("ends", &self.log_ends()),
                ("past", &self.past_source()),
                ("term", &self.term),
                ("change", &self.token),
            ],
        );
        self.log_accepted_losses();
        let answer = match self.record_order(&candidate).await {
            Ok(()) => self.send_order(&candidate).await,
            Err(reason) => {
                self.record.orders.retain(|o| o.token != self.token);
                return Err(reason);
            }
        };
        for order in &mut self.record.orders {
            order.is_accepted |= order.token == self.token && answer == OrderAnswer::Accepted;
        }
        if answer == OrderAnswer::Refused {
            self.record.orders.retain(|o| o.token != self.token);
        }
        self.group.update_orders(&mut self.record.orders);
        if answer == OrderAnswer::Refused {
            return Err("the promotion was refused".into());
        }
        Ok(candidate)
    }

    /// Orders the promotion.
    pub(super) async fn send_order(&self, candidate: &Member) -> OrderAnswer {
        let promotion = Promotion {
            group: self.group.name.clone(),
            member: candidate.id.clone(),
            token: self.token,
        };
        let claim_age_ms = self.started_at.elapsed();
        let sent_at = Ms::now();
        let answer = (self.proxy.failover_api.promote)(promotion).await;
        emit(
            Event::PromotionOrdered,
            &[
                ("group", &self.group.name),
                ("member", &candidate.id),
                ("term", &self.term),
                ("change", &self.token),
                ("claim_age_ms", &claim_age_ms),
                ("answer", &answer),
                ("took_ms", &sent_at.elapsed()),
            ],
        );
        answer
    }

    /// The ends of the fenced members' logs, as `ID=TERM:NUMBER,...`.
    pub(super) fn log_ends(&self) -> String {
        let end = |m: &Rc<Member>| format!("{}={}", m.id, self.hold.pos(m.key).unwrap_or_default());
        let ends: Vec<String> = self.fenced_members().iter().map(end).collect();
        ends.join(",")
    }

    /// Writes down the order that is about to be sent, so that any later change knows that it may take
    /// effect, and who leads the term by it, so that daemons that start after all others were lost can
    /// tell whose log is complete.
    ///
    /// # Errors
    /// The order must not be sent.
    pub(super) async fn record_order(&mut self, candidate: &Member) -> Result<(), AbortReason> {
        self.record.add_leader(Leader {
            term: self.term,
            id: candidate.id.clone(),
        });
        self.record.orders.push(PromotionOrder {
            member: candidate.id.clone(),
            term: self.group.led_term() + 1,
            holder: self.proxy.settings.name.clone(),
            token: self.token,
            is_accepted: false,
        });
        let update = RecordUpdate {
            group: self.group.name.clone(),
            record: self.record.clone(),
        };
        if !(self.proxy.failover_api.save_record)(update).await {
            return Err("the order could not be recorded".into());
        }
        if self.is_claim_too_old() {
            return Err("the claim is too old".into());
        }
        Ok(())
    }

    /// Whether a member's log contains every commit that the old primary may have confirmed.
    pub(super) fn is_covered(&self, candidate: &Member, listed_at: Ms) -> bool {
        let Some(demotion) = self.demotion() else {
            return true;
        };
        let pos = self.hold.pos(candidate.key).unwrap_or_default();
        let listed_at = if self.may_lack_end() {
            listed_at
        } else {
            Ms(0)
        };
        demotion.is_covered(pos, listed_at, self.proxy.settings.listing_delay_ms)
    }

    /// Whether no fenced member has a longer log than the candidate, except for the end of the last
    /// primary's, which nobody else has confirmed. `false` if that will be known only later.
    ///
    /// # Errors
    /// Another member has more than the only one that may be promoted.
    pub(super) fn is_longest(
        &self,
        candidate: &Member,
        fence_set: &[Rc<Member>],
        listed_at: Ms,
    ) -> Result<bool, AbortReason> {
        let pos = |m: &Member| self.hold.pos(m.key).unwrap_or_default();
        let newest_term = self.group.newest_term();
        let leader = self.group.last_leader().filter(|l| l.term >= newest_term);
        let mut is_certain = true;
        for member in fence_set.iter().filter(|m| pos(m) > pos(candidate)) {
            let is_last_primary = leader.as_ref().is_some_and(|l| l.id == member.id);
            if !is_last_primary || !self.may_lack_end() {
                return Err(AbortReason::Outstanding(candidate.id.clone()));
            }
            let demotion = Demotion {
                at: self.hold.since(member.key).unwrap_or_else(Ms::now),
                pos: pos(member),
            };
            let delay_ms = self.proxy.settings.listing_delay_ms;
            is_certain &= demotion.is_covered(pos(candidate), listed_at, delay_ms);
        }
        Ok(is_certain)
    }

    /// The fenced member to promote: the one with the longest log; among equals, one that is listed and
    /// not leaving. While an earlier order may take effect, only its member.
    ///
    /// # Errors
    /// The member of the earlier order is not among them, or the longest log is that of a member that is
    /// not listed: daemons that reach the old primary do without such a member, as `lease_replicas`.
    pub(super) fn candidate(&self, fence_set: &[Rc<Member>]) -> Result<Rc<Member>, AbortReason> {
        let candidate = self.best_member(fence_set)?;
        if candidate.removed.get() {
            return Err("the member with the longest log is not listed".into());
        }
        Ok(candidate)
    }

    pub(super) fn best_member(&self, fence_set: &[Rc<Member>]) -> Result<Rc<Member>, AbortReason> {
        let key = |m: &&Rc<Member>| (self.hold.pos(m.key), m.is_serving());
        let mut orders = self.record.orders.iter();
        let Some(order) = orders.next() else {
            let longest = fence_set.iter().max_by_key(key).cloned();
            return longest.ok_or_else(|| "no replica can be promoted".into());
        };
        if order.is_unknown() {
            return Err("an order of before the store was restored may still take effect".into());
        }
        let ordered = fence_set.iter().find(|m| m.id == order.member);
        let is_only = orders.all(|o| o.member == order.member);
        let ordered = ordered.filter(|_| is_only).cloned();
        ordered.ok_or_else(|| AbortReason::Outstanding(order.member.clone()))
    }

    /// Waits until the candidate is primary; returns its term.
    pub(super) async fn await_promotion(
        &mut self,
        candidate: &Rc<Member>,
    ) -> Result<u64, AbortReason> {
        let mut own = self.record.orders.iter().filter(|o| o.token == self.token);
        let timeout_ms = if own.any(|o| !o.is_accepted) {
            UNANSWERED_TIMEOUT_MS
        } else {
            PROMOTION_TIMEOUT_MS
        };
        let until = Ms::now().plus(timeout_ms);
        while until.left() > 0 {
            sleep_ms(PROMOTION_POLL_MS).await;
            if let Ok(status) = self.send(candidate, &Command::Status).await
                && status.role == Role::Primary
            {
                return Ok(status.term);
            }
        }
        Err("the promotion took no effect".into())
    }
}
