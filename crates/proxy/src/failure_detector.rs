//! Decides when a group needs a new primary.

use std::fmt;

use base::Ms;

/// Time for which connections must be refused or closed before the primary counts as lost, in ms.
const REFUSED_TIMEOUT_MS: u64 = 150;
/// Time without an answer after which a primary that accepts no new connection either counts as
/// lost, in ms.
const SILENCE_TIMEOUT_MS: u64 = 800;
/// Time without any primary after which one is promoted, in ms.
const NO_PRIMARY_TIMEOUT_MS: u64 = 700;
/// Time for which writes must be stalled before the primary is replaced, in ms.
const STALLED_WRITE_TIMEOUT_MS: u64 = 1200;

/// State of a group's primary as observed by one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryHealth {
    /// Whether a member reports that it is the primary of the newest term, or is listed as primary
    /// and has no valid probe result.
    pub has_primary: bool,
    /// When a primary was last known; counts only while `has_primary` is false. `None` if no member
    /// has been listed yet.
    pub no_primary_since: Option<Ms>,
    /// Whether a listed member that is not known to be unreachable has no valid probe result.
    pub role_unknown: bool,
    /// Whether a listed member has reported that it is fenced, so that a primary change is probably
    /// in progress.
    pub change_in_progress: bool,
    /// Whether the platform lists the primary as leaving.
    pub draining: bool,
    /// Whether the platform no longer lists the primary.
    pub removed: bool,
    /// Since when connections to the primary fail; `None` while they succeed.
    pub unreachable_since: Option<Ms>,
    /// Whether connections to the primary are refused or closed rather than unanswered.
    pub conns_refused: bool,
    /// When the oldest write or commit that awaits its answer was sent.
    pub oldest_write: Option<Ms>,
    /// Number of listed members that are reachable and have been probed, less one for the primary
    /// even if it is not among them.
    pub replicas: usize,
}

/// Why a group needs a new primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailoverCause {
    /// The platform lists the primary as leaving.
    Draining,
    /// The platform no longer lists the primary.
    Gone,
    /// The primary refuses or closes connections.
    Refused,
    /// The primary does not answer.
    Silent,
    /// No member is primary.
    Missing,
    /// A write has been stalled for too long, probably because the primary cannot reach its
    /// replicas.
    Stuck,
    /// There is a primary, but an order to promote another member may still take effect.
    Unfinished,
}

impl fmt::Display for FailoverCause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let text = match self {
            FailoverCause::Draining => "draining",
            FailoverCause::Gone => "gone",
            FailoverCause::Refused => "refused",
            FailoverCause::Silent => "silent",
            FailoverCause::Missing => "missing",
            FailoverCause::Stuck => "stuck",
            FailoverCause::Unfinished => "unfinished",
        };
        f.write_str(text)
    }
}

/// Returns why the primary must be replaced, if it must.
///
/// A slow primary still accepts connections, so it is replaced only if a write awaits its answer
/// for `STALLED_WRITE_TIMEOUT_MS`.
pub fn detect_failure(health: &PrimaryHealth, now: Ms) -> Option<FailoverCause> {
    let lasted = |since: Ms| now.0.saturating_sub(since.0);
    if !health.has_primary {
        let certain = !health.role_unknown && health.replicas >= 1;
        let since = health.no_primary_since;
        let is_over = since.is_some_and(|since| lasted(since) >= NO_PRIMARY_TIMEOUT_MS);
        return (certain && is_over).then_some(FailoverCause::Missing);
    }
    if health.removed {
        return Some(FailoverCause::Gone);
    }
    if health.draining {
        return Some(FailoverCause::Draining);
    }
    if let Some(since) = health.unreachable_since {
        if health.conns_refused && lasted(since) >= REFUSED_TIMEOUT_MS {
            return Some(FailoverCause::Refused);
        }
        if lasted(since) >= SILENCE_TIMEOUT_MS {
            return Some(FailoverCause::Silent);
        }
    }
    let stuck = health
        .oldest_write
        .is_some_and(|since| lasted(since) >= STALLED_WRITE_TIMEOUT_MS);
    (stuck && health.replicas >= 2).then_some(FailoverCause::Stuck)
}
