//! The `PostgreSQL` wire protocol: server side towards callers, client side towards upstreams.
//!
//! Messages are encoded and decoded with library types; frames that are passed through unchanged
//! are not decoded. Routing and retry decisions are made elsewhere.

mod batch;
mod caller;
mod frame;
mod login;
mod upstream;

pub use batch::{Collector, Progress, encode_batch};
pub use caller::{Caller, StartupRequest, error_frame, read_parse};
pub use frame::{Frame, FrameError, frames, put_frame};
pub use link::{BufferedStream, Transport};
pub use login::Verifier;
pub use upstream::{
    BarrierRow, BatchJob, BatchResult, Login, Upstream, UpstreamError, cancel, row_values,
};
