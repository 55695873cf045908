//! The daemon: one process of the fleet, equal to all others.
//!
//! - `entry` talks to callers and decides where a request goes.
//! - `home` holds connections to members and answers for what runs on them.
//! - `warden` changes a group's primary.
//! - `relay` spreads configuration and the list of VMs.
//!
//! Everything runs on one thread; tasks share state through `Rc`. A borrow of shared state never
//! lives across an await point.

mod cluster;
mod entry;
mod gather;
mod home;
mod internal;
mod leader;
mod relay;
mod serve;
mod state;
mod stats;
mod warden;

pub use serve::serve;
