//! One connection to a member, with the session variables and prepared statements set on it.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use bytes::BytesMut;
use link::BufferedStream;
use monoio::net::TcpStream;
use quick_error::quick_error;

use crate::{
    Codec, Command, ConnKey, ConnSlot, ConnState, ConnectRequest, ErrorKind, Member,
    PreparedStatement, Purpose, Reply, ReplyEnd, ReplyPart, WireError,
};
use crate::{Peer, tunnel};

/// Idle time after which the kernel sends TCP keepalive probes.
const KEEPALIVE_IDLE_S: u64 = 2;

quick_error! {
    /// Why a connection could not be opened or used. Except after `Refused` in reply to a control
    /// command, it must not be used again.
    #[derive(Debug)]
    pub enum ConnError {
        Io(e: std::io::Error) { from() display("{e}") }
        Closed { display("closed by the member") }
        /// The member's bytes cannot be decoded.
        Wire(e: WireError) { from() display("{e}") }
        TimedOut { display("no answer in time") }
        /// The member sent an error reply to the connect request, to a set-up command or to a
        /// control command, or closed the connection after an error reply.
        Refused(kind: ErrorKind, text: Box<str>) { display("refused as {kind:?}: {text}") }
    }
}

impl ConnError {
    /// Whether the transport reports that the other end is gone, as opposed to a timeout, a
    /// protocol error or an error reply.
    pub(crate) fn is_disconnect(&self) -> bool {
        matches!(self, ConnError::Closed | ConnError::Io(_))
    }
}

/// A connection to a member; closed on drop.
pub struct Conn {
    pub member: Rc<Member>,
    /// When the member had accepted the connect request; it has not restarted since. A process that
    /// ends before it accepts cannot answer on this connection.
    pub opened_at: Ms,
    /// When the connection was last released to the pool, or opened.
    pub idle_since: Ms,
    /// Whether it goes through another daemon, which may hold up what is sent for as long as it stands
    /// still.
    pub is_tunneled: bool,
    slot: ConnSlot,
    link: BufferedStream,
    codec: Codec,
    /// Session variables set on the connection by name, each with the statement text that set it.
    vars: BTreeMap<Box<str>, Box<str>>,
    /// Statements prepared on the connection, with their names there.
    prepared: HashMap<PreparedStatement, Box<str>>,
    /// Number in the name of the next new prepared statement; two statements never share a name.
    next_statement: u64,
}

impl Conn {
    /// Connects to a member within `timeout_ms` and performs the handshake, which may take four
    /// times as long. `from` is the name in which it is opened, that of this VM or of an account.
    ///
    /// # Errors
    /// `ConnError::Refused` when the member replies with an error to the handshake,
    /// `ConnError::TimedOut` when it does not answer, `ConnError::Io` or `ConnError::Closed` when
    /// it cannot be reached or disconnects, `ConnError::Wire` when its reply cannot be decoded.
    pub async fn open(
        slot: ConnSlot,
        codec: Codec,
        from: &str,
        timeout_ms: u64,
    ) -> Result<Conn, ConnError> {
        let connect = TcpStream::connect_addr(slot.member.addr);
        let stream = monoio::time::timeout(Duration::from_millis(timeout_ms), connect)
            .await
            .map_err(|_| ConnError::TimedOut)??;
        let probe_interval = Duration::from_secs(1);
        stream.set_tcp_keepalive(
            Some(Duration::from_secs(KEEPALIVE_IDLE_S)),
            Some(probe_interval),
            Some(2),
        )?;
        Conn::handshake(slot, BufferedStream::new(stream)?, codec, from, timeout_ms).await
    }

    /// Opens a connection as `open` does, through another daemon.
    ///
    /// # Errors
    /// As `open`, but `ConnError::Io` for every failure to open the tunnel, timeouts included.
    pub async fn open_tunneled(
        peers: &[Peer],
        slot: ConnSlot,
        codec: Codec,
        from: &str,
        timeout_ms: u64,
    ) -> Result<Conn, ConnError> {
        let link = tunnel::open(peers, slot.member.addr)
            .await
            .map_err(std::io::Error::from)?;
        let mut conn = Conn::handshake(slot, link, codec, from, timeout_ms).await?;
        conn.is_tunneled = true;
        Ok(conn)
    }

