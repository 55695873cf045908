//! Callers as a person's program would be: an ordinary `PostgreSQL` client, with what it was told.

mod caller;
mod check;
mod fleet;

pub use caller::{Caller, Outcome};
pub use check::{Audit, audit, audit_outcomes};
pub use fleet::{LoadStats, MAX_LATENCY_US, Workload, run};
