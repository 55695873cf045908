//! The daemon: a process of the fleet, with the same role as every other.
//!
//! - `frontend` serves callers and routes their requests.
//! - `upstream` is the owner side: it holds the connections to members and runs batches on them.
//! - `failover` changes the primary of a group.
//! - `config_sync` distributes the configuration and the list of VMs.
//!
//! Everything runs on one thread; tasks share state through `Rc`. No borrow of a `RefCell` is held
//! across an await point.

mod cluster;
mod config_sync;
mod failover;
mod frontend;
mod internal;
mod join;
mod primary_search;
mod serve;
mod state;
mod stats;
mod upstream;

pub use serve::serve;
