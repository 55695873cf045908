//! A caller's transaction, bound to one connection from its first statement on.

use std::rc::Rc;

use base::Ms;
use schema::Pos;

use crate::exec::{Context, Next, Tries, Work, forget_write};
use crate::routing::Need;
use crate::session::Values;
use crate::{Command, Conn, ErrorKind, Group, Lost, Reply, TxState};

/// Time a member has to open or drop a transaction, in ms.
const MARK_MS: u64 = 400;

/// An open transaction.
pub struct Transaction {
    /// Whether it only reads.
    pub read: bool,
    /// When it was begun.
    pub begun: Ms,
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
            read,
            begun,
            wrote: false,
            id: id.into(),
            conn: None,
        }
    }

    /// Runs a statement in it. An answer with state `Failed` has ended it at the member.
    pub async fn run(&mut self, cx: &Context<'_>, work: &Work<'_>, values: &Values) -> Reply {
        if self.conn.is_none() {
            return self.first(cx, work, values).await;
        }
        self.wrote |= work.write;
        let patience = cx.until.left();
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
        conn.member.took(asked.elapsed(), Ms::now());
        self.keep_or_end(cx.group, reply).await
    }

    /// Opens the transaction at a member and runs its first statement, trying members in turn.
    async fn first(&mut self, cx: &Context<'_>, work: &Work<'_>, values: &Values) -> Reply {
        let mut tries = Tries::default();
        loop {
            let mut conn = match self.open(cx, work, values, &mut tries).await {
                Ok(conn) => conn,
                Err(Next::Again) => continue,
                Err(Next::Tell(reply)) => return reply,
            };
            let asked = Ms::now();
            self.wrote |= work.write;
            match work.send(&mut conn, None, cx.until.left()).await {
                Ok(reply) if reply.kind().is_some_and(ErrorKind::is_not_run) => {
                    let next = cx.after_error(work, &mut conn, reply, &mut tries).await;
                    drop_tx(cx.group, conn, None).await;
                    match next {
                        Next::Again => {}
                        Next::Tell(reply) => return reply,
                    }
                }
                Ok(reply) => {
                    cx.group.on_reply(&conn.member, asked, &reply);
                    conn.member.took(asked.elapsed(), Ms::now());
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
        cx: &Context<'_>,
        work: &Work<'_>,
        values: &Values,
        tries: &mut Tries,
    ) -> Result<Conn, Next> {
        let need = cx.need(!self.read, self.begun).map_err(Next::Tell)?;
        let mut conn = cx.connect(need, work, tries).await.map_err(Next::Tell)?;
        let after = match need {
            Need::Holds(pos) => Some(pos),
            Need::Primary(_) | Need::This(_) => None,
        };
        let begun = begin(&mut conn, values, work, self, after).await;
        match begun {
            Ok(reply) if reply.kind().is_none() => Ok(conn),
            Ok(reply) => {
                let next = cx.after_error(work, &mut conn, reply, tries).await;
                drop_tx(cx.group, conn, None).await;
                Err(next)
            }
            Err(e) => {
                cx.tried(work, &conn.member.id, &e);
                let member = conn.member.clone();
                drop(conn);
                cx.group.on_lost(&member, &e);
                if cx.until.left() == 0 {
                    let reply = Reply::error(ErrorKind::Busy, "no time is left");
                    return Err(Next::Tell(reply));
                }
                Err(Next::Again)
            }
        }
    }

    /// Ends the transaction when its statement failed.
    async fn keep_or_end(&mut self, group: &Rc<Group>, reply: Reply) -> Reply {
        if reply.kind().is_none() && reply.state == TxState::Open {
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
    pub async fn commit(mut self, cx: &Context<'_>, work: &Work<'_>, values: &Values) -> Reply {
        if self.conn.is_none() {
            let mut tries = Tries::default();
            loop {
                match self.open(cx, work, values, &mut tries).await {
                    Ok(conn) => {
                        self.conn = Some(conn);
                        break;
                    }
                    Err(Next::Again) => {}
                    Err(Next::Tell(reply)) => return reply,
                }
            }
        }
        let mut conn = self.conn.take().expect("set above");
        let asked = Ms::now();
        if self.wrote {
            cx.group.writes.borrow_mut().push(asked);
        }
        let result = work.send(&mut conn, None, cx.until.left()).await;
        if self.wrote {
            forget_write(cx.group, asked);
        }
        match result {
            Ok(reply) => {
                cx.group.on_reply(&conn.member, asked, &reply);
                if reply.state == TxState::Idle {
                    cx.group.put(conn);
                } else {
                    drop_tx(cx.group, conn, None).await;
                }
                if self.wrote && reply.kind().is_none() {
                    return cx.cover(work, reply).await;
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
    values: &Values,
    work: &Work<'_>,
    tx: &Transaction,
    after: Option<Pos>,
) -> Result<Reply, Lost> {
    conn.set_up(values, work.prepared(), MARK_MS).await?;
    let command = Command::Begin {
        id: &tx.id,
        read: tx.read,
        after,
    };
    conn.run(&command, MARK_MS).await
}

/// Rolls back at the member; a connection that does not confirm it is closed.
async fn drop_tx(group: &Rc<Group>, mut conn: Conn, id: Option<&str>) {
    if let Ok(reply) = conn.run(&Command::Rollback { id }, MARK_MS).await
        && reply.state == TxState::Idle
    {
        group.put(conn);
    }
}
