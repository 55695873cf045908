//! Store of the newest known version of every shared object: the configuration of each institution,
//! and the list of VMs.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::Signal;
use schema::{Digest, Institution, Item, KnownVersion};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::VM_LIST_ITEM;
use crate::patch::{apply_patch, create_patch};

/// A shared object that is in force on this daemon.
#[derive(Debug)]
pub struct StoredObject {
    /// Version; it never decreases for a given name.
    pub version: u64,
    pub value: Value,
    /// The parsed value; `None` for the list of VMs.
    pub institution: Option<Rc<Institution>>,
}

/// Result of offering an object to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// The object is now in force.
    Applied,
    /// The same version was already in force.
    Current,
    /// A newer version is in force.
    Outdated,
    /// The base version of the patch is not in force, so the full object is needed.
    NeedsFullObject,
    /// The object cannot be parsed or fails validation.
    Invalid(Box<str>),
}

/// All objects in force on this daemon, by name.
#[derive(Debug, Default)]
pub struct ConfigStore {
    objects: RefCell<BTreeMap<Box<str>, Rc<StoredObject>>>,
    /// Hash over the names and versions of all objects; 0 while there are none.
    hash: Cell<u64>,
    /// Notified when an object changes.
    pub changed: Signal,
}

impl ConfigStore {
    /// Returns the object in force under a name.
    pub fn get(&self, name: &str) -> Option<Rc<StoredObject>> {
        self.objects.borrow().get(name).cloned()
    }

    /// Returns the institution with this name.
    pub fn institution(&self, name: &str) -> Option<Rc<Institution>> {
        self.get(name)?.institution.clone()
    }

    pub fn institutions(&self) -> Vec<Rc<Institution>> {
        self.objects
            .borrow()
            .values()
            .filter_map(|o| o.institution.clone())
            .collect()
    }

    /// Puts an object in force if it is valid and newer than the current one.
    pub fn offer(&self, item: &Item) -> OfferOutcome {
        let current = self.get(&item.name);
        let version = current.as_ref().map_or(0, |o| o.version);
        if item.version < version {
            return OfferOutcome::Outdated;
        }
        if item.version == version && current.is_some() {
            return OfferOutcome::Current;
        }
        let value = if item.from == 0 {
            serde_json::from_str(&item.text).map_err(|e| e.to_string())
        } else {
            let Some(base) = current.filter(|o| o.version == item.from) else {
                return OfferOutcome::NeedsFullObject;
            };
            apply_patch(&base.value, &item.text).map_err(|e| e.to_string())
        };
        match value.and_then(|value| self.put(&item.name, item.version, value)) {
            Ok(()) => OfferOutcome::Applied,
            Err(text) => OfferOutcome::Invalid(text.into()),
        }
    }

    fn put(&self, name: &str, version: u64, value: Value) -> Result<(), String> {
        let institution = if name == VM_LIST_ITEM {
            None
        } else {
            let institution: Institution =
                serde_json::from_value(value.clone()).map_err(|e| e.to_string())?;
            if let Some(error) = institution.validate().first() {
                return Err(error.to_string());
            }
            if *institution.name != *name {
                return Err(format!(
                    "the object {name:?} holds institution {:?}",
                    institution.name
                ));
            }
            if institution.version != version {
                return Err(format!(
                    "the object says version {}, expected {version}",
                    institution.version
                ));
            }
            Some(Rc::new(institution))
        };
        let object = Rc::new(StoredObject {
            version,
            value,
            institution,
        });
        self.objects.borrow_mut().insert(name.into(), object);
        let objects = self.objects.borrow();
        let text: String = objects
            .iter()
            .map(|(n, o)| format!("{n}\0{}\0", o.version))
            .collect();
        self.hash.set(xxh3_64(text.as_bytes()));
        drop(objects);
        self.changed.notify();
        Ok(())
    }

    /// Returns the object as an item: a patch against `base` if it is given, otherwise the full
    /// object.
    pub fn item(&self, name: &str, base: Option<&StoredObject>) -> Option<Item> {
        let object = self.get(name)?;
        let (from, text) = match base {
            Some(base) => (base.version, create_patch(&base.value, &object.value)),
            None => (0, object.value.to_string().into()),
        };
        Some(Item {
            name: name.into(),
            version: object.version,
            from,
            text,
        })
    }

    /// Returns the names and versions of all objects in force.
    pub fn versions(&self) -> Vec<KnownVersion> {
        let objects = self.objects.borrow();
        let known = objects.iter().map(|(n, o)| KnownVersion {
            name: n.clone(),
            version: o.version,
        });
        known.collect()
    }

    /// Returns the digest for gossip with a random peer: the hash and, if `full` is set, all
    /// versions.
    pub fn digest(&self, full: bool) -> Digest {
        Digest {
            hash: self.hash.get(),
            versions: if full { self.versions() } else { Vec::new() },
        }
    }

    /// Compares with the versions of a peer: returns the objects that are newer on this daemon, and
    /// the names of those that are newer on the peer.
    pub fn compare(&self, theirs: &[KnownVersion]) -> (Vec<Item>, Vec<Box<str>>) {
        let their_version = |name: &str| {
            theirs
                .iter()
                .find(|k| *k.name == *name)
                .map_or(0, |k| k.version)
        };
        let ours = self.versions();
        let newer = ours.iter().filter(|k| k.version > their_version(&k.name));
        let items = newer.filter_map(|k| self.item(&k.name, None)).collect();
        let our_version = |name: &str| {
            ours.iter()
                .find(|k| *k.name == *name)
                .map_or(0, |k| k.version)
        };
        let wanted = theirs
            .iter()
            .filter(|k| k.version > our_version(&k.name))
            .map(|k| k.name.clone());
        (items, wanted.collect())
    }
}
