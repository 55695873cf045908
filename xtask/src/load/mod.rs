//! Callers as a person's program would be: an ordinary `PostgreSQL` client, with what it was told.

mod caller;
mod check;
mod fleet;

pub use caller::{Caller, Told};
pub use check::{Audit, audit, audit_of};
pub use fleet::{LATENCY_MAX, Load, Mix, run};
