//! The frontend: callers' sessions, what their requests are, and where each goes.

mod accept;
mod assemble;
mod call;
mod local;
mod plan;
mod read;
mod session;
mod sessions;
mod transaction;
mod write;

pub use accept::accept;
pub use plan::RequestPlan;
pub use sessions::{Sessions, cancel_pid};
