//! Consensus rules of a database group: when a write may be acknowledged, when the primary is
//! replaced, and which member is promoted.
//!
//! Safety depends only on terms granted by a majority of members, never on a clock, a lease or the
//! platform. All functions are pure; the crate depends on no network and no runtime.

mod control;
mod evidence;
mod member;
mod rules;

pub use control::{MemberControl, sql_functions};
pub use evidence::{Decision, FailureThresholds, ProbeOutcome, evaluate, has_primary};
pub use member::MemberReport;
pub use rules::{choose_candidate, confirmed, had_no_newer_term, majority};
