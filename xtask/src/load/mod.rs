//! Callers as a person's program would be: an ordinary PostgreSQL client, with what it was told.

mod caller;
mod check;
mod fleet;

pub use caller::{Caller, Told, told};
pub use check::{Audit, Record, audit};
pub use fleet::{Load, Mix, run};
