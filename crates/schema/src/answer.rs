//! The table that maps each `Reason` to the error sent to the caller, and whether that error closes
//! the caller's connection.

use crate::{Outcome, Reason};

/// The error that a caller gets for a `Reason`, or the entry of `Reason::None` for success.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorReply {
    /// SQLSTATE of the error.
    pub code: &'static str,
    /// Whether the request ran, did not run, or may have run.
    pub outcome: Outcome,
    /// Default retry delay, in ms; 0 if no retry is advised.
    pub retry_ms: u64,
    /// Whether the caller's connection is closed.
    pub fatal: bool,
    /// Message of the error.
    pub text: &'static str,
}

/// An entry after which the caller's connection stays open.
const fn non_fatal(
    code: &'static str,
    outcome: Outcome,
    retry_ms: u64,
    text: &'static str,
) -> ErrorReply {
    ErrorReply {
        code,
        outcome,
        retry_ms,
        fatal: false,
        text,
    }
}

/// An error that closes the caller's connection. No request is outstanding, or it did not run.
const fn fatal(code: &'static str, retry_ms: u64, text: &'static str) -> ErrorReply {
    ErrorReply {
        code,
        outcome: Outcome::NotRun,
        retry_ms,
        fatal: true,
        text,
    }
}

/// The reason to report for a request that ended with `reason`, if an earlier attempt at it may have
/// run: none that says that the request was not run.
pub const fn reason_after_unknown(reason: Reason) -> Reason {
    match error_reply(reason).outcome {
        Outcome::NotRun => Reason::LostLink,
        Outcome::Done | Outcome::Unknown => reason,
    }
}

/// Returns the error that a caller gets for a reason; `Reason::None` gives the entry for success.
#[allow(clippy::too_many_lines)]
pub const fn error_reply(reason: Reason) -> ErrorReply {
    use Outcome::{Done, NotRun, Unknown};
    match reason {
        Reason::None => non_fatal("00000", Done, 0, "no error"),
        Reason::NoPrimary => non_fatal(
            "57P03",
            NotRun,
            500,
            "no primary is known; the request was not run",
        ),
        Reason::NotPrimary => non_fatal(
            "57P03",
            NotRun,
            100,
            "the primary has changed; the request was not run",
        ),
        Reason::Behind => non_fatal(
            "57P03",
            NotRun,
            100,
            "the replica is behind; the request was not run",
        ),
        Reason::Overload => non_fatal(
            "53400",
            NotRun,
            200,
            "too much work; the request was not run",
        ),
        Reason::Deadline => non_fatal(
            "57014",
            NotRun,
            200,
            "the deadline passed; the request was not run",
        ),
        Reason::NoConfig => fatal("57P03", 1000, "no configuration is known yet"),
        Reason::NoService => fatal("3D000", 0, "no such database service"),
        Reason::NoHome => non_fatal(
            "57P03",
            NotRun,
            500,
            "the member cannot be reached; the request was not run",
        ),
        Reason::Leaving => non_fatal(
            "57P01",
            NotRun,
            100,
            "the server is stopping; the request was not run",
        ),
        Reason::LostLink => non_fatal(
            "08007",
            Unknown,
            0,
            "the connection was lost; the outcome is unknown",
        ),
        Reason::LostTransaction => non_fatal(
            "40003",
            Unknown,
            0,
            "the connection was lost in a transaction; unless its COMMIT was under way it is rolled back",
        ),
        Reason::Unconfirmed => non_fatal(
            "08007",
            Unknown,
            0,
            "the write is not confirmed; the outcome is unknown",
        ),
        Reason::Crossed => non_fatal(
            "08007",
            Unknown,
            0,
            "the answer belonged to another request; the outcome is unknown",
        ),
        Reason::Stale => non_fatal(
            "57P03",
            NotRun,
            500,
            "no data of the accepted age can be reached; the request was not run",
        ),
        Reason::Auth => fatal("28P01", 0, "password authentication failed"),
        Reason::CallerLimit => fatal("53300", 1000, "too many connections"),
        Reason::TooLarge => fatal(
            "54000",
            0,
            "the message is too large; the request was not run",
        ),
        Reason::Protocol => fatal("08P01", 0, "the message is malformed or out of order"),
        Reason::Unsupported => non_fatal(
            "0A000",
            NotRun,
            0,
            "the statement would leave state on a shared connection; it was not run",
        ),
        Reason::KeyFailed => non_fatal(
            "57P03",
            NotRun,
            200,
            "the key could not be recorded; the request was not run",
        ),
        Reason::IdleTx => fatal(
            "25P03",
            0,
            "the transaction was idle for too long; it is rolled back",
        ),
        Reason::Cancelled => non_fatal(
            "57014",
            NotRun,
            0,
            "the request was cancelled before it ran",
        ),
        Reason::Startup => fatal("08P01", 0, "the start-up took too long"),
    }
}
