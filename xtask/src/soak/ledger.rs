//! Outcomes reported to callers, checked against the logs of the members.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use base::Ms;
use world::{Group, PromotionRequest, World};

use super::trace::{describe_call, describe_promotion, unix};

/// Violations of one kind that the verdict quotes.
const MAX_SHOWN_VIOLATIONS: usize = 4;
/// Minimum percentage of served operations among those served or refused in a run.
const MIN_SERVED_PERCENT: u64 = 20;

/// Outcome of a write, as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    Acknowledged,
    /// An error that guarantees that the write was not applied.
    NotApplied,
    /// The write may have been applied.
    Unknown,
}

/// Group index and item name.
type ItemKey = (usize, String);

/// Record of a run.
#[derive(Default)]
pub struct Ledger {
    /// Operations that succeeded.
    pub served: Cell<u64>,
    /// Operations that got an error which guarantees that they were not applied.
    pub refused: Cell<u64>,
    /// Operations with an unknown outcome: those with another error, and those without an answer.
    pub unknown: Cell<u64>,
    /// Whether callers should stop.
    pub stopping: Cell<bool>,
    /// Outcomes by `group/item.counter`.
    outcomes: RefCell<HashMap<String, WriteOutcome>>,
    /// Acknowledged counters and the times of their acknowledgement.
    acked_counters: RefCell<HashMap<ItemKey, Vec<(Ms, u64)>>>,
    /// Item of the last acknowledged write, by group.
    last_acked: RefCell<HashMap<usize, String>>,
    /// Time of the last acknowledged write, by group.
    last_acked_at: RefCell<HashMap<usize, Ms>>,
    violations: RefCell<Vec<String>>,
    /// Late or scarce service; kept apart because it also depends on the load of the machine.
    poor_service: RefCell<Vec<String>>,
}

impl Ledger {
    /// Records a violated guarantee.
    pub fn record_violation(&self, text: String) {
        self.violations.borrow_mut().push(text);
    }

    /// Records late or scarce service.
    pub fn record_poor_service(&self, text: String) {
        self.poor_service.borrow_mut().push(text);
    }

    /// Records the outcome of a write of a counter to an item.
    pub fn record_write(&self, group: usize, item: &str, count: u64, outcome: WriteOutcome) {
        let write = format!("{group}/{item}.{count}");
        self.outcomes.borrow_mut().insert(write, outcome);
        if outcome == WriteOutcome::Acknowledged {
            self.last_acked.borrow_mut().insert(group, item.to_owned());
            self.last_acked_at.borrow_mut().insert(group, Ms::now());
            let key = (group, item.to_owned());
            let mut acked = self.acked_counters.borrow_mut();
            acked.entry(key).or_default().push((Ms::now(), count));
        }
    }

    /// Item of the last acknowledged write to a group, the write that a stale read most likely
    /// misses.
    pub fn last_acked_item(&self, group: usize) -> Option<String> {
        self.last_acked.borrow().get(&group).cloned()
    }

    /// Groups without an acknowledged write since an instant.
    pub fn groups_without_write(&self, since: Ms) -> Vec<usize> {
        let acked_at = self.last_acked_at.borrow();
        let has_write = |g: &usize| acked_at.get(g).is_some_and(|at| *at > since);
        (0..super::GROUP_COUNT).filter(|g| !has_write(g)).collect()
    }

    /// Highest counter of an item that had been acknowledged by a given time; 0 if there is none.
    pub fn acked_counter(&self, group: usize, item: &str, at: Ms) -> u64 {
        let acked = self.acked_counters.borrow();
        let list = acked.get(&(group, item.to_owned()));
        let before = list.into_iter().flatten().filter(|a| a.0 <= at);
        before.map(|a| a.1).max().unwrap_or(0)
    }

    /// When a write of a group was acknowledged; zero if it was not.
    fn acked_at(&self, g: usize, write: &str) -> Ms {
        let acked_counters = self.acked_counters.borrow();
        let mut acked = acked_counters
            .iter()
            .filter(|((of, _), _)| *of == g)
            .flat_map(|((_, item), acked)| acked.iter().map(move |a| (item, a)));
        let found = acked.find(|(item, (_, count))| format!("{g}/{item}.{count}") == write);
        found.map_or(Ms(0), |(_, (at, _))| *at)
    }

