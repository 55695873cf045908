//! What the daemons of a fleet share: who is there, who works for what, which configuration holds.
//!
//! Work is shared out by rendezvous hashing over a list that may be wrong at any time. Two daemons
//! may believe that they hold the same work; nothing here may be relied on for safety.

mod held;
mod patch;
mod rendezvous;
mod roster;
mod store;
mod tree;

pub use held::{Held, Holdings, Offer};
pub use patch::{PatchError, apply_patch, delta, next_version};
pub use rendezvous::ranked;
pub use roster::{ROSTER_ITEM, Roster};
pub use store::{Store, StoreError, Stored};
pub use tree::{FAN_OUT, branches};
