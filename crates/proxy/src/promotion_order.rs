//! Orders of promotions that may still take effect.
//!
//! The platform carries out an order whenever it arrives, and checks no fencing token. An order whose
//! sender has given up, or has ended, may therefore make its member primary at any later instant, with
//! what that member has received by then. No other member may lead meanwhile: what it acknowledges
//! could be missing in the log of the ordered member. So each order is on record before it is sent,
//! and until it is settled every change of primary orders the same member again.
//!
//! Tokens never fall at the platform: while an order is on its way, only its sender orders, under the
//! same token. Any other daemon waits until the order was answered, has taken effect or counts as lost.
//!
//! A restore of the store may undo the record of an order. An order for an unknown member then stands for
//! it until it is seen that no change was unfinished.
//!
//! It may also bring back the record of an order that was settled since the copy was made. An order of a
//! former era therefore gives no right to order under its token, unless this process has sent it and knows
//! it as unsettled. It is settled if this process knows that, or once another member leads a later term:
//! nobody was ordered beside it.

use std::collections::{BTreeMap, BTreeSet};

use base::Ms;

use crate::{FencingToken, Leader, OrderAnswer, token_era};

/// Longest time for which an order without an answer counts as on its way, in ms, from when a daemon
/// first saw it. Assumption about the platform and the network: an order that has not arrived by then
/// never will. It matters only where the ordered member does not come back, or the sender is gone.
const ORDER_LIFETIME_MS: u64 = 20_000;
/// Longest time from the answer of an order that the platform has accepted to its effect, in ms.
/// Assumption about the platform.
const ACCEPTED_LIFETIME_MS: u64 = 8000;

/// An order to promote a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromotionOrder {
    /// Empty if unknown.
    pub member: Box<str>,
    /// Lowest term that the member leads if the order takes effect; 0 if unknown.
    pub term: u64,
    /// Name of the VM that sent it; empty if unknown.
    pub holder: Box<str>,
    /// Token under which it was sent.
    pub token: FencingToken,
    /// Number of the order among those of its group and token.
    pub call: u32,
    /// Whether it has arrived at the platform, as its answer shows.
    pub is_answered: bool,
    /// Whether the platform has answered that it carries the order out.
    pub is_accepted: bool,
    /// Whether it has no effect any more, because its member is gone. It may be on its way all the same.
    pub is_void: bool,
}

impl PromotionOrder {
    /// Stands for an order of which a restore of the store may have undone the record. The token is one
    /// that no order has.
    pub fn unknown(token: FencingToken) -> PromotionOrder {
        PromotionOrder {
            member: "".into(),
            term: 0,
            holder: "".into(),
            token,
            call: 0,
            is_answered: false,
            is_accepted: false,
            is_void: false,
        }
    }

    /// Whether it is this order, perhaps in another state.
    pub fn is_same(&self, other: &PromotionOrder) -> bool {
        self.key() == other.key()
    }

    fn key(&self) -> (FencingToken, u32) {
        (self.token, self.call)
    }

    /// Takes over what another record of the same order shows.
    fn merge(&mut self, other: &PromotionOrder) {
        self.is_answered |= other.is_answered;
        self.is_accepted |= other.is_accepted;
        self.is_void |= other.is_void;
    }

    pub fn is_unknown(&self) -> bool {
        self.member.is_empty()
    }

    /// Whether a member may have become primary by this order.
    fn may_have_promoted(&self, leader: &Leader) -> bool {
        (self.is_unknown() || self.member == leader.id) && self.term <= leader.term
    }
}

/// Removes the order by which `leader` has become primary, if there is one. Each order takes effect once
/// at most, so further ones to the same member may still do so, in a later term.
pub fn settle(orders: &mut Vec<PromotionOrder>, leader: &Leader) {
    // Which one it was is not known. The order that is kept is the one that may be on its way for longer.
    let likely = |o: &&PromotionOrder| (!o.is_accepted, o.key());
    let settled = orders
        .iter()
        .filter(|o| o.may_have_promoted(leader))
        .min_by_key(likely);
    let Some(settled) = settled.map(PromotionOrder::key) else {
        return;
    };
    orders.retain(|o| o.key() != settled);
    for order in orders.iter_mut() {
        if order.may_have_promoted(leader) {
            order.term = leader.term + 1;
        }
    }
}

