//! One caller's session, after its handshake.

mod ending;
mod last_answer;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use bytes::BytesMut;
use link::BufferedStream;
use schema::Pos;

use crate::closing::read_arriving;
use crate::exec::{StatementContext, StatementTask, run_single};
use crate::key_check::KeyCheck;
use crate::outcome::record_outcome;
use crate::progress::{Progress, Stage};
use crate::statement::SessionVars;
use crate::stop_schedule::Phase;
use crate::transaction::Transaction;
use crate::{
    Codec, ErrorKind, Group, Identity, PreparedStatement, Proxy, Reply, ReplyEnd, Request, Route,
    SessionRequest, Statement, TxState, Verb, WireError,
};

/// Text of the error with which a session ends that its caller has not ended.
pub const ENDED: &str = "the daemon ends this session, connect again";

/// One caller's session.
pub struct Session {
    /// VM that handed the session off to this daemon; `None` when the caller connected here.
    origin: Option<Box<str>>,
    opened_at: Ms,
    database: Box<str>,
    /// `None` on public routes and where no client accounts are in force.
    identity: Option<Identity>,
    key: KeyCheck,
    /// Whether the session ends so that its caller comes back to an owner of the group; never reset.
    is_misplaced: bool,
    vars: SessionVars,
    /// Prepared statements by the names that the caller gave them.
    prepared: BTreeMap<Box<str>, PreparedStatement>,
    /// Newest position in the replies to successful commits and writes outside transactions.
    last_write: Pos,
    /// Position of the last reply from a member; repeated in replies that the daemon makes itself.
    last_pos: Option<Pos>,
    /// Open transaction. `None` with `tx_state` `Open` means that it was rolled back for idling;
    /// `None` with `Failed` means that it was aborted.
    tx: Option<Transaction>,
    tx_state: TxState,
    /// Whether the failed transaction may have been committed by the member.
    tx_in_doubt: bool,
}

/// What a session waits for between two statements.
pub enum SessionEvent {
    Request(Request),
    /// Input that cannot be decoded; the stream cannot be resynchronised after it.
    ProtocolError(WireError),
    /// The open transaction has exceeded its idle timeout.
    TxIdleTimeout,
    /// The stop signal fired.
    StopSignal,
    /// The caller closed the connection.
    Closed,
}

/// Whether the daemon ends its sessions inside transactions too.
fn is_forced(proxy: &Proxy) -> bool {
    proxy.shutdown.phase() >= Phase::Ending
}

/// Reads the caller's next message.
pub async fn read_request(codec: Codec, link: &mut BufferedStream) -> SessionEvent {
    loop {
        match (codec.request)(&mut link.input) {
            Ok(Some(request)) => return SessionEvent::Request(request),
            Ok(None) => {}
            Err(e) => {
                return SessionEvent::ProtocolError(e);
            }
        }
        match link.read_more().await {
            Ok(n) if n > 0 => {}
            _ => return SessionEvent::Closed,
        }
    }
}

impl Session {
    pub fn new(request: &SessionRequest, identity: Option<Identity>, key: KeyCheck) -> Session {
        Session {
            origin: request.origin.clone(),
            opened_at: Ms::now(),
            database: request.database.clone(),
            identity,
            key,
            is_misplaced: false,
            vars: SessionVars::new(),
            prepared: BTreeMap::new(),
            last_write: Pos::ZERO,
            last_pos: None,
            tx: None,
            tx_state: TxState::Idle,
            tx_in_doubt: false,
        }
    }

    pub fn database(&self) -> &str {
        &self.database
    }

    /// Rolls back the transaction that is open when the session ends.
    pub async fn discard_transaction(&mut self, proxy: &Proxy) {
        if let Some(tx) = self.tx.take()
            && let Some((_, group)) = proxy.route(&self.database)
        {
            tx.roll_back(&group, None).await;
        }
    }

    /// Whether the session ends once it is between transactions.
    fn is_draining(&self, proxy: &Proxy) -> bool {
        proxy.is_draining(self.origin.as_deref(), self.opened_at)
    }

    /// Whether the session must end before its next statement: always once the daemon ends its
    /// sessions by force; outside a transaction while this daemon, or the one that handed the
    /// session off, drains its sessions, or when it is to move to an owner, and once the caller's key
    /// is withdrawn.
    fn should_end(&self, proxy: &Proxy) -> bool {
        let is_leaving = self.is_draining(proxy) || self.is_misplaced;
        let may_leave = is_leaving && self.tx_state == TxState::Idle;
        is_forced(proxy) || self.key.is_withdrawn() || may_leave
    }

    /// Decides whether the session moves to an owner of its group.
    fn check_placement(&mut self, proxy: &Proxy) {
        if self.is_misplaced || self.tx_state != TxState::Idle {
            return;
        }
        let group = proxy.route(&self.database).map(|(_, group)| group);
        self.is_misplaced = group.is_some_and(|group| group.takes_leave());
    }

