//! Why a primary change stops, and when the next one begins.

use quick_error::quick_error;

quick_error! {
    /// Why a primary change was aborted.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum AbortReason {
        /// A departed member may have taken commits along that no listed member has. Without the
        /// last primary, only an operator can give them up.
        Departed(id: Box<str>) {
            display("member {id} may have left with acknowledged commits")
        }
        Unfenced { answered: usize, all: usize } {
            display("{answered} of {all} members could be fenced")
        }
        /// Until that is settled, no other member may be promoted.
        Outstanding(id: Box<str>) {
            display("an earlier order to promote {id} may still take effect")
        }
        /// Until it was answered or counts as lost, a later token could overtake it.
        OnWay(holder: Box<str>) {
            display("an order of {holder} may be on its way to the platform")
        }
        /// A restore of the store may have undone the record of an order.
        UnknownOrder {
            display("an order of before the store was restored may still take effect")
        }
        /// Another daemon may have one.
        NoPath {
            display("the platform cannot be reached to order a promotion")
        }
        Step(text: &'static str) { from() display("{text}") }
    }
}

/// Delay after the first aborted change of a series, in ms.
const MIN_DELAY_MS: u64 = 300;
/// Longest delay after an aborted change, in ms; well below the time that callers wait for a group
/// whose members have just come back.
const MAX_DELAY_MS: u64 = 1200;
/// Longest delay while a departed member stops all changes, in ms. Only a member that comes back, or
/// an operator, ends that.
const MAX_BLOCKED_DELAY_MS: u64 = 5000;

/// The aborted changes of a group since its last primary.
#[derive(Clone, Debug, Default)]
pub struct AbortSeries {
    last: Option<AbortReason>,
    delay_ms: u64,
}

impl AbortSeries {
    /// Records an aborted change; returns whether its reason is new in the series.
    pub fn record(&mut self, reason: &AbortReason) -> bool {
        let is_new = self.last.as_ref() != Some(reason);
        let max_ms = if self.is_blocked_by(reason) {
            MAX_BLOCKED_DELAY_MS
        } else {
            MAX_DELAY_MS
        };
        self.delay_ms = if is_new {
            MIN_DELAY_MS
        } else {
            (self.delay_ms * 2).min(max_ms)
        };
        self.last = Some(reason.clone());
        is_new
    }

    fn is_blocked_by(&self, reason: &AbortReason) -> bool {
        matches!(reason, AbortReason::Departed(_))
    }

    /// Delay before the next change, in ms.
    pub fn delay_ms(&self) -> u64 {
        self.delay_ms
    }

    /// Whether only an operator, or a member that comes back, can end the series.
    pub fn is_blocked(&self) -> bool {
        self.last.as_ref().is_some_and(|r| self.is_blocked_by(r))
    }
}