/// The orders of a group that were last on record, and when this daemon first saw each.
#[derive(Clone, Debug)]
pub struct OrderLog {
    /// Name of this VM.
    name: Box<str>,
    orders: Vec<PromotionOrder>,
    /// By order and whether it was accepted.
    first_seen: BTreeMap<((FencingToken, u32), bool), Ms>,
    /// Orders under the last token of this process that were not sent or were refused. They may be on
    /// record: this process may not have been able to take them off.
    refused: BTreeSet<(FencingToken, u32)>,
    /// Newest era of the store of which this process has read the record; never decreases.
    era: u64,
    /// Highest token of an order on record so far; `orders` is at least as new.
    ordered: FencingToken,
    /// Last token under which this process has sent an order; `orders` has those of its orders that are not
    /// settled.
    sent: Option<FencingToken>,
}

impl OrderLog {
    /// Of a daemon on the VM of this name.
    pub fn new(name: &str) -> OrderLog {
        OrderLog {
            name: name.into(),
            orders: Vec::new(),
            first_seen: BTreeMap::new(),
            refused: BTreeSet::new(),
            era: 0,
            ordered: 0,
            sent: None,
        }
    }

    /// Handles that a record is read in an era of the store.
    pub fn on_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Takes over the orders on record. Those that this daemon knows stand in for what a restore of the
    /// store has undone, and those that it knows to be settled are removed. Those that have been seen for
    /// too long to be on their way are removed and returned.
    pub fn update(&mut self, orders: &mut Vec<PromotionOrder>, now: Ms) -> Vec<PromotionOrder> {
        orders.retain(|o| !self.refused.contains(&o.key()) && !self.is_settled(o));
        if orders.iter().any(PromotionOrder::is_unknown) {
            self.add_known(orders, now);
            if orders.iter().any(|o| !o.is_unknown()) {
                orders.retain(|o| !o.is_unknown());
            }
        }
        for order in orders.iter_mut() {
            // The sender may not have been able to record the answer.
            if let Some(known) = self.orders.iter().find(|o| o.is_same(order)) {
                order.merge(known);
            }
            let key = (order.key(), order.is_accepted);
            self.first_seen.entry(key).or_insert(now);
        }
        self.first_seen
            .retain(|(key, _), _| orders.iter().any(|o| o.key() == *key));
        let expired = orders.extract_if(.., |o| self.is_expired(o, now)).collect();
        self.orders.clone_from(orders);
        expired
    }

    /// Adds the orders that this daemon knows to a record of which a restore may have undone a part.
    pub fn add_known(&self, orders: &mut Vec<PromotionOrder>, now: Ms) {
        let is_added = |o: &&PromotionOrder| {
            let is_on_record = orders.iter().any(|other| other.is_same(o));
            !o.is_unknown() && !is_on_record && !self.is_expired(o, now)
        };
        let added: Vec<PromotionOrder> = self.orders.iter().filter(is_added).cloned().collect();
        orders.extend(added);
    }

    /// Notes the highest token of an order so far, as on the record that was taken over last.
    pub fn on_ordered(&mut self, ordered: FencingToken) {
        self.ordered = self.ordered.max(ordered);
    }

    /// Whether an order is of before a restore of the store: the record may show it although it was settled.
    pub fn is_former(&self, order: &PromotionOrder) -> bool {
        token_era(order.token) < self.era
    }

    /// Whether this process knows that an order of a former era was settled: it knows it no longer, and has
    /// sent it itself, or knows of an order under a higher token.
    fn is_settled(&self, order: &PromotionOrder) -> bool {
        let has_known = self.sent == Some(order.token) || order.token < self.ordered;
        self.is_former(order) && has_known && !self.orders.iter().any(|o| o.is_same(order))
    }

    fn is_expired(&self, order: &PromotionOrder, now: Ms) -> bool {
        let lasted = |is_accepted, lifetime_ms| {
            let since = self.first_seen.get(&(order.key(), is_accepted));
            since.is_some_and(|since| now >= since.plus(lifetime_ms))
        };
        lasted(false, ORDER_LIFETIME_MS) || order.is_accepted && lasted(true, ACCEPTED_LIFETIME_MS)
    }

    /// Notes that this process is about to send an order under a token.
    pub fn on_sent(&mut self, token: FencingToken) {
        self.refused.retain(|(refused, _)| *refused == token);
        self.sent = Some(token);
    }

