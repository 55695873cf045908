//! HTTP between daemons with `MessagePack` bodies, and plain HTTP to the platform.
//!
//! A failed call always tells whether the request can have left this process, because a request
//! that may not be repeated depends on it. This crate never repeats a request by itself.

mod client;
mod server;

pub use client::{CallError, Client, Conn, HELLO};
pub use server::{Call, Handler, Served, decode, encode, serve};
