//! Foundations of all crates: the clock, signals between tasks, numbered log events and metric
//! names.
//!
//! This crate has no dependency on databases, networks or settings.

mod clock;
mod event;
mod generated;
mod signal;

pub use clock::Ms;
pub use event::{Field, emit};
pub use generated::events::{Event, Level};
pub use generated::metrics::Metric;
pub use signal::Signal;