    /// Handles the answer to one of these orders, which this process has sent.
    pub fn on_answer(
        &mut self,
        orders: &mut Vec<PromotionOrder>,
        order: &PromotionOrder,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Missing => {}
            OrderAnswer::Refused => {
                self.refused.insert(order.key());
                orders.retain(|o| !o.is_same(order));
            }
            OrderAnswer::Unclear | OrderAnswer::Accepted => {
                for order in orders.iter_mut().filter(|o| o.is_same(order)) {
                    order.is_answered = true;
                    order.is_accepted |= answer == OrderAnswer::Accepted;
                }
            }
        }
    }

    /// Whether this VM goes on with an order that it has sent. A former process of it has ended, and the platform
    /// tells senders apart by name and token: a new one goes on where that has ceased, unless others may
    /// have ordered since under a higher token, of which a restore has undone the record.
    fn is_own(&self, order: &PromotionOrder) -> bool {
        let is_sender = self.sent == Some(order.token);
        order.holder == self.name && (is_sender || !self.is_former(order))
    }

    /// One of these orders that may be on its way to the platform and was sent by another VM.
    pub fn other_on_way<'a>(&self, orders: &'a [PromotionOrder]) -> Option<&'a PromotionOrder> {
        orders.iter().find(|o| self.is_other_on_way(o))
    }

    fn is_other_on_way(&self, order: &PromotionOrder) -> bool {
        !order.is_answered && !self.is_own(order)
    }

    /// As `other_on_way`, of the orders that were last on record.
    pub fn awaits_other(&self, now: Ms) -> bool {
        let mut others = self.orders.iter().filter(|o| self.is_other_on_way(o));
        others.any(|o| !self.is_expired(o, now))
    }

    /// The token under which the next order is sent: that of this VM's orders that may be on their way, or
    /// that of the claim. `ordered` is the highest one of an order so far.
    pub fn next_token(
        &self,
        orders: &[PromotionOrder],
        claimed: FencingToken,
        ordered: FencingToken,
    ) -> FencingToken {
        let is_repeated = |o: &&PromotionOrder| {
            let is_of_era = token_era(o.token) == token_era(claimed);
            self.is_own(o) && (is_of_era || self.sent == Some(o.token)) && !o.is_answered
        };
        let on_way = orders.iter().filter(is_repeated);
        match on_way.map(|o| o.token).max() {
            // Otherwise another daemon has ordered since, and takes the own orders for lost.
            Some(sent) if sent >= ordered => sent,
            _ => claimed,
        }
    }

    /// The number of the next order under a token, which none of these orders has.
    pub fn next_call(&self, orders: &[PromotionOrder], token: FencingToken) -> u32 {
        let on_record = orders.iter().map(PromotionOrder::key);
        let keys = on_record.chain(self.refused.iter().copied());
        let calls = keys.filter(|key| key.0 == token).map(|key| key.1);
        calls.max().map_or(0, |call| call + 1)
    }

    /// Handles that a member has become primary.
    pub fn on_leader(&mut self, leader: &Leader) {
        settle(&mut self.orders, leader);
    }

    /// As `settle_former`, for the orders that were last on record. Returns those that are settled.
    pub fn on_former(
        &mut self,
        leader: &Leader,
        is_heard: impl Fn(&str) -> bool,
    ) -> Vec<PromotionOrder> {
        let mut orders = std::mem::take(&mut self.orders);
        let settled = self.settle_former(&mut orders, leader, is_heard);
        self.orders = orders;
        settled
    }

    /// Settles the orders of former eras to which another member than `leader` was ordered before it: while an
    /// order may take effect, nobody else is ordered. `is_heard` tells which members are there. An order for
    /// one that is not may have been void then, and still be on its way: it stays, and has no effect.
    ///
    /// An order of this era needs no such inference, since its record cannot be outdated. Returns the orders
    /// that were removed.
    pub fn settle_former(
        &self,
        orders: &mut Vec<PromotionOrder>,
        leader: &Leader,
        is_heard: impl Fn(&str) -> bool,
    ) -> Vec<PromotionOrder> {
        let is_followed = |o: &PromotionOrder| {
            !o.is_unknown() && o.member != leader.id && o.term < leader.term && self.is_former(o)
        };
        let is_settled =
            |o: &mut PromotionOrder| !o.is_void && is_followed(o) && is_heard(&o.member);
        let settled = orders.extract_if(.., is_settled).collect();
        for order in orders.iter_mut().filter(|o| is_followed(o)) {
            order.is_void = true;
        }
        settled
    }

    /// Whether an order to a member other than this one may still take effect.
    pub fn has_order_for_other(&self, id: &str, now: Ms) -> bool {
        let is_for_other =
            |o: &PromotionOrder| !o.is_void && *o.member != *id && !self.is_expired(o, now);
        self.orders.iter().any(is_for_other)
    }

    /// Whether all orders on record, of which there is one at least, have been seen for too long to be on
    /// their way.
    pub fn is_outdated(&self, now: Ms) -> bool {
        !self.orders.is_empty() && self.orders.iter().all(|o| self.is_expired(o, now))
    }

    /// For how long this daemon has known an order, in ms.
    pub fn age_ms(&self, order: &PromotionOrder, now: Ms) -> u64 {
        let seen = [false, true].map(|a| self.first_seen.get(&(order.key(), a)));
        let first = seen.into_iter().flatten().min();
        first.map_or(0, |since| now.0 - since.0)
    }
}
