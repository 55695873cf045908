//! HTTP between daemons with `MessagePack` bodies, and plain HTTP to the platform.
//!
//! Every failed call reports whether the request may have left this process, because a request that
//! must not run twice may be repeated only if it was not sent. This crate never retries by itself.

mod client;
mod server;
mod single_call;

pub use client::{Answer, CallError, Client, Conn, HELLO_PATH};
pub use server::{Call, Handler, StatusAndBody, decode, encode, serve};
pub use single_call::SingleCall;
