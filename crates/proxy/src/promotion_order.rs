//! Orders of promotions that may still take effect.
//!
//! The platform carries out an order whenever it arrives, and checks no fencing token. An order whose
//! sender has given up, or has ended, may therefore make its member primary at any later instant, with
//! what that member has received by then. No other member may lead meanwhile: what it acknowledges
//! could be missing in the log of the ordered member. So each order is on record before it is sent,
//! and until it is settled every change of primary orders the same member again.
//!
//! A restore of the store may undo the record of an order. An order for an unknown member then stands for
//! it until it is seen that no change was unfinished.

use std::collections::BTreeMap;

use base::Ms;

use crate::{FencingToken, Leader};

/// Longest time for which an order without an answer counts as on its way, in ms, from when a daemon
/// first saw it. Assumption about the platform and the network: an order that has not arrived by then
/// never will. It matters only where the ordered member does not come back.
const ORDER_LIFETIME_MS: u64 = 20_000;
/// As `ORDER_LIFETIME_MS`, for an order that the platform has accepted.
const ACCEPTED_LIFETIME_MS: u64 = 4000;

/// An order to promote a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromotionOrder {
    /// Empty if unknown.
    pub member: Box<str>,
    /// Lowest term that the member leads if the order takes effect; 0 if unknown.
    pub term: u64,
    /// Name of the VM that sent it; empty if unknown.
    pub holder: Box<str>,
    /// Token under which it was sent; each order of a group has another.
    pub token: FencingToken,
    /// Whether the platform has answered that it carries the order out.
    pub is_accepted: bool,
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
            is_accepted: false,
        }
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
    let likely = |o: &&PromotionOrder| (!o.is_accepted, o.token);
    let settled = orders
        .iter()
        .filter(|o| o.may_have_promoted(leader))
        .min_by_key(likely);
    let Some(settled) = settled.map(|o| o.token) else {
        return;
    };
    orders.retain(|o| o.token != settled);
    for order in orders.iter_mut() {
        if order.may_have_promoted(leader) {
            order.term = leader.term + 1;
        }
    }
}

/// The orders of a group that were last on record, and when this daemon first saw each.
#[derive(Clone, Debug, Default)]
pub struct OrderLog {
    orders: Vec<PromotionOrder>,
    /// By token and whether the order was accepted.
    first_seen: BTreeMap<(FencingToken, bool), Ms>,
}

impl OrderLog {
    /// Takes over the orders on record. Those that this daemon knows stand in for what a restore of the
    /// store has undone. Those that have been seen for too long to be on their way are removed and
    /// returned.
    pub fn update(&mut self, orders: &mut Vec<PromotionOrder>, now: Ms) -> Vec<PromotionOrder> {
        let is_undone = orders.iter().any(PromotionOrder::is_unknown);
        let is_current = |o: &&PromotionOrder| !o.is_unknown() && !self.is_expired(o, now);
        let current: Vec<PromotionOrder> = self.orders.iter().filter(is_current).cloned().collect();
        if is_undone && !current.is_empty() {
            *orders = current;
        }
        for order in orders.iter_mut() {
            // The sender may not have been able to record the answer.
            order.is_accepted |= self
                .orders
                .iter()
                .any(|o| o.token == order.token && o.is_accepted);
            let key = (order.token, order.is_accepted);
            self.first_seen.entry(key).or_insert(now);
        }
        self.first_seen
            .retain(|(token, _), _| orders.iter().any(|o| o.token == *token));
        let expired = orders.extract_if(.., |o| self.is_expired(o, now)).collect();
        self.orders.clone_from(orders);
        expired
    }

    fn is_expired(&self, order: &PromotionOrder, now: Ms) -> bool {
        let lasted = |is_accepted, lifetime_ms| {
            let since = self.first_seen.get(&(order.token, is_accepted));
            since.is_some_and(|since| now >= since.plus(lifetime_ms))
        };
        lasted(false, ORDER_LIFETIME_MS) || order.is_accepted && lasted(true, ACCEPTED_LIFETIME_MS)
    }

    /// Handles that a member has become primary.
    pub fn on_leader(&mut self, leader: &Leader) {
        settle(&mut self.orders, leader);
    }

    /// Whether an order to a member other than this one may still take effect.
    pub fn has_order_for_other(&self, id: &str, now: Ms) -> bool {
        let is_for_other = |o: &PromotionOrder| *o.member != *id && !self.is_expired(o, now);
        self.orders.iter().any(is_for_other)
    }

    /// Whether all orders on record, of which there is one at least, have been seen for too long to be on
    /// their way.
    pub fn is_outdated(&self, now: Ms) -> bool {
        !self.orders.is_empty() && self.orders.iter().all(|o| self.is_expired(o, now))
    }

    /// For how long this daemon has known an order, in ms.
    pub fn age_ms(&self, order: &PromotionOrder, now: Ms) -> u64 {
        let seen = [false, true].map(|a| self.first_seen.get(&(order.token, a)));
        let first = seen.into_iter().flatten().min();
        first.map_or(0, |since| now.0 - since.0)
    }
}
