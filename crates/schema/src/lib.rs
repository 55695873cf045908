//! Types of settings, configuration objects and messages, generated from `schema/*.yaml`, and their
//! validation.
//!
//! Most other crates use these types, so this crate contains little behaviour besides validation,
//! the merging of counters and the mapping of errors to replies, and must not depend on an async
//! runtime or on networking.

mod answer;
mod check;
mod generated;
mod institution;
mod load;
mod millis;
mod pos;
mod window;

pub use answer::{ErrorReply, error_reply, reason_after_unknown};
pub use check::ValidationError;
pub use generated::messages::*;
pub use generated::objects::*;
pub use generated::settings::*;
pub use institution::{normalize, qualified};
pub use load::{LoadError, load_gateway, load_settings};
pub use serde_bytes::ByteBuf;