    async fn handshake(
        slot: ConnSlot,
        link: BufferedStream,
        codec: Codec,
        from: &str,
        timeout_ms: u64,
    ) -> Result<Conn, ConnError> {
        let member = slot.member.clone();
        member.open_conns.set(member.open_conns.get() + 1);
        let mut conn = Conn {
            slot,
            link,
            member,
            opened_at: Ms::now(),
            idle_since: Ms::now(),
            is_tunneled: false,
            codec,
            vars: BTreeMap::new(),
            prepared: HashMap::new(),
            next_statement: 0,
        };
        let group = conn.member.record.borrow().group.clone();
        let id = conn.member.id.clone();
        let request = ConnectRequest {
            from,
            group: &group,
            member: &id,
        };
        let mut out = BytesMut::new();
        (codec.connect_request)(&request, &mut out);
        let reply = conn.exchange(&out, timeout_ms * 4).await?;
        conn.opened_at = Ms::now();
        conn.slot.on_opened(conn.opened_at);
        match reply.end {
            ReplyEnd::Done(_) => Ok(conn),
            ReplyEnd::Error(kind, text) => Err(ConnError::Refused(kind, text)),
        }
    }

    pub(crate) fn key(&self) -> ConnKey {
        self.slot.key
    }

    /// What the connection is for.
    pub fn purpose(&self) -> Purpose {
        self.slot.purpose()
    }

    /// Uses a connection that was opened in the name of the VM for something else in that name.
    pub(crate) fn set_purpose(&self, purpose: Purpose) {
        self.slot.set_purpose(purpose);
    }

    /// Records that the connection was released to the pool.
    pub(crate) fn on_released(&mut self, now: Ms) {
        self.idle_since = now;
        // Control commands are short, and say nothing about when a statement's connection is free.
        if self.purpose() != Purpose::Control
            && let Some(held_ms) = self.slot.held_ms(now)
        {
            self.member.record_hold(held_ms);
        }
        self.slot.set_state(ConnState::Idle, now);
    }

    /// Records that the connection was taken from the pool.
    pub(crate) fn on_taken(&self, now: Ms) {
        self.slot.set_state(ConnState::Held, now);
    }

    /// Runs one command. A complete error reply is not an `Err`.
    ///
    /// # Errors
    /// Any `ConnError`. The connection must then be dropped, and the command may have run.
    pub async fn run(
        &mut self,
        command: &Command<'_>,
        timeout_ms: u64,
    ) -> Result<Reply, ConnError> {
        let mut out = BytesMut::new();
        (self.codec.command)(command, &mut out);
        self.exchange(&out, timeout_ms).await
    }

    /// Sends `count` encoded commands at once and reads their replies, each within `timeout_ms`.
    async fn exchange_all(
        &mut self,
        out: &[u8],
        count: usize,
        timeout_ms: u64,
    ) -> Result<Vec<Reply>, ConnError> {
        let mut replies = vec![self.exchange(out, timeout_ms).await?];
        while replies.len() < count {
            replies.push(self.exchange(&[], timeout_ms).await?);
        }
        Ok(replies)
    }

    /// Sends encoded commands, if any, and reads one reply. Meanwhile the request is counted as in
    /// flight at the member.
    async fn exchange(&mut self, out: &[u8], timeout_ms: u64) -> Result<Reply, ConnError> {
        let member = self.member.clone();
        member.on_request(Ms::now());
        let wait = Duration::from_millis(timeout_ms);
        let result = monoio::time::timeout(wait, self.read_reply(out)).await;
        member.on_response();
        result.unwrap_or(Err(ConnError::TimedOut))
    }

