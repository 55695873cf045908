//! Messages of a handed-off session that its owner has not answered.

use crate::{ErrorKind, Reply, Request, TxState, Verb};

/// A message that was passed to the owner and not answered yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Due {
    Connect,
    Statement {
        /// Identifier chosen by the caller.
        id: Box<str>,
        /// Whether it may change data.
        writes: bool,
    },
    /// It cannot be decoded, or is not allowed in a session.
    Malformed,
    /// The end of the session, which is not answered.
    Close,
}

impl Due {
    pub(super) fn of(request: &Request) -> Due {
        let statement = match request {
            Request::Run(statement) => statement,
            Request::Connect { .. } | Request::Unknown { .. } => return Due::Malformed,
            Request::Close => return Due::Close,
        };
        // What a prepared statement does is known to the owner only.
        let writes = matches!(
            statement.verb,
            Verb::Write | Verb::Commit | Verb::Execute { .. }
        );
        let id = statement.id.clone();
        Due::Statement { id, writes }
    }

    /// The reply where the owner's does not come, if there is any. That to a statement promises
    /// nothing, since the owner may have passed it on to a member.
    pub fn reply_without_owner(&self, state: TxState, text: &str) -> Option<Reply> {
        let kind = match self {
            Due::Connect => return Some(Reply::refusal(ErrorKind::Busy, text)),
            Due::Statement { writes: true, .. } => ErrorKind::InDoubt,
            Due::Statement { writes: false, .. } => ErrorKind::TimedOut,
            Due::Malformed => ErrorKind::Malformed,
            Due::Close => return None,
        };
        Some(Reply {
            state,
            ..Reply::error(kind, text)
        })
    }
}
