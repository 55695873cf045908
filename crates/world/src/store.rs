//! Simulated metadata store: objects under one revision counter, a bounded history of events, and
//! outages.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};

use base::{Ms, Signal};
use serde_json::{Value, json};

/// Events kept for watches.
const MAX_HISTORY: usize = 500;
/// Changes that a restore can undo.
const MAX_COPIES: usize = 200;

/// Fault in how the store and the promotion API answer a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// Answers each request with 503.
    Unavailable,
    /// Does not answer, and closes the connection when the outage ends.
    Unresponsive,
    /// Loses each answer that is due, for good: the connection stays open and returns nothing further.
    Silent,
    /// Closes the connection without an answer.
    Reset,
    /// Executes writes to the store, but closes the connection instead of answering about half of
    /// them.
    AnswerLost,
    /// Delays each request by this many milliseconds.
    Slow(u64),
}

/// (kind, name) of an object.
type Key = (Box<str>, Box<str>);

/// A change of an object, as watches report it.
struct Event {
    revision: u64,
    kind: Box<str>,
    object: Value,
    removed: bool,
}

/// Copy of the objects, from which the store can be restored.
struct Copy {
    made_at: Ms,
    revision: u64,
    objects: BTreeMap<Key, Value>,
}

/// The simulated metadata store.
#[derive(Default)]
pub struct Store {
    objects: RefCell<BTreeMap<Key, Value>>,
    revision: Cell<u64>,
    history: RefCell<VecDeque<Event>>,
    /// Number of restores so far; answers carry it once there was one.
    pub era: Cell<u64>,
    /// Copies made before each of the last changes, oldest first.
    copies: RefCell<VecDeque<Copy>>,
    /// Revision up to which events were dropped; a watch can resume only from here or later.
    compacted_revision: Cell<u64>,
    /// Notified at each event and at a compaction.
    pub changed: Signal,
    /// Outage and its end by daemon; the empty name applies to all daemons.
    outages: RefCell<HashMap<Box<str>, (Outage, Ms)>>,
    /// Begin and end of each time in which a daemon could not read the newest objects.
    absences: RefCell<Vec<(Ms, Ms)>>,
    /// Number of calls so far by daemon and kind, including those that an outage affected.
    calls: RefCell<BTreeMap<Key, u64>>,
    /// The daemon that wrote an object last, by kind.
    last_writers: RefCell<HashMap<Box<str>, Box<str>>>,
}

/// Reason why a conditional write was refused.
pub enum PutError {
    /// The object exists, and no revision or another one was given; holds that object.
    Conflict(Value),
    /// A revision was given, but the object does not exist.
    NotFound,
}

impl Store {
    /// Counts a call of a daemon about objects of a kind.
    pub fn count_call(&self, daemon: &str, kind: &str) {
        let key = (daemon.into(), kind.into());
        *self.calls.borrow_mut().entry(key).or_default() += 1;
    }

    /// Number of calls of a daemon so far about objects of a kind.
    pub fn calls(&self, daemon: &str, kind: &str) -> u64 {
        let key = (daemon.into(), kind.into());
        self.calls.borrow().get(&key).copied().unwrap_or(0)
    }

    /// Records that a daemon has written an object of a kind.
    pub(crate) fn record_writer(&self, kind: &str, daemon: &str) {
        self.last_writers
            .borrow_mut()
            .insert(kind.into(), daemon.into());
    }

    /// The daemon that wrote an object of a kind last.
    pub fn last_writer(&self, kind: &str) -> Option<Box<str>> {
        self.last_writers.borrow().get(kind).cloned()
    }

    /// Number of calls of all daemons so far.
    pub fn all_calls(&self) -> u64 {
        self.calls.borrow().values().sum()
    }

    /// Starts an outage of `ms` milliseconds for a daemon, or for all with an empty name.
    pub fn inject_outage(&self, daemon: &str, outage: Outage, ms: u64) {
        let until = Ms::now().plus(ms);
        if !matches!(outage, Outage::AnswerLost | Outage::Slow(_)) {
            self.record_absence(ms);
        }
        self.outages
            .borrow_mut()
            .insert(daemon.into(), (outage, until));
    }

    /// Records that some daemon cannot read the newest objects for the next `ms` milliseconds.
    pub(crate) fn record_absence(&self, ms: u64) {
        let now = Ms::now();
        self.absences.borrow_mut().push((now, now.plus(ms)));
    }