    /// Checks the caller's key against the configuration in force. An open transaction may end
    /// under the configuration that it was opened with.
    fn check_key(&mut self, proxy: &Proxy) {
        let was_rolled_back = self.tx_state == TxState::Open && self.tx.is_none();
        if self.tx_state == TxState::Idle || was_rolled_back {
            self.key.update(proxy, &self.database, &mut self.identity);
        }
    }

    /// Serves the session until the caller disconnects, the daemon stops, or the daemon closes the
    /// connection after an error.
    pub async fn run(&mut self, proxy: &Rc<Proxy>, link: &mut BufferedStream) {
        let mut out = BytesMut::new();
        let mut idle_since = Ms::now();
        loop {
            self.check_key(proxy);
            self.check_placement(proxy);
            if self.should_end(proxy) && link.input.is_empty() {
                // A statement that has arrived is still served.
                if !self.key.is_withdrawn() {
                    read_arriving(link).await;
                }
                if link.input.is_empty() {
                    self.end(proxy, link).await;
                    return;
                }
            }
            link.release_buffer();
            let request = match self.next_event(proxy, link, idle_since).await {
                SessionEvent::Request(request) => request,
                SessionEvent::TxIdleTimeout => {
                    self.roll_back_idle(proxy).await;
                    idle_since = Ms::now();
                    continue;
                }
                SessionEvent::ProtocolError(e) => {
                    self.send_protocol_error(proxy, link, e).await;
                    return;
                }
                SessionEvent::StopSignal => continue,
                SessionEvent::Closed => return,
            };
            self.check_key(proxy);
            let reply = match request {
                Request::Close => return,
                _ if self.key.is_withdrawn() => {
                    self.deny(proxy, link).await;
                    return;
                }
                Request::Run(statement) => self.answer(proxy, &statement).await,
                Request::Connect { .. } => self.malformed("the session has begun"),
                Request::Unknown { text } => self.malformed(&text),
            };
            out.clear();
            (proxy.codec.reply)(&reply, &mut out);
            if link.send(&out).await.is_err() {
                return;
            }
            idle_since = Ms::now();
            // Disconnects so that the caller reconnects to a daemon that can reach the primaries.
            // A handed-off session stays open: the daemon that forwards it may already have sent
            // the next statement, which would be lost.
            let is_refused = matches!(
                reply.error_kind(),
                Some(ErrorKind::Busy | ErrorKind::Behind)
            );
            if self.origin.is_none()
                && self.tx_state == TxState::Idle
                && is_refused
                && !proxy.is_ready()
            {
                return;
            }
        }
    }

    /// Waits for the next message, the idle timeout of an open transaction, or the stop signal. The
    /// timeout counts from `idle_since`, because the signal also fires with each configuration.
    async fn next_event(
        &self,
        proxy: &Rc<Proxy>,
        link: &mut BufferedStream,
        idle_since: Ms,
    ) -> SessionEvent {
        let generation = proxy.stop_signal.generation();
        // `run` ends the session only once no input is buffered; a message that has begun to arrive
        // is still served.
        if self.should_end(proxy) {
            return read_request(proxy.codec, link).await;
        }
        let idle_timeout = if self.tx.is_some() {
            let tx_idle_ms = proxy.tx_idle_ms.get();
            tx_idle_ms.saturating_sub(idle_since.elapsed())
        } else {
            u64::from(u32::MAX)
        };
        let idle_timeout = Duration::from_millis(idle_timeout.min(u64::from(u32::MAX)));
        monoio::select! {
            request = read_request(proxy.codec, link) => request,
            () = monoio::time::sleep(idle_timeout) => SessionEvent::TxIdleTimeout,
            () = proxy.stop_signal.wait_past(generation) => SessionEvent::StopSignal,
        }
    }

    /// Rolls back a transaction that exceeded its idle timeout, unless the session is draining; the
    /// caller's next statement gets the error.
    async fn roll_back_idle(&mut self, proxy: &Rc<Proxy>) {
        if self.is_draining(proxy) {
            return;
        }
        let Some(tx) = self.tx.take() else { return };
        if let Some((_, group)) = proxy.route(&self.database) {
            tx.roll_back(&group, None).await;
        }
    }

    fn malformed(&self, text: &str) -> Reply {
        self.with_session_state(Reply::error(ErrorKind::Malformed, text))
    }

    /// Fills in the transaction state and, in replies without one, the last known position.
    fn with_session_state(&self, reply: Reply) -> Reply {
        Reply {
            state: self.tx_state,
            pos: reply.pos.or(self.last_pos),
            ..reply
        }
    }

