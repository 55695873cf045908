//! A caller's transaction, pinned to one connection from its first statement on.

use std::rc::Rc;

use base::Ms;
use schema::Pos;

use crate::exec::{Attempts, RetryDecision, StatementContext, StatementTask, remove_pending_write};
use crate::routing::Requirement;
use crate::statement::SessionVars;
use crate::{Command, Conn, ConnError, ErrorKind, Group, Reply, TxState};

/// Timeout for `BEGIN`, for the set-up commands before it, and for `ROLLBACK` on a member.
const TX_CONTROL_TIMEOUT_MS: u64 = 400;

/// An open transaction.
pub struct Transaction {
    pub read_only: bool,
    pub began_at: Ms,
    /// Whether a write was attempted in it, even if no member has run it.
    pub wrote: bool,
    /// Identifier of the caller's `BEGIN` statement.
    id: Box<str>,
    /// Pinned connection; `None` before the first statement or the commit, and after the connection
    /// was lost or released.
    conn: Option<Conn>,
}

impl Transaction {
    /// A transaction that has not been opened at a member yet.
    pub fn new(read_only: bool, began_at: Ms, id: &str) -> Transaction {
        Transaction {
            read_only,
            began_at,
            wrote: false,
            id: id.into(),
            conn: None,
        }
    }

    /// Runs a statement in the transaction. A reply with state `Failed` means that the transaction
    /// has ended at the member, or the connection to it was lost or dropped.
    pub async fn run(
        &mut self,
        cx: &StatementContext<'_>,
        task: &StatementTask<'_>,
        vars: &SessionVars,
    ) -> Reply {
        if self.conn.is_none() {
            return self.run_first(cx, task, vars).await;
        }
        self.wrote |= task.write;
        let timeout_ms = cx.deadline.left();
        let conn = self.conn.as_mut().expect("checked above");
        if conn
            .set_up(vars, task.prepared(), timeout_ms)
            .await
            .is_err()
        {
            self.conn = None;
            return aborted("the member was lost before the statement");
        }
        let sent_at = Ms::now();
        let Ok(reply) = task.send(conn, None, timeout_ms).await else {
            self.conn = None;
            return aborted("the member gave no answer");
        };
        cx.group.on_reply(&conn.member, sent_at, &reply);
        cx.record_service(&conn.member, task, &reply, sent_at);
        self.close_unless_open(cx, reply).await
    }

    /// Opens the transaction at a member and runs its first statement; retries, possibly on another
    /// member, as long as that statement has not run.
    async fn run_first(
        &mut self,
        cx: &StatementContext<'_>,
        task: &StatementTask<'_>,
        vars: &SessionVars,
    ) -> Reply {
        let mut attempts = Attempts::default();
        loop {
            let mut conn = match self.begin_at_member(cx, task, vars, &mut attempts).await {
                Ok(conn) => conn,
                Err(RetryDecision::Retry) => continue,
                Err(RetryDecision::Return(reply)) => return reply,
            };
            if let Err(refusal) = cx.mark_sent(task) {
                roll_back_conn(cx.group, conn, None).await;
                return refusal;
            }
            let sent_at = Ms::now();
            self.wrote |= task.write;
            let result = task.send(&mut conn, None, cx.deadline.left()).await;
            cx.charge.record_reply(result.as_ref().ok());
            match result {
                Ok(reply) if self.is_caller_mistake(task, &reply) => {
                    self.conn = Some(conn);
                    return self.close_unless_open(cx, reply).await;
                }
                Ok(reply) if reply.error_kind().is_some_and(ErrorKind::is_not_run) => {
                    let requirement = Requirement::Member(conn.member.key);
                    let decision = cx
                        .after_reply(task, &mut conn, requirement, reply, &mut attempts)
                        .await;
                    roll_back_conn(cx.group, conn, None).await;
                    match decision {
                        RetryDecision::Retry => {}
                        RetryDecision::Return(reply) => return reply,
                    }
                }
                Ok(reply) => {
                    cx.group.on_reply(&conn.member, sent_at, &reply);
                    cx.record_service(&conn.member, task, &reply, sent_at);
                    self.conn = Some(conn);
                    return self.close_unless_open(cx, reply).await;
                }
                Err(e) => {
                    let member = conn.member.clone();
                    drop(conn);
                    cx.group.on_conn_lost(&member, &e);
                    return aborted("the member gave no answer");
                }
            }
        }
    }

    /// Whether a member refused a write because the caller has begun a read-only transaction. That says
    /// nothing about which member is primary, and every member would refuse it.
    fn is_caller_mistake(&self, task: &StatementTask<'_>, reply: &Reply) -> bool {
        self.read_only && task.write && reply.error_kind() == Some(ErrorKind::NotPrimary)
    }

