//! Decides from the probe outcomes of a group whether its primary has to be replaced.

use crate::MemberReport;
use crate::rules::majority;

/// Outcome of a health probe of one member.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// The member answered with a status report.
    Report(MemberReport),
    /// Connections are refused or closed at once, so the process has ended.
    Refused,
    /// No answer arrived in time, or the connection was lost.
    NoResponse,
}

/// Time without contact to the primary after which a replica counts towards a change, in ms.
#[derive(Clone, Copy, Debug)]
pub struct FailureThresholds {
    /// While the primary refuses connections.
    pub refused_ms: u64,
    /// While the primary does not answer probes.
    pub silent_ms: u64,
    /// While the primary answers probes but its replicas do not hear from it.
    pub isolated_ms: u64,
}

/// Decision on the primary of a group, with its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// A majority of members has lost the primary, so it is replaced.
    Change(&'static str),
    /// The primary stays.
    Keep(&'static str),
}

/// Status reports among the probe outcomes.
fn reports_of(probes: &[ProbeOutcome]) -> impl Iterator<Item = &MemberReport> {
    probes.iter().filter_map(|p| {
        if let ProbeOutcome::Report(r) = p {
            Some(r)
        } else {
            None
        }
    })
}

/// Whether a member reports that it leads the newest term among the reports.
pub fn has_leader(probes: &[ProbeOutcome]) -> bool {
    let newest_term = reports_of(probes).map(|r| r.term).max();
    reports_of(probes).any(|r| r.leads && Some(r.term) == newest_term)
}

/// Decides whether the primary is replaced, given one probe outcome per member.
///
/// A change requires that a majority of members each report the loss of the primary from their
/// own observation, so a single member or data centre cannot cause one.
pub fn evaluate(probes: &[ProbeOutcome], thresholds: FailureThresholds) -> Decision {
    let reports = || reports_of(probes);
    let Some(term) = reports().map(|r| r.term).max() else {
        return Decision::Keep("no member reports");
    };
    let needed = majority(probes.len());
    let leads = has_leader(probes);
    let (threshold_ms, why) = match (leads, probes.contains(&ProbeOutcome::Refused)) {
        (true, _) => (
            thresholds.isolated_ms,
            "the primary answers but its replicas do not hear it",
        ),
        (false, true) => (thresholds.refused_ms, "the primary refuses connections"),
        (false, false) => (thresholds.silent_ms, "the primary does not answer"),
    };
    let lost = reports()
        .filter(|r| !(r.leads && r.term == term) && r.contact_ms >= threshold_ms)
        .count();
    if lost >= needed {
        return Decision::Change(why);
    }
    if reports().count() < needed {
        return Decision::Keep("fewer than a majority of members report");
    }
    Decision::Keep("too few members have lost the primary for long enough")
}
