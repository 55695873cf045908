//! Decides from the probe outcomes of a group whether its primary has to be replaced.

use crate::MemberReport;
use crate::rules::majority;

/// Outcome of a health probe of one member.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// The member answered with a status report.
    Report(MemberReport),
    /// The connection failed with an I/O error other than a timeout; the process has probably
    /// ended.
    Refused,
    /// No valid answer arrived before the timeout.
    NoResponse,
}

/// Time without contact to the primary after which a replica counts as having lost it, in ms.
#[derive(Clone, Copy, Debug)]
pub struct FailureThresholds {
    /// Threshold that applies if no primary answers and any member refuses connections. In a group
    /// of three that member is the primary whenever a change follows: the change needs reports of
    /// two members that have lost it, and the third one refused.
    pub refused_ms: u64,
    /// Threshold that applies if no primary answers and no member refuses connections.
    pub silent_ms: u64,
    /// Threshold that applies if the primary answers probes, but its replicas may not hear from it.
    pub isolated_ms: u64,
}

/// Decision on the primary of a group, with its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The primary is replaced: a majority of members has had no contact with it for the threshold.
    Change(&'static str),
    /// The primary is not replaced.
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

/// Whether a member reports that it is the primary of the newest term among the reports.
pub fn has_primary(probes: &[ProbeOutcome]) -> bool {
    let newest_term = reports_of(probes).map(|r| r.term).max();
    reports_of(probes).any(|r| r.leads && Some(r.term) == newest_term)
}

/// Decides whether the primary is replaced, given one probe outcome per member.
///
/// A change requires that a majority of members each report the loss of the primary from their own
/// observation, so a minority of the members cannot cause one.
pub fn evaluate(probes: &[ProbeOutcome], thresholds: FailureThresholds) -> Decision {
    let reports = || reports_of(probes);
    let Some(term) = reports().map(|r| r.term).max() else {
        return Decision::Keep("no member reports");
    };
    let needed = majority(probes.len());
    let primary_answers = has_primary(probes);
    let (threshold_ms, reason) = match (primary_answers, probes.contains(&ProbeOutcome::Refused)) {
        (true, _) => (
            thresholds.isolated_ms,
            "the primary answers but its replicas do not hear it",
        ),
        (false, true) => (thresholds.refused_ms, "the primary refuses connections"),
        (false, false) => (thresholds.silent_ms, "the primary does not answer"),
    };
    let lost_count = reports()
        .filter(|r| !(r.leads && r.term == term) && r.contact_ms >= threshold_ms)
        .count();
    if lost_count >= needed {
        return Decision::Change(reason);
    }
    if reports().count() < needed {
        return Decision::Keep("fewer than a majority of members report");
    }
    Decision::Keep("too few members have lost the primary for long enough")
}