    async fn run_statement(
        &mut self,
        proxy: &Rc<Proxy>,
        statement: &Statement,
        progress: &Progress,
    ) -> Reply {
        let ends_tx = matches!(statement.verb, Verb::Commit | Verb::Rollback);
        if self.tx_state == TxState::Failed && !ends_tx {
            return self.malformed("the transaction has failed");
        }
        if self.tx_state == TxState::Open && self.tx.is_none() && !ends_tx {
            self.tx_state = TxState::Failed;
            return self.with_session_state(Reply::error(
                ErrorKind::Aborted,
                "the transaction rested too long",
            ));
        }
        match &statement.verb {
            Verb::Begin { read_only } => {
                if self.tx_state != TxState::Idle {
                    return self.malformed("a transaction is open");
                }
                self.tx = Some(Transaction::new(
                    *read_only,
                    progress.arrival,
                    &statement.id,
                ));
                self.tx_state = TxState::Open;
                self.tx_in_doubt = false;
                self.with_session_state(Reply::ok())
            }
            Verb::Set { name } => {
                self.vars.insert(name.clone(), statement.text.clone());
                self.with_session_state(Reply::ok())
            }
            Verb::Prepare { name, prepared } => {
                self.prepared.insert(name.clone(), prepared.clone());
                self.with_session_state(Reply::ok())
            }
            Verb::Deallocate { name } => {
                self.prepared.remove(name);
                self.with_session_state(Reply::ok())
            }
            Verb::Rollback => self.roll_back(proxy, progress).await,
            Verb::Commit => self.commit(proxy, statement, progress).await,
            Verb::Read | Verb::Write => {
                let task = StatementTask {
                    statement,
                    prepared: None,
                    write: statement.verb == Verb::Write,
                    progress,
                };
                self.run_task(proxy, task).await
            }
            Verb::Execute { name, args } => {
                let Some(prepared) = self.prepared.get(name).cloned() else {
                    return self.with_session_state(Reply::error(ErrorKind::NoStatement, name));
                };
                let task = StatementTask {
                    statement,
                    prepared: Some((&prepared, args)),
                    write: prepared.write,
                    progress,
                };
                self.run_task(proxy, task).await
            }
        }
    }

    async fn roll_back(&mut self, proxy: &Rc<Proxy>, progress: &Progress) -> Reply {
        if let Some(tx) = self.tx.take()
            && let Some((_, group)) = proxy.route(&self.database)
        {
            progress.stage.set(Stage::Rollback);
            tx.roll_back(&group, Some(&progress.id)).await;
        }
        self.tx_state = TxState::Idle;
        self.with_session_state(Reply::ok())
    }

    async fn commit(
        &mut self,
        proxy: &Rc<Proxy>,
        statement: &Statement,
        progress: &Progress,
    ) -> Reply {
        let failed = self.tx_state == TxState::Failed;
        self.tx_state = TxState::Idle;
        let in_doubt = std::mem::take(&mut self.tx_in_doubt);
        let Some(tx) = self.tx.take().filter(|_| !failed) else {
            if in_doubt {
                return self.with_session_state(Reply::error(
                    ErrorKind::InDoubt,
                    "the outcome is unknown",
                ));
            }
            return self.with_session_state(Reply::error(ErrorKind::Aborted, "nothing is kept"));
        };
        let Some((route, group)) = proxy.route(&self.database) else {
            return self.with_session_state(Reply::error(ErrorKind::NoDatabase, &self.database));
        };
        let task = StatementTask {
            statement,
            prepared: None,
            write: false,
            progress,
        };
        let cx = self.context(proxy, &group, &route, progress.arrival);
        let reply = tx.commit(&cx, &task, &self.vars).await;
        record_outcome(proxy, &cx, &task, &reply);
        self.record_position(&reply, true);
        self.with_session_state(reply)
    }

    fn context<'a>(
        &self,
        proxy: &'a Rc<Proxy>,
        group: &'a Rc<Group>,
        route: &'a Route,
        arrival: Ms,
    ) -> StatementContext<'a> {
        let timeout = arrival.plus(route.timeout);
        let deadline = self.answer_by(proxy).map_or(timeout, |at| at.min(timeout));
        StatementContext::new(
            proxy,
            group,
            route,
            self.identity,
            self.last_write,
            deadline,
        )
    }

    async fn run_task(&mut self, proxy: &Rc<Proxy>, task: StatementTask<'_>) -> Reply {
        let Some((route, group)) = proxy.route(&self.database) else {
            return self.with_session_state(Reply::error(ErrorKind::NoDatabase, &self.database));
        };
        let cx = self.context(proxy, &group, &route, task.arrival());
        let reply = match self.tx.as_mut() {
            Some(tx) => tx.run(&cx, &task, &self.vars).await,
            None => run_single(&cx, &task, &self.vars).await,
        };
        record_outcome(proxy, &cx, &task, &reply);
        if self.tx.is_some() && reply.error_kind().is_some() {
            self.tx = None;
            self.tx_in_doubt = reply.error_kind() == Some(ErrorKind::InDoubt);
            self.tx_state = TxState::Failed;
        }
        self.record_position(&reply, task.write && self.tx.is_none());
        self.with_session_state(reply)
    }

    /// Records a reply's position; after a success in which writes may have been `committed`, also
    /// as that of the last write.
    fn record_position(&mut self, reply: &Reply, committed: bool) {
        let Some(pos) = reply.pos else { return };
        self.last_pos = Some(pos);
        if committed && matches!(reply.end, ReplyEnd::Done(_)) {
            self.last_write = self.last_write.max(pos);
        }
    }
}
