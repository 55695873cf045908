//! The frontend: serves callers' sessions, classifies their requests and routes each one to a
//! member.

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
