//! The record of a group's replicas: who may hold acknowledged commits, whether or not the platform
//! still lists it.
//!
//! A member confirms commits as soon as it receives the log, and takes them along when it leaves. A
//! daemon that starts later cannot see that from the members that are listed then. Therefore each
//! member is on record, in the platform's store, before a daemon that knows it acknowledges a write,
//! and stays there until the listed replicas are seen to hold what it may have confirmed.

use crate::{AsyncCall, Leader};

/// Members of a group that may hold acknowledged commits.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaRecord {
    /// Identifiers of the primary and of all members that were listed beside it and are not known to
    /// be without effect.
    pub members: Vec<Box<str>>,
    /// The primary of the newest term when the record was last written.
    pub leader: Option<Leader>,
}

/// What a daemon wants to be on record.
#[derive(Clone, Debug)]
pub struct ReplicaUpdate {
    pub group: Box<str>,
    /// Identifiers that must be on record.
    pub add: Vec<Box<str>>,
    /// Identifiers that need not be on record any more.
    pub remove: Vec<Box<str>>,
    /// The primary, if known.
    pub leader: Option<Leader>,
    /// Whether the record is read again first, since another daemon has probably written it.
    pub refresh: bool,
}

/// Calls on the records of replicas.
pub struct ReplicaRecordApi {
    /// Reads the record of a group; `Some(None)` if there is none, `None` when the call fails.
    pub read: AsyncCall<Box<str>, Option<Option<ReplicaRecord>>>,
    /// Brings the record of a group up to date and returns it; `None` when a call fails.
    pub update: AsyncCall<ReplicaUpdate, Option<ReplicaRecord>>,
    /// Era of the store. A record that was written in an earlier one may have been undone.
    pub era: Box<dyn Fn() -> u64>,
}
