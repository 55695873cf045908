//! The order of a promotion: its record, its call, and the wait for its effect.

use std::rc::Rc;

use base::{Event, Ms, emit, sleep_ms};

use super::sent_order::SentOrder;
use super::{MAX_CLAIM_AGE_MS, PrimaryChange};
use crate::failover::AbortReason;
use crate::{
    ChangeRecord, Command, Leader, Member, OrderAnswer, OrderConn, Promotion, PromotionOrder,
    RecordUpdate, Role,
};

/// Interval between two questions to the candidate whether it is primary, in ms.
const PROMOTION_POLL_MS: u64 = 50;
/// Time after which an order without an answer is sent again, in ms: it is probably lost.
const REPEAT_AFTER_MS: u64 = 1500;
/// Age from which a connection no longer shows that there is a path, in ms.
const MAX_CONN_AGE_MS: u64 = 300;

impl PrimaryChange<'_> {
    /// The record for the next change after a promotion was ordered: only who leads which term, and the
    /// orders that may still take effect.
    pub(super) fn record_after_order(&self) -> ChangeRecord {
        ChangeRecord {
            leaders: self.record.leaders.clone(),
            ordered_ends: self.record.ordered_ends.clone(),
            orders: self.record.orders.clone(),
            ordered: self.record.ordered,
            ..ChangeRecord::default()
        }
    }

    /// Fences the replicas, orders the promotion of the one with the longest log and returns it.
    pub(super) async fn order_promotion(&mut self) -> Result<Rc<Member>, AbortReason> {
        let candidate = self.fence_all().await?;
        if self.sent.is_empty() {
            self.log_fenced(&candidate);
        }
        let conn = self.take_order_conn().await?;
        let order = self.record_order(&candidate).await?;
        self.log_order(&order, &conn);
        let promotion = Promotion {
            group: self.group.name.clone(),
            member: order.member.clone(),
            token: order.token,
            until: self.claimed_at.plus(MAX_CLAIM_AGE_MS),
        };
        self.sent
            .push(SentOrder::new(order, (conn.send)(promotion)));
        self.poll_answers().await;
        Ok(candidate)
    }

    fn log_fenced(&self, candidate: &Member) {
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
    }

    fn log_order(&self, order: &PromotionOrder, conn: &OrderConn) {
        emit(
            Event::PromotionOrdered,
            &[
                ("group", &self.group.name),
                ("member", &order.member),
                ("term", &self.term),
                ("change", &self.token),
                ("order", &order.token),
                ("call", &order.call),
                ("claim_age_ms", &self.claimed_at.elapsed()),
                ("conn_age_ms", &conn.opened_at.elapsed()),
            ],
        );
    }

    /// The connection that was opened before the claim, or a new one if that is not recent.
    async fn take_order_conn(&mut self) -> Result<OrderConn, AbortReason> {
        let conn = self.order_conn.take();
        let recent = conn.filter(|c| c.opened_at.elapsed() < MAX_CONN_AGE_MS);
        let conn = match recent {
            Some(conn) => Some(conn),
            None => (self.proxy.failover_api.connect)(()).await,
        };
        conn.ok_or(AbortReason::NoPath)
    }

    /// Lets the calls of this change's orders go on, and notes their answers.
    async fn poll_answers(&mut self) {
        for sent in &mut self.sent {
            let Some(answer) = sent.poll().await else {
                continue;
            };
            sent.log_end(self.group, answer, self.claimed_at);
            let mut order_log = self.group.order_log.borrow_mut();
            order_log.on_answer(&mut self.record.orders, &sent.order, answer);
        }
        self.group.update_orders(&mut self.record);
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
    async fn record_order(&mut self, candidate: &Member) -> Result<PromotionOrder, AbortReason> {
        let order = self.new_order(candidate)?;
        let leader = Leader {
            term: self.term,
            id: candidate.id.clone(),
        };
        let end = self.hold.pos(candidate.key).unwrap_or_default();
        self.record.add_ordered(leader, end);
        self.record.orders.push(order.clone());
        self.record.ordered = order.token;
        self.group.order_log.borrow_mut().on_sent(order.token);
        let update = RecordUpdate {
            group: self.group.name.clone(),
            record: self.record.clone(),
        };
        let requested_at = Ms::now();
        let is_saved = (self.proxy.failover_api.save_record)(update).await;
        if is_saved && !self.is_claim_too_old() {
            self.claimed_at = requested_at;
            return Ok(order);
        }
        let mut order_log = self.group.order_log.borrow_mut();
        order_log.on_answer(&mut self.record.orders, &order, OrderAnswer::Refused);
        Err(if is_saved {
            "the claim is too old".into()
        } else {
            "the order could not be recorded".into()
        })
    }

    /// The next order of this change.
    ///
    /// # Errors
    /// A higher token than that of the claim was used.
    fn new_order(&self, candidate: &Member) -> Result<PromotionOrder, AbortReason> {
        let orders = &self.record.orders;
        let order_log = self.group.order_log.borrow();
        let token = order_log.next_token(orders, self.token, self.record.ordered);
        if token < self.record.ordered {
            return Err("an order has a higher token than this claim".into());
        }
        Ok(PromotionOrder {
            member: candidate.id.clone(),
            term: self.group.led_term() + 1,
            holder: self.proxy.settings.name.clone(),
            token,
            call: order_log.next_call(orders, token),
            is_answered: false,
            is_accepted: false,
            is_void: false,
        })
    }

    /// Waits until the candidate is primary, and returns its term; `None` once the order is to be sent
    /// again. An order that was accepted is waited for as long as it may take effect.
    ///
    /// # Errors
    /// No order may take effect any more, or the claim is lost.
    pub(super) async fn await_promotion(
        &mut self,
        candidate: &Rc<Member>,
    ) -> Result<Option<u64>, AbortReason> {
        loop {
            sleep_ms(PROMOTION_POLL_MS).await;
            if let Ok(status) = self.send(candidate, &Command::Status).await
                && status.role == Role::Primary
            {
                return Ok(Some(status.term));
            }
            // This daemon may reach it through another one only.
            let leader = self.group.last_leader().filter(|l| l.id == candidate.id);
            if let Some(leader) = leader.filter(|l| l.term > self.old_term) {
                return Ok(Some(leader.term));
            }
            self.poll_answers().await;
            if !self.has_recorded_order() {
                return Err("the promotion was refused, or took no effect".into());
            }
            self.keep_claim().await?;
            if !self.has_outstanding_order() || self.is_repeat_due() {
                return Ok(None);
            }
        }
    }

    /// The orders of this change that are on record.
    fn recorded_orders(&self) -> impl Iterator<Item = &PromotionOrder> {
        let orders = self.record.orders.iter();
        orders.filter(|o| self.sent.iter().any(|sent| sent.order.is_same(o)))
    }

    /// Whether an order of this change may take effect, or may be on its way.
    pub(super) fn has_recorded_order(&self) -> bool {
        self.recorded_orders().next().is_some()
    }

    /// Whether an order of this change may take effect.
    pub(super) fn has_outstanding_order(&self) -> bool {
        self.recorded_orders().any(|o| !o.is_void)
    }

    /// Whether the last order has been without an answer, or with an unclear one, for so long that it is
    /// sent again. One that was accepted is not.
    fn is_repeat_due(&self) -> bool {
        let is_accepted = self.recorded_orders().any(|o| o.is_accepted && !o.is_void);
        let last = self.sent.last();
        !is_accepted && last.is_none_or(|sent| sent.sent_at.elapsed() >= REPEAT_AFTER_MS)
    }
}
