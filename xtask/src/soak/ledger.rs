//! What callers were told, and whether it was true.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use base::Ms;
use world::{Order, World};

/// Faults that are kept for the verdict.
const FAULTS: usize = 12;
/// Least share of operations that must be served while faults come, in percent.
const SERVED_PERCENT: u64 = 20;

/// What a caller was told of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// It is kept.
    Kept,
    /// Nothing of it is kept.
    NotKept,
    /// Nothing certain.
    Unknown,
}

/// A group and an item.
type Key = (usize, String);

/// The record of a run.
#[derive(Default)]
pub struct Ledger {
    /// Operations that succeeded.
    pub served: Cell<u64>,
    /// Operations that were refused.
    pub refused: Cell<u64>,
    /// Operations with an unknown outcome, or cut.
    pub unknown: Cell<u64>,
    /// Whether callers stop.
    pub stop: Cell<bool>,
    writes: RefCell<HashMap<String, Told>>,
    /// Acknowledged counters by group and item, with the instants.
    acked: RefCell<HashMap<Key, Vec<(Ms, u64)>>>,
    /// Items by group whose writes were acknowledged last.
    newest: RefCell<HashMap<usize, String>>,
    faults: RefCell<Vec<String>>,
    /// Service that came late or was scarce, which depends on the machine's load.
    slow: RefCell<Vec<String>>,
}

impl Ledger {
    /// Notes something that must not be.
    pub fn fault(&self, text: String) {
        self.faults.borrow_mut().push(text);
    }

    /// Notes service that came late or was scarce.
    pub fn slow(&self, text: String) {
        self.slow.borrow_mut().push(text);
    }

    /// Notes what a caller was told of a write.
    pub fn told(&self, group: usize, item: &str, count: u64, told: Told) {
        let token = format!("{group}/{item}.{count}");
        self.writes.borrow_mut().insert(token, told);
        if told == Told::Kept {
            self.newest.borrow_mut().insert(group, item.to_owned());
            let key = (group, item.to_owned());
            let mut acked = self.acked.borrow_mut();
            acked.entry(key).or_default().push((Ms::now(), count));
        }
    }

    /// The item of a group whose write was acknowledged last, which a stale read misses first.
    pub fn newest(&self, group: usize) -> Option<String> {
        self.newest.borrow().get(&group).cloned()
    }

    /// The newest counter of an item that was acknowledged up to an instant.
    pub fn acked(&self, group: usize, item: &str, at: Ms) -> u64 {
        let acked = self.acked.borrow();
        let list = acked.get(&(group, item.to_owned()));
        let before = list.into_iter().flatten().filter(|a| a.0 <= at);
        before.map(|a| a.1).max().unwrap_or(0)
    }

    /// Compares what callers were told with the logs of the primaries.
    pub fn judge(&self, world: &World) {
        let writes = self.writes.borrow();
        for (g, group) in world.groups.iter().enumerate() {
            let primary = &group.members[group.primary.get()];
            let mut seen: HashMap<String, u64> = HashMap::new();
            for entry in primary.log.borrow().iter() {
                for (item, data) in entry.writes.iter() {
                    *seen.entry(format!("{g}/{item}.{data}")).or_default() += 1;
                }
            }
            for (token, times) in &seen {
                if *times > 1 {
                    self.fault(format!("TWICE: {token} is {times} times in the log"));
                }
            }
            let here = writes
                .iter()
                .filter(|(t, _)| t.starts_with(&format!("{g}/")));
            for (token, told) in here {
                match (told, seen.contains_key(token)) {
                    (Told::Kept, false) => {
                        self.fault(format!("LOST: {token} was acknowledged"));
                    }
                    (Told::NotKept, true) => {
                        self.fault(format!("REFUSED: {token} is kept, told otherwise"));
                    }
                    _ => {}
                }
            }
        }
        self.judge_orders(world);
    }

    fn judge_orders(&self, world: &World) {
        let orders = world.promotions.borrow();
        let mut newest: HashMap<&str, &Order> = HashMap::new();
        for order in orders.iter() {
            let Order { token, holder, .. } = order;
            if let Some(top) = newest.insert(&order.group, order) {
                if *token < top.token {
                    self.fault(format!(
                        "ONE: token {token} of {holder} after {}",
                        top.token
                    ));
                }
                if *token == top.token && *holder != top.holder {
                    self.fault(format!("ONE: {holder} and {} used {token}", top.holder));
                }
            }
        }
    }

    /// The outcome in words.
    pub fn verdict(&self, safety: bool) -> Result<String, String> {
        let (served, refused) = (self.served.get(), self.refused.get());
        let text = format!(
            "served {served}, refused {refused}, unknown {}, writes {}",
            self.unknown.get(),
            self.writes.borrow().len()
        );
        if served * 100 < (served + refused) * SERVED_PERCENT {
            self.slow("too little was served".to_owned());
        }
        let slow = self.slow.take();
        if safety {
            for text in &slow {
                println!("not judged: {text}");
            }
        } else {
            self.faults.borrow_mut().extend(slow);
        }
        let faults = self.faults.borrow();
        if faults.is_empty() {
            return Ok(text);
        }
        let shown: Vec<&str> = faults.iter().take(FAULTS).map(String::as_str).collect();
        Err(format!(
            "{} faults ({text}): {}",
            faults.len(),
            shown.join("; ")
        ))
    }
}
