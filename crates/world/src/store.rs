//! The metadata store: objects with one revision counter, a bounded history, and outages.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};

use base::{Ms, Signal};
use serde_json::{Value, json};

/// Changes that are remembered.
const MAX_HISTORY: usize = 500;

/// How the store treats a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// Answers 503.
    Busy,
    /// Answers nothing.
    Silent,
    /// Closes the connection.
    Reset,
    /// Carries writes out and loses the answers.
    Lost,
    /// Answers after this many ms.
    Slow(u64),
}

/// Kind and name of an object.
type Key = (Box<str>, Box<str>);

struct Event {
    revision: u64,
    kind: Box<str>,
    object: Value,
    removed: bool,
}

/// The store.
#[derive(Default)]
pub struct Store {
    objects: RefCell<BTreeMap<Key, Value>>,
    revision: Cell<u64>,
    history: RefCell<VecDeque<Event>>,
    /// Oldest revision from which a watch can go on.
    compacted_revision: Cell<u64>,
    /// Notified at each change.
    pub changed: Signal,
    /// Outages by daemon, and when they end; the empty name stands for all.
    outages: RefCell<HashMap<Box<str>, (Outage, Ms)>>,
}

/// Why a write was not made.
pub enum PutError {
    /// There is another object, or it has another revision.
    Conflict(Value),
    /// It is not there.
    NotFound,
}

impl Store {
    /// Begins an outage for a daemon, or for all with an empty name.
    pub fn fail(&self, daemon: &str, outage: Outage, ms: u64) {
        let until = Ms::now().plus(ms);
        self.outages
            .borrow_mut()
            .insert(daemon.into(), (outage, until));
    }

    /// The outage that a daemon sees now.
    pub fn outage(&self, daemon: &str) -> Option<Outage> {
        let outages = self.outages.borrow();
        let found = [daemon, ""]
            .into_iter()
            .filter_map(|name| outages.get(name));
        found
            .filter(|(_, until)| until.left() > 0)
            .map(|o| o.0)
            .next()
    }

    /// Forgets the history.
    pub fn compact(&self) {
        self.history.borrow_mut().clear();
        self.compacted_revision.set(self.revision.get());
        self.changed.notify();
    }

    fn record_event(&self, kind: &str, object: &Value, removed: bool) {
        let mut history = self.history.borrow_mut();
        history.push_back(Event {
            revision: self.revision.get(),
            kind: kind.into(),
            object: object.clone(),
            removed,
        });
        if history.len() > MAX_HISTORY
            && let Some(old) = history.pop_front()
        {
            self.compacted_revision.set(old.revision);
        }
        drop(history);
        self.changed.notify();
    }

    /// Writes an object whatever its revision; nothing happens when it is the same.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Value {
        let key = (kind.into(), name.into());
        let current = self.objects.borrow().get(&key).cloned();
        if let Some(current) = &current
            && current["spec"] == *spec
        {
            return current.clone();
        }
        self.revision.set(self.revision.get() + 1);
        let object = json!({
            "meta": {"name": name, "revision": self.revision.get(), "finalizers": []},
            "spec": spec, "status": null
        });
        self.objects.borrow_mut().insert(key, object.clone());
        self.record_event(kind, &object, false);
        object
    }

    /// Writes an object if it has a revision, or is new when none is given.
    ///
    /// # Errors
    /// Tells what is there instead.
    pub fn put_if_revision(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        spec: &Value,
    ) -> Result<Value, PutError> {
        let current = self.get(kind, name);
        match (current, revision) {
            (Some(object), Some(wanted)) if object["meta"]["revision"] == wanted => {}
            (None, None) => {}
            (Some(object), _) => return Err(PutError::Conflict(object)),
            (None, Some(_)) => return Err(PutError::NotFound),
        }
        Ok(self.put(kind, name, spec))
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let key = (kind.into(), name.into());
        let removed = self.objects.borrow_mut().remove(&key);
        if let Some(object) = removed {
            self.revision.set(self.revision.get() + 1);
            self.record_event(kind, &object, true);
        }
    }

    /// Reads an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.into(), name.into());
        self.objects.borrow().get(&key).cloned()
    }

    /// Lists a kind.
    pub fn list(&self, kind: &str) -> Value {
        let objects = self.objects.borrow();
        let items: Vec<&Value> = objects
            .iter()
            .filter(|(key, _)| &*key.0 == kind)
            .map(|(_, object)| object)
            .collect();
        json!({"items": items, "has_more": false, "store_revision": self.revision.get()})
    }

    /// Changes of a kind after a revision; `None` when they are forgotten.
    pub fn events_since(&self, kind: &str, revision: u64) -> Option<Value> {
        if revision < self.compacted_revision.get() {
            return None;
        }
        let history = self.history.borrow();
        let events: Vec<Value> = history
            .iter()
            .filter(|e| e.revision > revision && &*e.kind == kind)
            .map(|e| json!({"object": e.object, "removed": e.removed}))
            .collect();
        Some(json!({"events": events, "store_revision": self.revision.get()}))
    }
}
