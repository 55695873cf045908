//! What an owner does for a member: connection pool, admission, freshness preconditions,
//! confirmation of writes, and status reports.

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

pub use admission::AdmissionQueue;
pub use cancel::CancelRegistry;
pub use control::ControlConn;
pub use pinned::PinnedConns;
pub use pool::Pool;
pub use position_samples::PositionSamples;
pub use probe::{MemberProbe, heartbeat};
pub use run::{may_commit, refusal};
