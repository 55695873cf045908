//! The orders of promotions of a group that may still take effect, as far as this daemon knows.

use base::{Event, Ms, emit};

use super::Group;
use crate::promotion_order::{PromotionOrder, settle};
use crate::{ChangeRecord, Claim, Leader, token_era};

impl Group {
    /// Takes over the orders of the record that a claim came with.
    pub(crate) fn on_claim(&self, claim: &mut Claim) {
        let era = token_era(claim.token);
        self.order_log.borrow_mut().on_era(era);
        self.update_orders(&mut claim.record);
    }

    /// Takes over the orders of a record that was read under a claim, or written. Those that are settled
    /// are removed: they have taken effect, or have been known for too long to be on their way.
    pub(crate) fn update_orders(&self, record: &mut ChangeRecord) {
        let orders = &mut record.orders;
        // A change that has sent an order leaves the members fenced for its term.
        let unfinished_term = self.unfinished_term().unwrap_or(0);
        for order in orders.iter_mut().filter(|o| o.term == 0) {
            order.term = unfinished_term;
        }
        for order in orders.iter_mut() {
            order.is_void |= self.replaced_ids.borrow().contains(&order.member);
        }
        orders.retain(|o| o.term > 0 && !(o.is_void && o.is_answered));
        let mut order_log = self.order_log.borrow_mut();
        let former = orders.iter().filter(|o| order_log.is_former(o));
        let former: Vec<PromotionOrder> = former.cloned().collect();
        if let Some(leader) = self.last_leader() {
            settle(orders, &leader);
            order_log.settle_former(orders, &leader, |id| self.is_heard(id));
        }
        let expired = order_log.update(orders, Ms::now());
        order_log.on_ordered(record.ordered);
        drop(order_log);
        for order in &expired {
            self.log_order(Event::OrderExpired, order);
        }
        let is_left = |o: &PromotionOrder| orders.iter().chain(&expired).any(|l| l.is_same(o));
        for order in former.iter().filter(|o| !is_left(o)) {
            self.log_order(Event::FormerOrderSettled, order);
        }
    }

    /// Handles that a member has reported: it may be the leader that shows an order of a former era to be
    /// settled, or the member of such an order.
    pub(super) fn settle_former_orders(&self) {
        let Some(leader) = self.last_leader() else {
            return;
        };
        let mut order_log = self.order_log.borrow_mut();
        let settled = order_log.on_former(&leader, |id| self.is_heard(id));
        drop(order_log);
        for order in &settled {
            self.log_order(Event::FormerOrderSettled, order);
        }
    }

    /// Whether a member is listed and has reported to this daemon.
    fn is_heard(&self, id: &str) -> bool {
        let member = self.member(id).filter(|m| !m.removed.get());
        member.is_some_and(|m| m.last_probe.get().is_some())
    }

    /// Highest term for which a listed member is fenced, if nobody leads it.
    fn unfinished_term(&self) -> Option<u64> {
        let listed = self.listed();
        let probes = listed.iter().filter_map(|m| m.last_probe.get());
        let fenced = probes.map(|p| p.fenced).max();
        fenced.filter(|term| *term > self.newest_term())
    }

    /// Whether a primary may acknowledge commits: none of these orders is for another member.
    pub(crate) fn may_serve(&self, orders: &[PromotionOrder]) -> bool {
        let primary = self.primary();
        let is_for_primary = |id: &str| primary.as_ref().is_some_and(|p| *p.id == *id);
        orders
            .iter()
            .all(|o| o.is_void || is_for_primary(&o.member))
    }

    /// Logs the orders that may still take effect.
    pub(crate) fn log_orders(&self, orders: &[PromotionOrder]) {
        for order in orders {
            self.log_order(Event::OrderOutstanding, order);
        }
    }

    fn log_order(&self, event: Event, order: &PromotionOrder) {
        emit(
            event,
            &[
                ("group", &self.name),
                ("member", &order.member),
                ("term", &order.term),
                ("order", &order.token),
                ("holder", &order.holder),
                ("era", &token_era(order.token)),
                ("accepted", &order.is_accepted),
                ("age_ms", &self.order_log.borrow().age_ms(order, Ms::now())),
            ],
        );
    }

    /// Whether the record must be read before the primary is used: a change of primary has begun and no
    /// member is fenced for it any more, but nobody is seen to lead its term. The fences may have been
    /// lost by restarts, and the leader may be away.
    pub(crate) fn must_read_record(&self) -> bool {
        let seen = self.fence_seen.get();
        let read = self.record_read.get().unwrap_or(0);
        seen > read && seen > self.newest_term() && !self.listed().iter().any(|m| m.is_fenced())
    }

    /// Whether this daemon has not read the record yet. It may have started after the fences of a change
    /// were lost.
    pub(crate) fn is_record_unread(&self) -> bool {
        self.record_read.get().is_none()
    }

    /// Takes over the record, as read in an era of the store.
    pub(crate) fn on_record(&self, mut record: ChangeRecord, era: u64) {
        self.order_log.borrow_mut().on_era(era);
        if record.era < era {
            let order_log = self.order_log.borrow();
            order_log.add_known(&mut record.orders, Ms::now());
        }
        let former = self.record_read.replace(Some(self.fence_seen.get()));
        self.update_orders(&mut record);
        if former.is_some() {
            self.check_leaders(&record);
        }
        self.notify();
    }

    /// Notes which term a member may lead without having been seen, by the orders on record.
    fn check_leaders(&self, record: &ChangeRecord) {
        let has_not_led = |leader: &Leader| {
            let member = self.member(&leader.id).filter(|m| !m.removed.get());
            member.is_some_and(|m| {
                let term = m.last_probe.get().map(|p| p.term);
                let is_before = term.is_some_and(|term| term < leader.term);
                is_before && !record.has_lost_log(&m.id, m.log_end())
            })
        };
        let ordered = record.leaders.iter().filter(|l| !has_not_led(l));
        let term = ordered.map(|l| l.term).max().unwrap_or(0);
        self.ordered_term.set(self.ordered_term.get().max(term));
    }

    /// Instant until which the primary may be used as far as orders for other members go.
    pub(super) fn orders_until(&self) -> Ms {
        if self.must_read_record() || self.has_unfinished_order() {
            Ms(0)
        } else {
            Ms(u64::MAX)
        }
    }

    /// Whether there is a primary although an order for another member may still take effect.
    pub(crate) fn has_unfinished_order(&self) -> bool {
        let order_log = self.order_log.borrow();
        self.primary()
            .is_some_and(|primary| order_log.has_order_for_other(&primary.id, Ms::now()))
    }

    /// Whether an order of another VM may be on its way to the platform.
    pub(crate) fn awaits_other_order(&self) -> bool {
        self.order_log.borrow().awaits_other(Ms::now())
    }

    /// Whether orders are on record that need not be any more.
    pub(crate) fn has_outdated_orders(&self) -> bool {
        self.order_log.borrow().is_outdated(Ms::now())
    }
}
