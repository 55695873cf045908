//! What a daemon knows of the stop of another VM.

use base::Ms;

/// Time that an owner's answer has for its way to the caller's daemon, in ms.
const ANSWER_DELIVERY_MS: u64 = 100;

/// The announcement of another VM that it stops.
#[derive(Clone, Copy, Debug)]
pub struct StopNotice {
    /// When it was last received.
    pub at: Ms,
    /// When answers must be on their way to that VM at the latest, if it has told that.
    pub answer_by: Option<Ms>,
}

impl StopNotice {
    /// A notice that has just been received; `answer_within_ms` is for how long the VM can still pass on
    /// answers.
    pub fn new(answer_within_ms: Option<u64>) -> StopNotice {
        let now = Ms::now();
        let answer_by = |ms: u64| now.plus(ms.saturating_sub(ANSWER_DELIVERY_MS));
        StopNotice {
            at: now,
            answer_by: answer_within_ms.map(answer_by),
        }
    }
}
