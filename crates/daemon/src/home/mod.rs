//! The home of a member: connections, proofs of position, confirmation of writes.

mod cancel;
mod confirm;
mod control;
mod gate;
mod keyed;
mod lease;
mod marks;
mod pool;
mod prove;
mod run;
mod watch;

pub use cancel::Cancels;
pub use control::Control;
pub use gate::Gate;
pub use lease::Leases;
pub use marks::Marks;
pub use pool::Pool;
pub use run::{may_commit, refusal};
pub use watch::{Watch, heartbeat};
