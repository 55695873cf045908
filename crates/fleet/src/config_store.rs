//! The newest version seen of every shared object.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::Signal;
use schema::{Digest, Institution, Item, KnownVersion};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::VM_LIST_ITEM;
use crate::patch::{apply_patch, delta};

/// One object in force.
#[derive(Debug)]
pub struct StoredObject {
    /// Version; never falls for a name.
    pub version: u64,
    /// The whole object.
    pub value: Value,
    /// The same, read; absent for objects that are not institutions.
    pub institution: Option<Rc<Institution>>,
}

/// What became of an offered object.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// It is in force now.
    Taken,
    /// The same version is in force already.
    Same,
    /// A newer version is in force.
    Older,
    /// Its base is not held; the whole object is needed.
    NeedsWhole,
    /// It does not pass the checks.
    Invalid(Box<str>),
}

/// All objects in force on this daemon.
#[derive(Debug, Default)]
pub struct ConfigStore {
    held: RefCell<BTreeMap<Box<str>, Rc<StoredObject>>>,
    hash: Cell<u64>,
    /// Notified when an object changes.
    pub changed: Signal,
}

impl ConfigStore {
    /// The object in force under a name.
    pub fn get(&self, name: &str) -> Option<Rc<StoredObject>> {
        self.held.borrow().get(name).cloned()
    }

    /// The institution of that name.
    pub fn institution(&self, name: &str) -> Option<Rc<Institution>> {
        self.get(name)?.institution.clone()
    }

    /// All institutions.
    pub fn institutions(&self) -> Vec<Rc<Institution>> {
        self.held
            .borrow()
            .values()
            .filter_map(|h| h.institution.clone())
            .collect()
    }

    /// Takes an object if it is newer than the one in force.
    pub fn offer(&self, item: &Item) -> OfferOutcome {
        let held = self.get(&item.name);
        let version = held.as_ref().map_or(0, |h| h.version);
        if item.version < version {
            return OfferOutcome::Older;
        }
        if item.version == version && held.is_some() {
            return OfferOutcome::Same;
        }
        let value = if item.from == 0 {
            serde_json::from_str(&item.text).map_err(|e| e.to_string())
        } else {
            let Some(base) = held.filter(|h| h.version == item.from) else {
                return OfferOutcome::NeedsWhole;
            };
            apply_patch(&base.value, &item.text).map_err(|e| e.to_string())
        };
        match value.and_then(|value| self.put(&item.name, item.version, value)) {
            Ok(()) => OfferOutcome::Taken,
            Err(text) => OfferOutcome::Invalid(text.into()),
        }
    }

    fn put(&self, name: &str, version: u64, value: Value) -> Result<(), String> {
        let institution = if name == VM_LIST_ITEM {
            None
        } else {
            let read: Institution =
                serde_json::from_value(value.clone()).map_err(|e| e.to_string())?;
            if let Some(fault) = read.faults().first() {
                return Err(fault.to_string());
            }
            if *read.name != *name {
                return Err(format!(
                    "the object {name:?} holds institution {:?}",
                    read.name
                ));
            }
            if read.version != version {
                return Err(format!(
                    "the object says version {}, expected {version}",
                    read.version
                ));
            }
            Some(Rc::new(read))
        };
        let held = Rc::new(StoredObject {
            version,
            value,
            institution,
        });
        self.held.borrow_mut().insert(name.into(), held);
        let names = self.held.borrow();
        let text: String = names
            .iter()
            .map(|(n, h)| format!("{n}\0{}\0", h.version))
            .collect();
        self.hash.set(xxh3_64(text.as_bytes()));
        drop(names);
        self.changed.notify();
        Ok(())
    }

    /// The object as an item, whole or as a change of version `from` when `base` is given.
    pub fn item(&self, name: &str, base: Option<&StoredObject>) -> Option<Item> {
        let held = self.get(name)?;
        let (from, text) = match base {
            Some(base) => (base.version, delta(&base.value, &held.value)),
            None => (0, held.value.to_string().into()),
        };
        Some(Item {
            name: name.into(),
            version: held.version,
            from,
            text,
        })
    }

    /// Versions in force.
    pub fn versions(&self) -> Vec<KnownVersion> {
        let held = self.held.borrow();
        let known = held.iter().map(|(n, h)| KnownVersion {
            name: n.clone(),
            version: h.version,
        });
        known.collect()
    }

    /// What to send to a random peer: the hash alone, or the versions as well.
    pub fn digest(&self, whole: bool) -> Digest {
        Digest {
            hash: self.hash.get(),
            versions: if whole { self.versions() } else { Vec::new() },
        }
    }

    /// Objects that are newer here than in a peer's versions, and names that are older here.
    pub fn compare(&self, theirs: &[KnownVersion]) -> (Vec<Item>, Vec<Box<str>>) {
        let version = |name: &str| {
            theirs
                .iter()
                .find(|k| *k.name == *name)
                .map_or(0, |k| k.version)
        };
        let mine = self.versions();
        let newer = mine.iter().filter(|k| k.version > version(&k.name));
        let items = newer.filter_map(|k| self.item(&k.name, None)).collect();
        let held = |name: &str| {
            mine.iter()
                .find(|k| *k.name == *name)
                .map_or(0, |k| k.version)
        };
        let wanted = theirs
            .iter()
            .filter(|k| k.version > held(&k.name))
            .map(|k| k.name.clone());
        (items, wanted.collect())
    }
}
