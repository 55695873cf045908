//! A caller's transaction, bound to one connection from its first statement on.

use std::rc::Rc;

use base::Ms;
use schema::Pos;

use crate::exec::{Attempts, RetryDecision, StatementContext, StatementTask, remove_pending_write};
use crate::routing::Requirement;
use crate::session::SessionVars;
use crate::{Command, Conn, ConnError, ErrorKind, Group, Reply, TxState};

/// Time a member has to open or drop a transaction, in ms.
const MARK_MS: u64 = 400;

/// An open transaction.
pub struct Transaction {
    /// Whether it only reads.
    pub read_only: bool,
    /// When it was begun.
    pub began_at: Ms,
    /// Whether a write was sent in it.
    pub wrote: bool,
    /// Identifier of the statement that began it.
    id: Box<str>,
    /// Its connection, once it has one.
    conn: Option<Conn>,
}

impl Transaction {
    /// A transaction that no member knows of yet.
    pub fn new(read: bool, begun: Ms, id: &str) -> Transaction {
        Transaction {
            read_only: read,
            began_at: begun,
            wrote: false,
            id: id.into(),
            conn: None,
        }
    }

    /// Runs a statement in it. An answer with state `Failed` has ended it at the member.
    pub async fn run(
        &mut self,
        cx: &StatementContext<'_>,
        work: &StatementTask<'_>,
        values: &SessionVars,
    ) -> Reply {
        if self.conn.is_none() {
            return self.first(cx, work, values).await;
        }
        self.wrote |= work.write;
        let patience = cx.deadline.left();
        let conn = self.conn.as_mut().expect("checked above");
        if conn
            .set_up(values, work.prepared(), patience)
            .await
            .is_err()
        {
            self.conn = None;
            return ended("the member was lost before the statement");
        }
        let asked = Ms::now();
        let Ok(reply) = work.send(conn, None, patience).await else {
            self.conn = None;
            return ended("the member gave no answer");
        };
        cx.group.on_reply(&conn.member, asked, &reply);
        conn.member.record_latency(asked.elapsed(), Ms::now());
        self.keep_or_end(cx.group, reply).await
    }

    /// Opens the transaction at a member and runs its first statement, trying members in turn.
    async fn first(
        &mut self,
        cx: &StatementContext<'_>,
        work: &StatementTask<'_>,
        values: &SessionVars,
    ) -> Reply {
        let mut tries = Attempts::default();
        loop {
            let mut conn = match self.open(cx, work, values, &mut tries).await {
                Ok(conn) => conn,
                Err(RetryDecision::Retry) => continue,
                Err(RetryDecision::Return(reply)) => return reply,
            };
            let asked = Ms::now();
            self.wrote |= work.write;
            match work.send(&mut conn, None, cx.deadline.left()).await {
                Ok(reply) if reply.error_kind().is_some_and(ErrorKind::is_not_run) => {
                    let next = cx.after_error(work, &mut conn, reply, &mut tries).await;
                    drop_tx(cx.group, conn, None).await;
                    match next {
                        RetryDecision::Retry => {}
                        RetryDecision::Return(reply) => return reply,
                    }
                }
                Ok(reply) => {
                    cx.group.on_reply(&conn.member, asked, &reply);
                    conn.member.record_latency(asked.elapsed(), Ms::now());
                    self.conn = Some(conn);
                    return self.keep_or_end(cx.group, reply).await;
                }
                Err(e) => {
                    let member = conn.member.clone();
                    drop(conn);
                    cx.group.on_lost(&member, &e);
                    return ended("the member gave no answer");
                }
            }
        }
    }

