//! One caller's session, after its greeting.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use bytes::BytesMut;
use link::BufferedStream;
use schema::Pos;

use crate::exec::{StatementContext, StatementTask, run_single};
use crate::transaction::Transaction;
use crate::{
    Codec, ErrorKind, PreparedStatement, Proxy, Reply, ReplyEnd, Request, Statement, TxState, Verb,
    WireError,
};

/// Session values by name, with the text that set them.
pub type SessionVars = BTreeMap<Box<str>, Box<str>>;

/// One caller's session.
pub struct Session {
    /// The VM that has handed it over, if one has.
    origin: Option<Box<str>>,
    database: Box<str>,
    values: SessionVars,
    /// Prepared statements by the caller's names.
    plans: BTreeMap<Box<str>, PreparedStatement>,
    /// Newest position that the session has written.
    own: Pos,
    /// Position shown in answers that no member gave.
    shown: Option<Pos>,
    /// The open transaction; `Failed` without one after it was ended.
    tx: Option<Transaction>,
    state: TxState,
}

/// What the next message of the caller is, or that there is none.
pub enum Input {
    Request(Request),
    /// Bytes that are no message; nothing after them can be understood.
    Broken(WireError),
    /// A transaction has rested for too long.
    Idle,
    /// Something changed that concerns all sessions.
    Recheck,
    End,
}

/// Reads the next message.
pub async fn read_request(codec: Codec, link: &mut BufferedStream) -> Input {
    loop {
        match (codec.request)(&mut link.input) {
            Ok(Some(request)) => return Input::Request(request),
            Ok(None) => {}
            Err(e) => {
                return Input::Broken(e);
            }
        }
        match link.read_more().await {
            Ok(n) if n > 0 => {}
            _ => return Input::End,
        }
    }
}

impl Session {
    /// A session for a database.
    pub fn new(origin: Option<Box<str>>, database: Box<str>) -> Session {
        Session {
            origin,
            database,
            values: SessionVars::new(),
            plans: BTreeMap::new(),
            own: Pos::ZERO,
            shown: None,
            tx: None,
            state: TxState::Idle,
        }
    }

    /// Its database.
    pub fn database(&self) -> &str {
        &self.database
    }

    /// Drops an open transaction, after the session has ended.
    pub async fn discard_transaction(&mut self, proxy: &Proxy) {
        if let Some(tx) = self.tx.take()
            && let Some((_, group)) = proxy.route(&self.database)
        {
            tx.roll_back(&group, None).await;
        }
    }

    fn is_closing(&self, proxy: &Proxy) -> bool {
        proxy.is_closing(self.origin.as_deref())
    }

    /// Whether the session ends before its next statement.
    fn ends(&self, proxy: &Proxy) -> bool {
        proxy.ending.get() || self.is_closing(proxy) && self.state == TxState::Idle
    }

    /// Serves it until the caller leaves or the daemon stops.
    pub async fn run(&mut self, proxy: &Rc<Proxy>, link: &mut BufferedStream) {
        let mut out = BytesMut::new();
        loop {
            if self.ends(proxy) && link.input.is_empty() {
                return;
            }
            link.release_buffer();
            let request = match self.wait(proxy, link).await {
                Input::Request(request) => request,
                Input::Idle => {
                    self.end_idle(proxy).await;
                    continue;
                }
                Input::Broken(e) => {
                    self.break_off(proxy, link, e).await;
                    return;
                }
                Input::Recheck => continue,
                Input::End => return,
            };
            let reply = match request {
                Request::Close => return,
                Request::Run(statement) => self.statement(proxy, &statement).await,
                Request::Hello { .. } => self.malformed("the session has begun"),
                Request::Unknown { fault } => self.malformed(&fault),
            };
            out.clear();
            (proxy.codec.reply)(&reply, &mut out);
            if link.send(&out).await.is_err() {
                return;
            }
            // The caller is better served by a daemon that can reach the primaries. Its next statement
            // may be on its way already when another daemon passes it on.
            if self.origin.is_none()
                && self.state == TxState::Idle
                && reply.error_kind() == Some(ErrorKind::Busy)
                && !proxy.is_ready()
            {
                return;
            }
        }
    }

    /// Tells the caller why its session ends.
    async fn break_off(&self, proxy: &Proxy, link: &mut BufferedStream, e: WireError) {
        let kind = match e {
            WireError::TooLong => ErrorKind::TooLarge,
            WireError::Malformed => ErrorKind::Malformed,
        };
        let mut out = BytesMut::new();
        let reply = self.local(Reply::error(kind, &e.to_string()));
        (proxy.codec.reply)(&reply, &mut out);
        // The session ends whether or not the caller still reads.
        let _ = link.send(&out).await;
        let _ = link.shut_down().await;
    }

    /// Waits for the next message, for the end of an idle transaction, or for the daemon to stop.
    async fn wait(&self, proxy: &Rc<Proxy>, link: &mut BufferedStream) -> Input {
        let seen = proxy.stop.generation();
        if self.ends(proxy) {
            return read_request(proxy.codec, link).await;
        }
        let idle = if self.tx.is_some() {
            proxy.tx_idle_ms.get()
        } else {
            u64::from(u32::MAX)
        };
        let idle = Duration::from_millis(idle.min(u64::from(u32::MAX)));
        monoio::select! {
            request = read_request(proxy.codec, link) => request,
            () = monoio::time::sleep(idle) => Input::Idle,
            () = proxy.stop.wait_past(seen) => {
                if self.ends(proxy) && link.input.is_empty() { Input::End } else { Input::Recheck }
            }
        }
    }