    async fn read_reply(&mut self, out: &[u8]) -> Result<Reply, ConnError> {
        if !out.is_empty() {
            self.link.send(out).await?;
        }
        let mut rows = Vec::new();
        let mut end = None;
        loop {
            while let Some(part) = (self.codec.reply_part)(&mut self.link.input)? {
                match part {
                    ReplyPart::Row(row) => rows.push(row),
                    ReplyPart::End(e) => end = Some(e),
                    ReplyPart::Ready(state, pos) => {
                        self.link.release_buffer();
                        return Ok(Reply {
                            rows,
                            end: end.unwrap_or(ReplyEnd::Done(Box::from(""))),
                            state,
                            pos,
                            is_handshake: false,
                        });
                    }
                }
            }
            let n = match self.link.read_more().await {
                Ok(n) => n,
                // After refusing the handshake, the member sends no `ReplyPart::Ready` but closes.
                Err(e) => return self.refusal_or(end, ConnError::Io(e)),
            };
            if n == 0 {
                return self.refusal_or(end, ConnError::Closed);
            }
            self.member.on_input(Ms::now());
        }
    }

    /// Error for a reply that was cut off: the member's error if it sent one, else `otherwise`.
    fn refusal_or(&self, end: Option<ReplyEnd>, otherwise: ConnError) -> Result<Reply, ConnError> {
        match end {
            Some(ReplyEnd::Error(kind, text)) => Err(ConnError::Refused(kind, text)),
            _ => Err(otherwise),
        }
    }

    /// Whether the connection is open and has no unread input; does not wait.
    pub async fn is_reusable(&mut self) -> bool {
        self.link.is_idle().await
    }

    /// Sets a session's variables on the connection and prepares a statement, if it has not been
    /// prepared yet.
    ///
    /// # Errors
    /// As `run`, and `ConnError::Refused` on an error reply. No statement of the caller has run.
    pub async fn set_up(
        &mut self,
        vars: &BTreeMap<Box<str>, Box<str>>,
        prepared: Option<&PreparedStatement>,
        timeout_ms: u64,
    ) -> Result<(), ConnError> {
        let name = prepared.map(|prepared| self.statement_name_or_new(prepared));
        let commands = self.set_up_commands(vars, prepared.zip(name.as_deref()));
        if commands.is_empty() {
            return Ok(());
        }
        let mut out = BytesMut::new();
        for command in &commands {
            (self.codec.command)(command, &mut out);
        }
        let (count, reset) = (commands.len(), commands[0] == Command::Reset);
        // The replies are read before the caller's statement is sent, so that after a failure here
        // the statement can be retried safely.
        for reply in self.exchange_all(&out, count, timeout_ms).await? {
            if let ReplyEnd::Error(kind, text) = reply.end {
                return Err(ConnError::Refused(kind, text));
            }
        }
        if reset {
            self.prepared.clear();
        }
        self.vars.clone_from(vars);
        if let Some((prepared, name)) = prepared.zip(name) {
            self.prepared.insert(prepared.clone(), name);
            self.next_statement += 1;
        }
        Ok(())
    }

    /// Commands that set exactly these variables and prepare the statement. A single variable
    /// cannot be unset, so a superfluous one requires a reset of the whole connection.
    fn set_up_commands<'a>(
        &self,
        vars: &'a BTreeMap<Box<str>, Box<str>>,
        prepared: Option<(&'a PreparedStatement, &'a str)>,
    ) -> Vec<Command<'a>> {
        let mut commands = Vec::new();
        let reset = self.vars.keys().any(|name| !vars.contains_key(name));
        if reset {
            commands.push(Command::Reset);
        }
        for (name, text) in vars {
            if reset || self.vars.get(name) != Some(text) {
                commands.push(Command::Set { text });
            }
        }
        if let Some((prepared, name)) = prepared
            && (reset || !self.prepared.contains_key(prepared))
        {
            commands.push(Command::Prepare { name, prepared });
        }
        commands
    }

    /// Name of a prepared statement on this connection, or the next free name.
    fn statement_name_or_new(&self, prepared: &PreparedStatement) -> Box<str> {
        let existing = self.prepared.get(prepared).cloned();
        existing.unwrap_or_else(|| format!("p{}", self.next_statement).into())
    }

    /// Name of a prepared statement on this connection, if it is prepared.
    pub fn statement_name(&self, prepared: &PreparedStatement) -> Option<Box<str>> {
        self.prepared.get(prepared).cloned()
    }

    /// Forgets all prepared statements, after the member replied that it does not know a name.
    pub fn clear_prepared(&mut self) {
        self.prepared.clear();
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.member.open_conns.set(self.member.open_conns.get() - 1);
    }
}
