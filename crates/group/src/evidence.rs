//! Whether what is seen of a group suffices for a change of primary.

use crate::MemberReport;
use crate::rules::majority;

/// What a probe of one member found.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// It reported.
    Report(MemberReport),
    /// Its process is gone: connections are refused or closed at once.
    Refused,
    /// It did not answer in time.
    Silent,
}

/// How long a primary must have been silent towards its replicas, in ms.
#[derive(Clone, Copy, Debug)]
pub struct FailureThresholds {
    /// When its address refuses connections.
    pub refused_ms: u64,
    /// When it does not answer.
    pub silent_ms: u64,
    /// When it answers but its replicas do not hear it.
    pub cut_ms: u64,
}

/// What follows from the evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// A majority has lost the primary, for the reason given.
    Change(&'static str),
    /// The primary stays, for the reason given.
    Keep(&'static str),
}

/// The reports among what was seen.
fn reports_of(seen: &[ProbeOutcome]) -> impl Iterator<Item = &MemberReport> {
    seen.iter().filter_map(|s| {
        if let ProbeOutcome::Report(r) = s {
            Some(r)
        } else {
            None
        }
    })
}

/// Whether a member leads the newest term seen.
pub fn has_leader(seen: &[ProbeOutcome]) -> bool {
    let newest = reports_of(seen).map(|r| r.term).max();
    reports_of(seen).any(|r| r.leads && Some(r.term) == newest)
}

/// Judges what was seen of all members.
///
/// A change needs a majority of members that report, each by itself, that they do not hear a
/// primary. One member or one data centre alone never suffices.
pub fn evaluate(seen: &[ProbeOutcome], silence: FailureThresholds) -> Decision {
    let reports = || reports_of(seen);
    let Some(term) = reports().map(|r| r.term).max() else {
        return Decision::Keep("no member reports");
    };
    let need = majority(seen.len());
    let leads = has_leader(seen);
    let (limit, why) = match (leads, seen.contains(&ProbeOutcome::Refused)) {
        (true, _) => (
            silence.cut_ms,
            "the primary answers but its replicas do not hear it",
        ),
        (false, true) => (silence.refused_ms, "the primary refuses connections"),
        (false, false) => (silence.silent_ms, "the primary does not answer"),
    };
    let lost = reports()
        .filter(|r| !(r.leads && r.term == term) && r.contact_ms >= limit)
        .count();
    if lost >= need {
        return Decision::Change(why);
    }
    if reports().count() < need {
        return Decision::Keep("fewer than a majority of members report");
    }
    Decision::Keep("too few members have lost the primary for long enough")
}
