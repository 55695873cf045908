//! When a group needs a new primary.

use std::fmt;

use base::Ms;

/// Time that refused connections must last before the primary counts as lost, in ms.
const REFUSED_MS: u64 = 150;
/// Silence after which a primary counts as lost when it takes no new connection either, in ms.
const SILENT_MS: u64 = 800;
/// Time without any primary after which one is made, in ms.
const NONE_MS: u64 = 700;
/// Time that commits must hang, with the primary ahead of all replicas, in ms.
const STUCK_MS: u64 = 1200;

/// What a daemon sees of a group's primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryHealth {
    /// Whether any member says that it is the primary of the newest term.
    pub has_primary: bool,
    /// Since when no primary is known.
    pub no_primary_since: Ms,
    /// Whether a member that seems to be up has not said yet what it is.
    pub role_unknown: bool,
    /// Whether a member is fenced, so that a change of primary runs already.
    pub change_in_progress: bool,
    /// Whether the platform lists the primary as leaving.
    pub draining: bool,
    /// Whether the platform no longer lists the primary.
    pub removed: bool,
    /// Since when its connections fail.
    pub unreachable_since: Option<Ms>,
    /// Whether they are refused, rather than unanswered.
    pub conns_refused: bool,
    /// Since when writes wait while the primary answers other questions.
    pub oldest_write: Option<Ms>,
    /// Replicas that answer.
    pub replicas: usize,
}

/// Why a group needs a new primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailoverCause {
    /// It will leave.
    Draining,
    /// It has left the platform's list.
    Gone,
    /// It refuses connections.
    Refused,
    /// It does not answer.
    Silent,
    /// No member is primary.
    Missing,
    /// It cannot reach its replicas.
    Stuck,
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
        };
        f.write_str(text)
    }
}

/// Whether what is seen calls for a change of primary.
///
/// A primary that is only slow still takes connections, so it is never replaced for that.
pub fn detect_failure(sight: &PrimaryHealth, now: Ms) -> Option<FailoverCause> {
    let lasted = |since: Ms| now.0.saturating_sub(since.0);
    if !sight.has_primary {
        let certain = !sight.role_unknown && sight.replicas >= 1;
        return (certain && lasted(sight.no_primary_since) >= NONE_MS)
            .then_some(FailoverCause::Missing);
    }
    if sight.removed {
        return Some(FailoverCause::Gone);
    }
    if sight.draining {
        return Some(FailoverCause::Draining);
    }
    if let Some(since) = sight.unreachable_since {
        if sight.conns_refused && lasted(since) >= REFUSED_MS {
            return Some(FailoverCause::Refused);
        }
        if lasted(since) >= SILENT_MS {
            return Some(FailoverCause::Silent);
        }
    }
    let stuck = sight
        .oldest_write
        .is_some_and(|since| lasted(since) >= STUCK_MS);
    (stuck && sight.replicas >= 2).then_some(FailoverCause::Stuck)
}
