//! The metadata store: objects with one revision counter, a bounded history, and outages.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};

use base::{Ms, Signal};
use serde_json::{Value, json};

/// Changes that are remembered.
const HISTORY: usize = 500;

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
    forgotten: Cell<u64>,
    /// Notified at each change.
    pub changed: Signal,
    /// Outages by daemon, and when they end; the empty name stands for all.
    outages: RefCell<HashMap<Box<str>, (Outage, Ms)>>,
}

/// Why a write was not made.
pub enum Refused {
    /// There is another object, or it has another revision.
    Conflict(Value),
    /// It is not there.
    Missing,
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
        self.forgotten.set(self.revision.get());
        self.changed.notify();
    }

    fn note(&self, kind: &str, object: &Value, removed: bool) {
        let mut history = self.history.borrow_mut();
        history.push_back(Event {
            revision: self.revision.get(),
            kind: kind.into(),
            object: object.clone(),
            removed,
        });
        if history.len() > HISTORY
            && let Some(old) = history.pop_front()
        {
            self.forgotten.set(old.revision);
        }
        drop(history);
        self.changed.notify();
    }

    /// Writes an object whatever its revision; nothing happens when it is the same.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Value {
        let key = (kind.into(), name.into());
        let known = self.objects.borrow().get(&key).cloned();
        if let Some(known) = &known
            && known["spec"] == *spec
        {
            return known.clone();
        }
        self.revision.set(self.revision.get() + 1);
        let object = json!({
            "meta": {"name": name, "revision": self.revision.get(), "finalizers": []},
            "spec": spec, "status": null
        });
        self.objects.borrow_mut().insert(key, object.clone());
        self.note(kind, &object, false);
        object
    }

    /// Writes an object if it has a revision, or is new when none is given.
    ///
    /// # Errors
    /// Tells what is there instead.
    pub fn put_if(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        spec: &Value,
    ) -> Result<Value, Refused> {
        let known = self.get(kind, name);
        match (known, revision) {
            (Some(object), Some(wanted)) if object["meta"]["revision"] == wanted => {}
            (None, None) => {}
            (Some(object), _) => return Err(Refused::Conflict(object)),
            (None, Some(_)) => return Err(Refused::Missing),
        }
        Ok(self.put(kind, name, spec))
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let key = (kind.into(), name.into());
        let gone = self.objects.borrow_mut().remove(&key);
        if let Some(object) = gone {
            self.revision.set(self.revision.get() + 1);
            self.note(kind, &object, true);
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
    pub fn since(&self, kind: &str, revision: u64) -> Option<Value> {
        if revision < self.forgotten.get() {
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
