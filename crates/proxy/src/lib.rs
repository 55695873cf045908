//! Serves callers' sessions from groups of replicated databases.
//!
//! Decisions (`lease`, `history`, `queue`, `place`, `suspect`) are plain functions of what is known
//! and of an instant; everything that reads or writes a socket calls them. No wire protocol and no
//! platform is named here: both come in as structs of functions.

mod codec;
mod config_push;
mod conn;
mod exec;
mod failover;
mod failure_detector;
mod group;
mod handshake;
mod health_check;
mod history;
mod lag_backoff;
mod lease;
mod member;
mod member_record;
mod ownership;
mod queue;
mod reply;
mod routing;
mod session;
mod state;
mod statement;
mod stats;
mod transaction;
pub mod tunnel;

pub use codec::{Command, Dialect, Hello, Role, Status, WireError};
pub use conn::{Conn, Lost};
pub use failure_detector::{Cause, Sight, suspect};
pub use group::Group;
pub use handshake::serve;
pub use history::History;
pub use lag_backoff::Behind;
pub use lease::{Lease, Word, renew_ms};
pub use member::{Key, Member};
pub use member_record::Entry;
pub use ownership::{Candidate, homes};
pub use queue::{Rank, predicted_wait};
pub use reply::{End, ErrorKind, Part, Reply, TxState};
pub use schema::{Config, Freshness, GroupRule, Route};
pub use state::{Call, Orders, Promotion, Proxy, Settings, Token};
pub use statement::{Plan, Request, Statement, Verb};
pub use stats::{Labels, Outcome, Place, Stats};
