//! State shared by the daemons of a fleet: membership, assignment of work, and configuration.
//!
//! Work is assigned by rendezvous hashing over a list of VMs that may be out of date. Two daemons
//! may consider themselves responsible for the same work, so safety must not depend on this crate.

mod config_store;
mod membership;
mod patch;
mod rendezvous;
mod store;
mod tree;

pub use config_store::{ConfigStore, OfferOutcome, StoredObject};
pub use membership::{Membership, VM_LIST_ITEM};
pub use patch::{PatchError, apply_patch, create_patch, next_version};
pub use rendezvous::rank_candidates;
pub use store::{PlatformObject, PlatformStore, StoreError};
pub use tree::{FAN_OUT, branches};
