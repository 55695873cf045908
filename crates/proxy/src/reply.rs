//! What a caller is told, and what a member said.

use schema::Pos;

/// Every kind of error that a caller can be told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorKind {
    /// No capacity; nothing was run or kept.
    Busy,
    /// The transaction was ended; nothing of it is kept.
    Aborted,
    /// No replica is fresh enough; nothing was run.
    Behind,
    /// The member is no primary; nothing was run.
    NotPrimary,
    /// Another member answers at the address; nothing was run.
    WrongMember,
    /// Too many connections; nothing was run.
    TooMany,
    /// The outcome is unknown.
    InDoubt,
    /// The time is over; the statement may have run.
    TimedOut,
    /// The member failed while running it.
    Failed,
    /// The member does not know the prepared name; nothing was run.
    NoStatement,
    /// No such database.
    NoDatabase,
    /// The caller may not.
    Denied,
    /// The message is too large.
    TooLarge,
    /// The message cannot be understood.
    Malformed,
}

impl ErrorKind {
    /// Whether a member that answers with this kind has certainly not run the statement.
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

/// Where a session stands between statements.
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
    /// It ran; the text is the member's signature, or empty when no member was asked.
    Done(Box<str>),
    /// It failed.
    Error(ErrorKind, Box<str>),
}

/// The whole answer to one statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Rows, as the member sent them.
    pub rows: Vec<Box<str>>,
    /// How it ended.
    pub end: ReplyEnd,
    /// Where the session stands now.
    pub state: TxState,
    /// Position of the member's log.
    pub pos: Option<Pos>,
    /// Whether it answers the greeting of a session, which has an answer of its own form.
    pub is_handshake: bool,
}

impl Reply {
    /// A success without a member's part.
    pub fn ok() -> Reply {
        Reply::ended(ReplyEnd::Done(Box::from("")))
    }

    /// The answer to a greeting.
    pub fn handshake_ok() -> Reply {
        Reply {
            is_handshake: true,
            ..Reply::ok()
        }
    }

    /// The answer to a greeting that is not taken.
    pub fn refusal(kind: ErrorKind, text: &str) -> Reply {
        Reply {
            is_handshake: true,
            ..Reply::error(kind, text)
        }
    }

    /// An error without rows.
    pub fn error(kind: ErrorKind, text: &str) -> Reply {
        Reply::ended(ReplyEnd::Error(kind, text.into()))
    }

    fn ended(end: ReplyEnd) -> Reply {
        Reply {
            rows: Vec::new(),
            end,
            state: TxState::Idle,
            pos: None,
            is_handshake: false,
        }
    }

    /// The kind of error, if it failed.
    pub fn error_kind(&self) -> Option<ErrorKind> {
        match &self.end {
            ReplyEnd::Done(_) => None,
            ReplyEnd::Error(kind, _) => Some(*kind),
        }
    }
}

/// One message of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyPart {
    /// A row.
    Row(Box<str>),
    /// The statement ended.
    End(ReplyEnd),
    /// The member waits for the next statement.
    Ready(TxState, Option<Pos>),
}
