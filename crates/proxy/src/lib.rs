//! Serves callers' sessions from groups of replicated databases.
//!
//! Decisions (`lease`, `history`, `queue`, `place`, `suspect`) are plain functions of what is known
//! and of an instant; everything that reads or writes a socket calls them. No wire protocol and no
//! platform is named here: both come in as structs of functions.

mod answer;
mod behind;
mod conn;
mod dialect;
mod directory;
mod exec;
mod greet;
mod group;
mod history;
mod homes;
mod keeper;
mod lease;
mod member;
mod place;
mod queue;
mod relay;
mod session;
mod state;
mod statement;
mod stats;
mod suspect;
mod transaction;
pub mod tunnel;
mod warden;

pub use answer::{End, ErrorKind, Part, Reply, TxState};
pub use behind::Behind;
pub use conn::{Conn, Lost};
pub use dialect::{Command, Dialect, Hello, Role, Status, WireError};
pub use directory::Entry;
pub use greet::serve;
pub use group::Group;
pub use history::History;
pub use homes::{Candidate, homes};
pub use lease::{Lease, Word, renew_ms};
pub use member::{Key, Member};
pub use queue::{Rank, predicted_wait};
pub use schema::{Config, Freshness, GroupRule, Route};
pub use state::{Call, Orders, Promotion, Proxy, Settings, Token};
pub use statement::{Plan, Request, Statement, Verb};
pub use stats::{Labels, Outcome, Place, Stats};
pub use suspect::{Cause, Sight, suspect};