    async fn open(
        &self,
        cx: &StatementContext<'_>,
        work: &StatementTask<'_>,
        values: &SessionVars,
        tries: &mut Attempts,
    ) -> Result<Conn, RetryDecision> {
        let need = cx
            .requirement(!self.read_only, self.began_at)
            .map_err(RetryDecision::Return)?;
        let mut conn = cx
            .connect(need, work, tries)
            .await
            .map_err(RetryDecision::Return)?;
        let after = match need {
            Requirement::Contains(pos) => Some(pos),
            Requirement::Primary(_) | Requirement::Member(_) => None,
        };
        let begun = begin(&mut conn, values, work, self, after).await;
        match begun {
            Ok(reply) if reply.error_kind().is_none() => Ok(conn),
            Ok(reply) => {
                let next = cx.after_error(work, &mut conn, reply, tries).await;
                drop_tx(cx.group, conn, None).await;
                Err(next)
            }
            Err(e) => {
                cx.record_retry(work, &conn.member.id, &e);
                let member = conn.member.clone();
                drop(conn);
                cx.group.on_lost(&member, &e);
                if cx.deadline.left() == 0 {
                    let reply = Reply::error(ErrorKind::Busy, "no time is left");
                    return Err(RetryDecision::Return(reply));
                }
                Err(RetryDecision::Retry)
            }
        }
    }

    /// Ends the transaction when its statement failed.
    async fn keep_or_end(&mut self, group: &Rc<Group>, reply: Reply) -> Reply {
        if reply.error_kind().is_none() && reply.state == TxState::Open {
            return reply;
        }
        if let Some(conn) = self.conn.take() {
            drop_tx(group, conn, None).await;
        }
        Reply {
            state: TxState::Failed,
            ..reply
        }
    }

    /// Keeps its writes.
    pub async fn commit(
        mut self,
        cx: &StatementContext<'_>,
        work: &StatementTask<'_>,
        values: &SessionVars,
    ) -> Reply {
        if self.conn.is_none() {
            let mut tries = Attempts::default();
            loop {
                match self.open(cx, work, values, &mut tries).await {
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
        let asked = Ms::now();
        if self.wrote {
            cx.group.pending_writes.borrow_mut().push(asked);
        }
        let result = work.send(&mut conn, None, cx.deadline.left()).await;
        if self.wrote {
            remove_pending_write(cx.group, asked);
        }
        match result {
            Ok(reply) => {
                cx.group.on_reply(&conn.member, asked, &reply);
                if reply.state == TxState::Idle {
                    cx.group.release(conn);
                } else {
                    drop_tx(cx.group, conn, None).await;
                }
                if self.wrote && reply.error_kind().is_none() {
                    return cx.confirm_lease(work, reply).await;
                }
                reply
            }
            Err(e) => {
                let member = conn.member.clone();
                drop(conn);
                cx.group.on_lost(&member, &e);
                if self.wrote {
                    return cx.in_doubt(work, &e.to_string());
                }
                Reply::error(ErrorKind::Aborted, "the member gave no answer")
            }
        }
    }

    /// Drops its writes.
    ///
    /// The identifier is that of the caller's statement, if there was one.
    pub async fn roll_back(mut self, group: &Rc<Group>, id: Option<&str>) {
        if let Some(conn) = self.conn.take() {
            drop_tx(group, conn, id).await;
        }
    }
}

fn ended(text: &str) -> Reply {
    Reply {
        state: TxState::Failed,
        ..Reply::error(ErrorKind::Aborted, text)
    }
}

async fn begin(
    conn: &mut Conn,
    values: &SessionVars,
    work: &StatementTask<'_>,
    tx: &Transaction,
    after: Option<Pos>,
) -> Result<Reply, ConnError> {
    conn.set_up(values, work.prepared(), MARK_MS).await?;
    let command = Command::Begin {
        id: &tx.id,
        read: tx.read_only,
        after,
    };
    conn.run(&command, MARK_MS).await
}

/// Rolls back at the member; a connection that does not confirm it is closed.
async fn drop_tx(group: &Rc<Group>, mut conn: Conn, id: Option<&str>) {
    if let Ok(reply) = conn.run(&Command::Rollback { id }, MARK_MS).await
        && reply.state == TxState::Idle
    {
        group.release(conn);
    }
}