    /// Ends a transaction that rests for too long; the caller learns it with its next statement.
    async fn end_idle(&mut self, proxy: &Rc<Proxy>) {
        if self.is_closing(proxy) {
            return;
        }
        let Some(tx) = self.tx.take() else { return };
        if let Some((_, group)) = proxy.route(&self.database) {
            tx.roll_back(&group, None).await;
        }
    }

    fn malformed(&self, text: &str) -> Reply {
        self.local(Reply::error(ErrorKind::Malformed, text))
    }

    /// Fills in what only the session knows.
    fn local(&self, reply: Reply) -> Reply {
        Reply {
            state: self.state,
            pos: reply.pos.or(self.shown),
            ..reply
        }
    }

    async fn statement(&mut self, proxy: &Rc<Proxy>, statement: &Statement) -> Reply {
        let arrival = Ms::now();
        let ends = matches!(statement.verb, Verb::Commit | Verb::Rollback);
        if self.state == TxState::Failed && !ends {
            return self.malformed("the transaction has failed");
        }
        if self.state == TxState::Open && self.tx.is_none() && !ends {
            self.state = TxState::Failed;
            return self.local(Reply::error(
                ErrorKind::Aborted,
                "the transaction rested too long",
            ));
        }
        match &statement.verb {
            Verb::Begin { read } => {
                if self.state != TxState::Idle {
                    return self.malformed("a transaction is open");
                }
                self.tx = Some(Transaction::new(*read, arrival, &statement.id));
                self.state = TxState::Open;
                self.local(Reply::ok())
            }
            Verb::Set { name } => {
                self.values.insert(name.clone(), statement.text.clone());
                self.local(Reply::ok())
            }
            Verb::Prepare { name, plan } => {
                self.plans.insert(name.clone(), plan.clone());
                self.local(Reply::ok())
            }
            Verb::Deallocate { name } => {
                self.plans.remove(name);
                self.local(Reply::ok())
            }
            Verb::Rollback => self.roll_back(proxy, &statement.id).await,
            Verb::Commit => self.commit(proxy, statement, arrival).await,
            Verb::Read | Verb::Write => {
                let work = StatementTask {
                    statement,
                    prepared: None,
                    write: statement.verb == Verb::Write,
                    arrival,
                };
                self.work(proxy, work).await
            }
            Verb::Execute { name, args } => {
                let Some(plan) = self.plans.get(name).cloned() else {
                    return self.local(Reply::error(ErrorKind::NoStatement, name));
                };
                let work = StatementTask {
                    statement,
                    prepared: Some((&plan, args)),
                    write: plan.write,
                    arrival,
                };
                self.work(proxy, work).await
            }
        }
    }

    async fn roll_back(&mut self, proxy: &Rc<Proxy>, id: &str) -> Reply {
        if let Some(tx) = self.tx.take()
            && let Some((_, group)) = proxy.route(&self.database)
        {
            tx.roll_back(&group, Some(id)).await;
        }
        self.state = TxState::Idle;
        self.local(Reply::ok())
    }

    async fn commit(&mut self, proxy: &Rc<Proxy>, statement: &Statement, arrival: Ms) -> Reply {
        let failed = self.state == TxState::Failed;
        self.state = TxState::Idle;
        let Some(tx) = self.tx.take().filter(|_| !failed) else {
            return self.local(Reply::error(ErrorKind::Aborted, "nothing is kept"));
        };
        let Some((route, group)) = proxy.route(&self.database) else {
            return self.local(Reply::error(ErrorKind::NoDatabase, &self.database));
        };
        let work = StatementTask {
            statement,
            prepared: None,
            write: false,
            arrival,
        };
        let cx = StatementContext::new(&group, &route, self.own, arrival);
        let reply = tx.commit(&cx, &work, &self.values).await;
        proxy.record_outcome(&cx, &work, &reply);
        self.took(&reply, true);
        self.local(reply)
    }

    async fn work(&mut self, proxy: &Rc<Proxy>, work: StatementTask<'_>) -> Reply {
        let Some((route, group)) = proxy.route(&self.database) else {
            return self.local(Reply::error(ErrorKind::NoDatabase, &self.database));
        };
        let cx = StatementContext::new(&group, &route, self.own, work.arrival);
        let reply = match self.tx.as_mut() {
            Some(tx) => tx.run(&cx, &work, &self.values).await,
            None => run_single(&cx, &work, &self.values).await,
        };
        proxy.record_outcome(&cx, &work, &reply);
        if self.tx.is_some() && reply.error_kind().is_some() {
            self.tx = None;
            self.state = TxState::Failed;
        }
        self.took(&reply, work.write && self.tx.is_none());
        self.local(reply)
    }

    fn took(&mut self, reply: &Reply, committed: bool) {
        let Some(pos) = reply.pos else { return };
        self.shown = Some(pos);
        if committed && matches!(reply.end, ReplyEnd::Done(_)) {
            self.own = self.own.max(pos);
        }
    }
}
