//! Load generator: ordinary `PostgreSQL` clients, the outcomes reported to them, and an audit of
//! those outcomes.

mod audit;
mod caller;
mod generator;

pub use audit::{Audit, audit, audit_outcomes};
pub use caller::{Caller, Outcome};
pub use generator::{LoadStats, MAX_LATENCY_US, Workload, run};
