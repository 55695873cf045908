//! Settings, configuration objects and messages, generated from `schema/*.yaml`, with their checks.
//!
//! The types carry no behaviour beyond checks and the table from error kind to answer, so that
//! every other crate can share them. This crate never depends on a runtime or a network.

mod answer;
mod check;
mod generated;
mod institution;
mod load;
mod pos;
mod window;

pub use answer::{Reply, reply};
pub use check::Fault;
pub use generated::messages::*;
pub use generated::objects::*;
pub use generated::settings::*;
pub use institution::{normalize, qualified};
pub use load::{LoadError, load_gateway, load_settings};
pub use serde_bytes::ByteBuf;
