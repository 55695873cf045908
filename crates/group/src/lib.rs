//! The decisions about a database group: who may acknowledge a write, who leads, who is promoted.
//!
//! Safety rests on terms that a majority of members grant, never on a clock, a lease or the
//! platform. The functions here are pure; this crate never depends on a network or a runtime.

mod control;
mod evidence;
mod member;
mod rules;

pub use control::{MemberControl, sql_functions};
pub use evidence::{Decision, FailureThresholds, ProbeOutcome, evaluate, has_leader};
pub use member::MemberReport;
pub use rules::{choose_candidate, confirmed, majority, verified};
