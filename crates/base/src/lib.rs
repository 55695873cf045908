//! Utilities shared by the daemon crates: millisecond clock and sleep, notification of waiting tasks on one
//! thread, numbered log events and metric names.
//!
//! This crate has no dependency on databases, networks or settings.

mod clock;
mod event;
mod generated;
mod signal;
mod sleep;

pub use clock::Ms;
pub use event::{Field, emit};
pub use generated::events::{Event, Level};
pub use generated::metrics::Metric;
pub use signal::Signal;
pub use sleep::sleep_ms;
