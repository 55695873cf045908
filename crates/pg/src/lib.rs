//! The `PostgreSQL` protocol on both sides: callers in front, upstreams behind.
//!
//! Messages are read and written with library types; frames that pass through unchanged are not
//! decoded. This crate never decides where a request goes or whether it may be repeated.

mod batch;
mod caller;
mod frame;
mod login;
mod upstream;

pub use batch::{Collector, Progress, encode};
pub use caller::{Caller, StartupRequest, error_frame, read_parse};
pub use frame::{Frame, FrameError, frames, put_frame};
pub use link::{BufferedStream, Transport};
pub use login::Verifier;
pub use upstream::{
    BarrierRow, BatchJob, BatchResult, Login, Upstream, UpstreamError, cancel, row_values,
};
