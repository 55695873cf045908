//! Serves callers' sessions from groups of replicated databases.
//!
//! The decision modules (`authentication`, `lease`, `fence`, `history`, `queue`, `routing`, `failure_detector`,
//! `lag_backoff`, `ownership`, `conn_budget`, `throughput`, and those of `quota`) do no I/O: they compute results from the state and the instant that they are given,
//! and are called by the code that uses sockets. The crate depends on no wire protocol and on no
//! platform API: `Codec`, `FailoverApi` and `QuotaApi` supply both as structs of functions.

mod accounts;
mod authentication;
mod closing;
mod codec;
mod config_push;
mod configure;
mod conn;
mod conn_budget;
mod conn_entry;
mod conn_slot;
mod credential;
mod exec;
mod failover;
mod failover_api;
mod failure_detector;
mod fence;
mod fencing_token;
mod group;
mod handshake;
mod health_check;
mod history;
mod key_check;
mod lag_backoff;
mod lease;
mod member;
mod member_key;
mod member_record;
mod order_answer;
mod outcome;
mod owner_set;
mod ownership;
mod peers;
mod progress;
mod promotion_order;
mod queue;
mod quota;
mod quota_api;
mod reachability;
mod rehoming;
mod replica_record;
mod replica_recorder;
mod reply;
mod routing;
mod service_time;
mod session;
mod session_request;
mod settings;
mod shedding;
mod shutdown;
mod stand_in;
mod state;
mod statement;
mod stats;
mod stop_notice;
mod stop_schedule;
mod throughput;
mod transaction;
pub mod tunnel;

pub use accounts::{AccountKey, Accounts, Identity};
pub use authentication::{Denial, authenticate};
pub use codec::{Codec, Command, ConnectRequest, Role, Status, WireError};
pub use conn::{Conn, ConnError};
pub use conn_budget::{ConnBudget, ConnStep};
pub use conn_entry::{ConnEntry, ConnKey, ConnState, Purpose};
pub use conn_slot::ConnSlot;
pub use credential::Credential;
pub use failover::{AbortReason, AbortSeries};
pub use failover_api::{
    AsyncCall, BoxFuture, ChangeRecord, Claim, FailoverApi, LastPrimary, Leader, OrderConn,
    OrderedEnd, Promotion, RecordUpdate, Release,
};
pub use failure_detector::{FailoverCause, PrimaryHealth, detect_failure};
pub use fence::{Demotion, FenceHold, FenceReport};
pub use fencing_token::{FencingToken, fencing_token, token_era};
pub use group::{Group, RouteKey};
pub use handshake::serve;
pub use health_check::check_interval_ms;
pub use history::History;
pub use lag_backoff::LagBackoff;
pub use lease::{Lease, ProbeResult, renewal_interval_ms};
pub use member::Member;
pub use member_key::MemberKey;
pub use member_record::MemberRecord;
pub use order_answer::OrderAnswer;
pub use ownership::{Candidate, Placement, Ranking, owners, rank_owners};
pub use peers::{Peer, Peers};
pub use promotion_order::{OrderLog, PromotionOrder, settle};
pub use queue::{Rank, is_servable};
pub use quota::{
    AccountDemand, Admission, AskerKey, Bucket, BusiestAccounts, Charge, GRANT_TTL_MS, Holding,
    KEEPER_LEASE_MS, Keeper, KeeperLease, Limit, Loans, Quota, QuotaRules, RENEWAL_INTERVAL_MS,
    REQUEST_INTERVAL_MS, ShardKey, Start, Ticket,
};
pub use quota_api::{QuotaApi, Renewal, ShardClaim, ShardLock, ShardRecord};
pub use reachability::Reachability;
pub use replica_record::{ReplicaRecord, ReplicaRecordApi, ReplicaUpdate};
pub use reply::{ErrorKind, Reply, ReplyEnd, ReplyPart, TxState};
pub use routing::cost;
pub use schema::{Account, Config, Freshness, GroupRule, Route};
pub use service_time::ServiceTime;
pub use session_request::SessionRequest;
pub use settings::Settings;
pub use shedding::{Demand, admitted_parts};
pub use shutdown::shut_down;
pub use state::Proxy;
pub use statement::{PreparedStatement, Request, Statement, Verb};
pub use stats::{AccountLabels, Outcome, ReadLabels, StatementLabels, Stats};
pub use throughput::{Load, Throughput};
