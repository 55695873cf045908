//! The phases of a planned stop, and when they begin.

use base::Ms;

/// Time that the load balancer needs to notice that a daemon is no longer ready.
const BALANCER_NOTICE_MS: u64 = 2500;
/// Part of the grace period, at its end, in which last answers are sent and reach the callers, in ms.
const LAST_ANSWERS_MS: u64 = 400;
/// Part of the grace period, at its end, reserved for the exit of the process, in ms.
const EXIT_MS: u64 = 100;
/// Time before the last answers in which sessions are ended inside transactions too, in ms: a statement
/// that arrived later would hardly be served.
const FORCED_END_WINDOW_MS: u64 = 900;

/// How far the stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    #[default]
    Serving,
    /// The daemon takes no sessions from other daemons, and is given time to leave the load balancer.
    Leaving,
    /// Sessions end as soon as they are between transactions.
    Draining,
    /// Sessions end inside transactions too, unless an answer is outstanding.
    Ending,
    /// Statements that are unanswered are given up, and answered by what was sent of them.
    Answering,
}

/// When the phases of a stop begin.
pub struct Schedule {
    draining: Ms,
    ending: Ms,
    pub answering: Ms,
    /// When the process ends at the latest.
    pub exit: Ms,
}

impl Schedule {
    /// The schedule of a daemon that is told to stop now and is killed after `grace_ms`. A transaction
    /// that is open then has the first half of that time.
    pub fn new(grace_ms: u64) -> Schedule {
        let now = Ms::now();
        let half_ms = grace_ms / 2;
        let answering_ms = grace_ms - LAST_ANSWERS_MS.min(grace_ms / 4);
        let ending_ms = answering_ms.saturating_sub(FORCED_END_WINDOW_MS);
        Schedule {
            draining: now.plus(BALANCER_NOTICE_MS.min(half_ms)),
            ending: now.plus(ending_ms.max(half_ms)),
            answering: now.plus(answering_ms),
            exit: now.plus(grace_ms - EXIT_MS.min(grace_ms / 16)),
        }
    }

    pub fn phase(&self, now: Ms) -> Phase {
        if now < self.draining {
            Phase::Leaving
        } else if now < self.ending {
            Phase::Draining
        } else if now < self.answering {
            Phase::Ending
        } else {
            Phase::Answering
        }
    }
}
