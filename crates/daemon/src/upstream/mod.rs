//! The home of a member: connections, proofs of position, confirmation of writes.

mod admission;
mod cancel;
mod confirm;
mod control;
mod freshness;
mod idempotency;
mod pinned;
mod pool;
mod position_samples;
mod probe;
mod run;

pub use admission::Gate;
pub use cancel::Cancels;
pub use control::Control;
pub use pinned::Leases;
pub use pool::Pool;
pub use position_samples::Marks;
pub use probe::{Watch, heartbeat};
pub use run::{may_commit, refusal};
