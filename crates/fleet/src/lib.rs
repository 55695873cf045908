//! What the daemons of a fleet share: who is there, who works for what, which configuration holds.
//!
//! Work is shared out by rendezvous hashing over a list that may be wrong at any time. Two daemons
//! may believe that they hold the same work; nothing here may be relied on for safety.

mod config_store;
mod membership;
mod patch;
mod rendezvous;
mod store;
mod tree;

pub use config_store::{ConfigStore, OfferOutcome, StoredObject};
pub use membership::{Membership, VM_LIST_ITEM};
pub use patch::{PatchError, apply_patch, delta, next_version};
pub use rendezvous::ranked;
pub use store::{PlatformObject, PlatformStore, StoreError};
pub use tree::{FAN_OUT, branches};
