//! The daemon process. All daemons of a fleet run the same code and have equal roles.
//!
//! - `frontend` serves callers and routes their requests.
//! - `upstream` serves the members that this daemon owns, that is, to which it holds the
//!   connections, and runs batches on them.
//! - `failover` changes the primary of a group.
//! - `primary_search` asks other daemons for the primary of a group.
//! - `config_sync` distributes the configuration and the list of VMs.
//! - `internal` handles the calls of other daemons, operators and load balancers.
//! - `cluster` is the state of each group and member, `state` that of the whole daemon.
//! - `stats` keeps counts for reports and sends metrics.
//! - `join` has helpers for concurrent calls, timeouts and sleeping.
//! - `serve` starts the daemon and shuts it down.
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
