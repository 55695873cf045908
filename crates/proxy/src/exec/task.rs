//! A statement that is being executed.

use base::Ms;
use schema::Pos;

use crate::progress::{Progress, Stage};
use crate::{Command, Conn, ConnError, ErrorKind, PreparedStatement, Reply, Statement};

/// A statement being executed for a caller.
pub struct StatementTask<'a> {
    pub statement: &'a Statement,
    /// For an `Execute`: the prepared statement and its arguments.
    pub prepared: Option<(&'a PreparedStatement, &'a str)>,
    pub write: bool,
    pub progress: &'a Progress,
}

impl StatementTask<'_> {
    /// The prepared statement that the connection must have.
    pub fn prepared(&self) -> Option<&PreparedStatement> {
        self.prepared.map(|(prepared, _)| prepared)
    }

    /// When it was read from the caller.
    pub fn arrival(&self) -> Ms {
        self.progress.arrival
    }

    /// Sends the statement on a connection and reads the reply.
    ///
    /// `after` is the position that the member's log must contain.
    ///
    /// # Errors
    /// As `Conn::run`.
    pub async fn send(
        &self,
        conn: &mut Conn,
        after: Option<Pos>,
        timeout_ms: u64,
    ) -> Result<Reply, ConnError> {
        self.progress.stage.set(Stage::Reply);
        let result = self.run_on(conn, after, timeout_ms).await;
        let kind = result.as_ref().ok().and_then(Reply::error_kind);
        if kind.is_some_and(ErrorKind::is_not_run) {
            self.progress.stage.set(Stage::Connection);
        }
        result
    }

    async fn run_on(
        &self,
        conn: &mut Conn,
        after: Option<Pos>,
        timeout_ms: u64,
    ) -> Result<Reply, ConnError> {
        let id = &self.statement.id;
        let Some((prepared, args)) = self.prepared else {
            let text = &self.statement.text;
            return conn
                .run(&Command::Run { id, after, text }, timeout_ms)
                .await;
        };
        let name = conn.statement_name(prepared).unwrap_or_default();
        let command = Command::Execute {
            id,
            after,
            name: &name,
            args,
        };
        conn.run(&command, timeout_ms).await
    }
}