    /// Whether some daemon could not read the newest objects at an instant from `from` to `to`.
    pub fn was_absent(&self, from: Ms, to: Ms) -> bool {
        let absences = self.absences.borrow();
        absences.iter().any(|a| a.0 <= to && from <= a.1)
    }

    /// Current outage for a daemon; one of its own precedes one for all daemons.
    pub fn outage(&self, daemon: &str) -> Option<Outage> {
        let outages = self.outages.borrow();
        let matching = [daemon, ""]
            .into_iter()
            .filter_map(|name| outages.get(name));
        matching
            .filter(|(_, until)| until.left() > 0)
            .map(|o| o.0)
            .next()
    }

    /// Drops the history, so that a daemon whose watch is at an earlier revision must list again.
    pub fn compact(&self) {
        self.history.borrow_mut().clear();
        self.compacted_revision.set(self.revision.get());
        self.changed.notify();
    }

    /// Makes a copy of the objects, to be called before a change.
    fn make_copy(&self) {
        let mut copies = self.copies.borrow_mut();
        copies.push_back(Copy {
            made_at: Ms::now(),
            revision: self.revision.get(),
            objects: self.objects.borrow().clone(),
        });
        if copies.len() > MAX_COPIES {
            copies.pop_front();
        }
    }

    /// Restores the store as it was `age_ms` ago, or at the oldest copy: what was written since is
    /// gone, and its revisions are given out again.
    pub fn restore(&self, age_ms: u64) {
        self.era.set(self.era.get() + 1);
        let lost = |c: &&Copy| c.made_at.elapsed() <= age_ms;
        let copies = self.copies.take();
        // The first change that is lost; the copy was made before it.
        if let Some(copy) = copies.iter().find(lost) {
            self.objects.replace(copy.objects.clone());
            self.revision.set(copy.revision);
        }
        self.history.borrow_mut().clear();
        self.compacted_revision.set(self.revision.get());
        self.changed.notify();
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<Box<str>> {
        let objects = self.objects.borrow();
        let of_kind = objects.keys().filter(|key| &*key.0 == kind);
        of_kind.map(|key| key.1.clone()).collect()
    }

    /// Adds an event at the current revision to the history.
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

    /// Writes an object unconditionally; an unchanged spec keeps its revision and causes no event.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Value {
        let key = (kind.into(), name.into());
        let current = self.objects.borrow().get(&key).cloned();
        if let Some(current) = &current
            && current["spec"] == *spec
        {
            return current.clone();
        }
        self.make_copy();
        self.revision.set(self.revision.get() + 1);
        let object = json!({
            "meta": {"name": name, "revision": self.revision.get(), "finalizers": []},
            "spec": spec, "status": null
        });
        self.objects.borrow_mut().insert(key, object.clone());
        self.record_event(kind, &object, false);
        object
    }

    /// Writes an object if its current revision is `revision`, or creates it when that is `None`.
    ///
    /// # Errors
    /// [`PutError::Conflict`] when the object exists and `revision` is `None` or another one,
    /// [`PutError::NotFound`] when a revision is given for an object that does not exist.
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

    /// Removes an object if its current revision is `revision`, or `None` is given; returns it.
    ///
    /// # Errors
    /// Those of `put_if_revision`.
    pub fn remove_if_revision(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
    ) -> Result<Value, PutError> {
        let object = self.get(kind, name).ok_or(PutError::NotFound)?;
        if revision.is_some_and(|wanted| object["meta"]["revision"] != wanted) {
            return Err(PutError::Conflict(object));
        }
        self.remove(kind, name);
        Ok(object)
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let key = (kind.into(), name.into());
        self.make_copy();
        let removed = self.objects.borrow_mut().remove(&key);
        if let Some(object) = removed {
            self.revision.set(self.revision.get() + 1);
            self.record_event(kind, &object, true);
        }
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.into(), name.into());
        self.objects.borrow().get(&key).cloned()
    }

    /// All objects of a kind, with the revision of the store.
    pub fn list(&self, kind: &str) -> Value {
        let objects = self.objects.borrow();
        let items: Vec<&Value> = objects
            .iter()
            .filter(|(key, _)| &*key.0 == kind)
            .map(|(_, object)| object)
            .collect();
        json!({"items": items, "has_more": false, "store_revision": self.revision.get()})
    }

    /// Events of a kind after a revision; `None` when some of them may have been dropped, or the
    /// store does not have the revision.
    pub fn events_since(&self, kind: &str, revision: u64) -> Option<Value> {
        if revision < self.compacted_revision.get() || revision > self.revision.get() {
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
