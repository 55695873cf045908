//! Tests of the errors that callers get.

use schema::{Outcome, Reason, error_reply, reason_after_unknown};

/// Reasons with which the search for a primary may end, and two that are no refusal.
const REASONS: [Reason; 12] = [
    Reason::NoPrimary,
    Reason::NotPrimary,
    Reason::Behind,
    Reason::Overload,
    Reason::Deadline,
    Reason::NoHome,
    Reason::Leaving,
    Reason::NoConfig,
    Reason::KeyFailed,
    Reason::Cancelled,
    Reason::LostLink,
    Reason::Unconfirmed,
];

/// Guards against a caller that repeats a write because it was told that it had not run, though an
/// earlier attempt may have.
#[test]
fn nothing_is_said_not_to_have_run_after_an_unknown_outcome() {
    for reason in REASONS {
        let after = error_reply(reason_after_unknown(reason));
        assert_eq!(after.outcome, Outcome::Unknown, "{reason:?}");
        assert!(!after.text.contains("not run"), "{reason:?}");
    }
    assert_eq!(reason_after_unknown(Reason::None), Reason::None);
}