    /// Acquires a connection and sends `BEGIN` on it, once.
    ///
    /// # Errors
    /// What to do after a failure.
    async fn begin_at_member(
        &self,
        cx: &StatementContext<'_>,
        task: &StatementTask<'_>,
        vars: &SessionVars,
        attempts: &mut Attempts,
    ) -> Result<Conn, RetryDecision> {
        cx.charge(task).await.map_err(RetryDecision::Return)?;
        let requirement = cx
            .requirement(!self.read_only, self.began_at)
            .map_err(RetryDecision::Return)?;
        let mut conn = cx
            .connect(requirement, task, attempts)
            .await
            .map_err(RetryDecision::Return)?;
        let after = cx.named_position(requirement);
        let result = send_begin(&mut conn, vars, task, self, after).await;
        match result {
            Ok(reply) if reply.error_kind().is_none() => Ok(conn),
            Ok(reply) => {
                let decision = cx
                    .after_reply(task, &mut conn, requirement, reply, attempts)
                    .await;
                roll_back_conn(cx.group, conn, None).await;
                Err(decision)
            }
            Err(e) => {
                cx.record_retry(task, &conn.member.id, &e);
                let member = conn.member.clone();
                drop(conn);
                cx.group.on_conn_lost(&member, &e);
                if cx.deadline.left() == 0 {
                    let reply = Reply::error(ErrorKind::Busy, "no time is left");
                    return Err(RetryDecision::Return(reply));
                }
                Err(RetryDecision::Retry)
            }
        }
    }

    /// Rolls the transaction back unless the statement succeeded and left it open. A success that
    /// did not leave it open is an error: the member has ended the transaction, so later statements
    /// would run without the earlier ones.
    async fn close_unless_open(&mut self, cx: &StatementContext<'_>, reply: Reply) -> Reply {
        let succeeded = reply.error_kind().is_none();
        if succeeded && reply.state == TxState::Open {
            return reply;
        }
        if let Some(conn) = self.conn.take() {
            roll_back_conn(cx.group, conn, None).await;
        }
        let reply = match (succeeded, self.wrote) {
            (false, _) => reply,
            (true, false) => aborted("the member ended the transaction"),
            (true, true) => Reply::error(ErrorKind::InDoubt, "the outcome is unknown"),
        };
        Reply {
            state: TxState::Failed,
            ..reply
        }
    }

    /// Commits the transaction; one without a statement is opened at a member first.
    pub async fn commit(
        mut self,
        cx: &StatementContext<'_>,
        task: &StatementTask<'_>,
        vars: &SessionVars,
    ) -> Reply {
        if self.conn.is_none() {
            let mut attempts = Attempts::default();
            loop {
                match self.begin_at_member(cx, task, vars, &mut attempts).await {
                    Ok(conn) => {
                        self.conn = Some(conn);
                        break;
                    }
                    Err(RetryDecision::Retry) => {}
                    Err(RetryDecision::Return(reply)) => return reply,
                }
            }
        }
        let mut conn = self.conn.take().expect("set above");
        if let Err(refusal) = cx.mark_sent(task) {
            roll_back_conn(cx.group, conn, None).await;
            return refusal;
        }
        let sent_at = Ms::now();
        task.progress.writes.set(self.wrote);
        if self.wrote {
            cx.group.pending_writes.borrow_mut().push(sent_at);
        }
        let result = task.send(&mut conn, None, cx.deadline.left()).await;
        cx.charge.record_reply(result.as_ref().ok());
        if self.wrote {
            remove_pending_write(cx.group, sent_at);
        }
        match result {
            Ok(reply) => {
                cx.group.on_reply(&conn.member, sent_at, &reply);
                if reply.state == TxState::Idle {
                    cx.group.release(conn);
                } else {
                    roll_back_conn(cx.group, conn, None).await;
                }
                if self.wrote && reply.error_kind().is_none() {
                    return cx.confirm_lease(task, reply).await;
                }
                reply
            }
            Err(e) => {
                let member = conn.member.clone();
                drop(conn);
                cx.group.on_conn_lost(&member, &e);
                if self.wrote {
                    return cx.in_doubt(task, &e.to_string());
                }
                Reply::error(ErrorKind::Aborted, "the member gave no answer")
            }
        }
    }

    /// Rolls the transaction back.
    ///
    /// `id` is that of the caller's `ROLLBACK` statement, if there was one.
    pub async fn roll_back(mut self, group: &Rc<Group>, id: Option<&str>) {
        if let Some(conn) = self.conn.take() {
            roll_back_conn(group, conn, id).await;
        }
    }
}

/// Reply that tells the caller that the transaction was aborted.
fn aborted(text: &str) -> Reply {
    Reply {
        state: TxState::Failed,
        ..Reply::error(ErrorKind::Aborted, text)
    }
}

/// Sets the session's variables and prepared statement on a connection, then sends `BEGIN`.
async fn send_begin(
    conn: &mut Conn,
    vars: &SessionVars,
    task: &StatementTask<'_>,
    tx: &Transaction,
    after: Option<Pos>,
) -> Result<Reply, ConnError> {
    conn.set_up(vars, task.prepared(), TX_CONTROL_TIMEOUT_MS)
        .await?;
    let command = Command::Begin {
        id: &tx.id,
        read_only: tx.read_only,
        after,
    };
    conn.run(&command, TX_CONTROL_TIMEOUT_MS).await
}

/// Rolls back at the member and releases the connection; closes it if the member does not confirm.
async fn roll_back_conn(group: &Rc<Group>, mut conn: Conn, id: Option<&str>) {
    if let Ok(reply) = conn
        .run(&Command::Rollback { id }, TX_CONTROL_TIMEOUT_MS)
        .await
        && reply.state == TxState::Idle
    {
        group.release(conn);
    }
}