    /// Checks the recorded outcomes against the logs of the primaries, and the promotions that were
    /// ordered.
    pub fn check_logs(&self, world: &World) {
        let outcomes = self.outcomes.borrow();
        for (g, group) in world.groups.iter().enumerate() {
            let lost = self.check_group_promotions(g, group);
            let primary = &group.members[group.primary.get()];
            let mut logged: HashMap<String, u64> = HashMap::new();
            for entry in primary.log.borrow().iter() {
                for (item, data) in entry.writes.iter() {
                    *logged.entry(format!("{g}/{item}.{data}")).or_default() += 1;
                }
            }
            for (write, times) in &logged {
                if *times > 1 {
                    self.record_violation(format!("TWICE: {write} is in the log {times} times"));
                }
            }
            let in_group = outcomes
                .iter()
                .filter(|(write, _)| write.starts_with(&format!("{g}/")));
            for (write, outcome) in in_group {
                match (outcome, logged.contains_key(write)) {
                    (WriteOutcome::Acknowledged, false) if !lost.contains(write) => {
                        let promotions = group.promoted.borrow();
                        let at = self.acked_at(g, write);
                        let before = promotions.iter().rev().find(|p| p.at < at);
                        self.record_violation(format!(
                            "LOST: {write} was acknowledged at {} but is not in the log; before: {}",
                            unix(at),
                            before.map_or("no promotion".to_owned(), describe_promotion)
                        ));
                    }
                    (WriteOutcome::NotApplied, true) => {
                        self.record_violation(format!(
                            "REFUSED: {write} is in the log but was reported as not applied"
                        ));
                    }
                    _ => {}
                }
            }
        }
        self.check_promotions(world);
    }

    /// Checks that the log of each promoted member had all writes that were acknowledged by then, even
    /// if a later promotion brought them back. Returns the writes that it lacked.
    fn check_group_promotions(&self, g: usize, group: &Group) -> HashSet<String> {
        let mut lost = HashSet::new();
        let acked_counters = self.acked_counters.borrow();
        for promotion in group.promoted.borrow().iter() {
            let entries = promotion.log.iter().flat_map(|entry| entry.writes.iter());
            let logged: HashSet<(&str, &str)> = entries.map(|(i, data)| (&**i, &**data)).collect();
            for ((_, item), acked) in acked_counters.iter().filter(|((of, _), _)| *of == g) {
                let before = acked.iter().filter(|(at, _)| *at <= promotion.at);
                for (at, count) in before {
                    let data = count.to_string();
                    let write = format!("{g}/{item}.{data}");
                    if logged.contains(&(item, &*data)) || !lost.insert(write.clone()) {
                        continue;
                    }
                    self.record_violation(format!(
                        "LOST: {write} was acknowledged {} ms before a promotion and is not in its log; {}",
                        promotion.at.0 - at.0,
                        describe_promotion(promotion)
                    ));
                }
            }
        }
        lost
    }

    /// Checks that the fencing tokens of a group never decrease and that each has one holder, as they were
    /// sent and as they arrived.
    fn check_promotions(&self, world: &World) {
        self.check_tokens(&world.order_calls.borrow());
        self.check_tokens(&world.promotions.borrow());
    }

    fn check_tokens(&self, orders: &[Rc<PromotionRequest>]) {
        let mut last_orders: HashMap<&str, &PromotionRequest> = HashMap::new();
        for order in orders {
            let PromotionRequest { token, holder, .. } = &**order;
            if let Some(previous) = last_orders.insert(&order.group, order) {
                if *token < previous.token {
                    self.record_violation(format!(
                        "ONE: {}: {} after {}",
                        order.group,
                        describe_call(order),
                        describe_call(previous)
                    ));
                }
                if *token == previous.token && *holder != previous.holder {
                    self.record_violation(format!(
                        "ONE: {holder} and {} both used token {token}",
                        previous.holder
                    ));
                }
            }
        }
    }

    /// Summary of the run; an error if a guarantee was violated or, unless `safety` is set, service
    /// was late or scarce.
    pub fn verdict(&self, safety: bool) -> Result<String, String> {
        let (served, refused) = (self.served.get(), self.refused.get());
        let text = format!(
            "served {served}, refused {refused}, unknown {}, writes {}",
            self.unknown.get(),
            self.outcomes.borrow().len()
        );
        if served * 100 < (served + refused) * MIN_SERVED_PERCENT {
            self.record_poor_service("too few operations were served".to_owned());
        }
        let poor_service = self.poor_service.take();
        if safety {
            for text in &poor_service {
                println!("not judged: {text}");
            }
        } else {
            self.violations.borrow_mut().extend(poor_service);
        }
        let violations = self.violations.borrow();
        if violations.is_empty() {
            return Ok(text);
        }
        // The kind is the word before the colon.
        let mut kinds: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for violation in violations.iter() {
            let kind = violation.split(':').next().unwrap_or("");
            kinds.entry(kind).or_default().push(violation);
        }
        let shown = kinds.values().map(|list| {
            let quoted = &list[..list.len().min(MAX_SHOWN_VIOLATIONS)];
            format!("{} x {}", list.len(), quoted.join("; "))
        });
        let shown: Vec<String> = shown.collect();
        Err(format!("faults ({text}): {}", shown.join("; ")))
    }
}
