//! Replies of members and replies to callers.

use schema::Pos;

/// Kind of an error reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorKind {
    /// No capacity; the statement was not run.
    Busy,
    /// The transaction was aborted; none of its writes are kept.
    Aborted,
    /// The member lacks the required position, or no position sample is fresh enough; the statement
    /// was not run.
    Behind,
    /// The member is not the primary; the statement was not run.
    NotPrimary,
    /// Another member than the expected one answered at the address; the statement was not run.
    WrongMember,
    /// Too many connections; the statement was not run.
    TooMany,
    /// The outcome is unknown: the write may or may not be kept.
    InDoubt,
    /// The deadline passed; the statement may have run.
    TimedOut,
    /// The member failed while running the statement.
    Failed,
    /// No statement was prepared under that name; nothing was run.
    NoStatement,
    /// No database of that name is configured.
    NoDatabase,
    /// The caller lacks the permission.
    Denied,
    /// The message exceeds the length limit.
    TooLarge,
    /// The message cannot be decoded, or is not allowed in the current state of the session.
    Malformed,
}

impl ErrorKind {
    /// Whether a member that replies with this kind has certainly not run the statement, so that a
    /// retry is safe.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            ErrorKind::Busy
                | ErrorKind::NoStatement
                | ErrorKind::Behind
                | ErrorKind::NotPrimary
                | ErrorKind::WrongMember
                | ErrorKind::TooMany
        )
    }
}

/// Transaction state of a session between statements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TxState {
    /// In no transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that has failed.
    Failed,
}

/// How a statement ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyEnd {
    /// Success, with the member's signature; empty when no member was involved.
    Done(Box<str>),
    /// Failure, with the text for the caller.
    Error(ErrorKind, Box<str>),
}

/// The complete reply to one statement or to a connect request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Rows, as the member sent them.
    pub rows: Vec<Box<str>>,
    pub end: ReplyEnd,
    /// Transaction state after the statement.
    pub state: TxState,
    /// Position of the member's log; `None` when unknown.
    pub pos: Option<Pos>,
    /// Whether it replies to the connect request, for which the wire format differs.
    pub is_handshake: bool,
}

impl Reply {
    /// A success in which no member was involved.
    pub fn ok() -> Reply {
        Reply::with_end(ReplyEnd::Done(Box::from("")))
    }

    /// The reply that accepts a connect request.
    pub fn handshake_ok() -> Reply {
        Reply {
            is_handshake: true,
            ..Reply::ok()
        }
    }

    /// The reply that refuses a connect request.
    pub fn refusal(kind: ErrorKind, text: &str) -> Reply {
        Reply {
            is_handshake: true,
            ..Reply::error(kind, text)
        }
    }

    /// An error reply without rows.
    pub fn error(kind: ErrorKind, text: &str) -> Reply {
        Reply::with_end(ReplyEnd::Error(kind, text.into()))
    }

    fn with_end(end: ReplyEnd) -> Reply {
        Reply {
            rows: Vec::new(),
            end,
            state: TxState::Idle,
            pos: None,
            is_handshake: false,
        }
    }

    /// Kind of the error, `None` for a success.
    pub fn error_kind(&self) -> Option<ErrorKind> {
        match &self.end {
            ReplyEnd::Done(_) => None,
            ReplyEnd::Error(kind, _) => Some(*kind),
        }
    }
}

/// One message from a member; several make up a reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyPart {
    Row(Box<str>),
    /// The statement succeeded or failed.
    End(ReplyEnd),
    /// End of the reply: the member is ready for the next statement. Carries its transaction state
    /// and log position.
    Ready(TxState, Option<Pos>),
}
