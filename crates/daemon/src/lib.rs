//! The daemon: one process of the fleet, equal to all others.
//!
//! - `frontend` talks to callers and decides where a request goes.
//! - `upstream` holds connections to members and answers for what runs on them.
//! - `failover` changes a group's primary.
//! - `config_sync` spreads configuration and the list of VMs.
//!
//! Everything runs on one thread; tasks share state through `Rc`. A borrow of shared state never
//! lives across an await point.

mod cluster;
mod config_sync;
mod failover;
mod frontend;
mod internal;
mod join;
mod leader;
mod serve;
mod state;
mod stats;
mod upstream;

pub use serve::serve;
