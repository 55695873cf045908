//! One connection to a member, and what stands on it.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use bytes::BytesMut;
use link::BufferedStream;
use monoio::net::TcpStream;
use quick_error::quick_error;

use crate::tunnel::{self, Peer};
use crate::{
    Codec, Command, ConnectRequest, ErrorKind, Member, PreparedStatement, Reply, ReplyEnd,
    ReplyPart, WireError,
};

/// Idle time after which the kernel probes a connection, in seconds.
const PROBE_AFTER_S: u64 = 2;

quick_error! {
    /// Why a connection gave no answer; it is of no further use.
    #[derive(Debug)]
    pub enum ConnError {
        /// The transport failed.
        Io(e: std::io::Error) { from() display("{e}") }
        /// The member closed the connection.
        Closed { display("closed by the member") }
        /// The bytes are no message.
        Wire(e: WireError) { from() display("{e}") }
        /// No answer came in time.
        TimedOut { display("no answer in time") }
        /// The member refused the connection or the preparation of a statement.
        Refused(kind: ErrorKind, text: Box<str>) { display("refused as {kind:?}: {text}") }
    }
}

impl ConnError {
    /// Whether the transport says that nobody is there.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, ConnError::Closed | ConnError::Io(_))
    }
}

/// A connection to a member. Dropping it closes it.
pub struct Conn {
    /// The member at the other end.
    pub member: Rc<Member>,
    /// When it was opened; the member has not restarted since.
    pub opened_at: Ms,
    /// When it was last given back.
    pub idle_since: Ms,
    link: BufferedStream,
    codec: Codec,
    /// Session values set on it, by name, with the text that set them.
    values: BTreeMap<Box<str>, Box<str>>,
    /// Statements prepared on it, with the names they have here.
    plans: HashMap<PreparedStatement, Box<str>>,
    /// Number of the next name; none is given twice.
    next_name: u64,
}

impl Conn {
    /// Opens a connection and greets the member.
    ///
    /// # Errors
    /// `ConnError::Refused` when the member answers but does not take the connection.
    pub async fn open(
        member: Rc<Member>,
        codec: Codec,
        from: &str,
        within: u64,
    ) -> Result<Conn, ConnError> {
        let opened = Ms::now();
        let connect = TcpStream::connect_addr(member.addr);
        let stream = monoio::time::timeout(Duration::from_millis(within), connect)
            .await
            .map_err(|_| ConnError::TimedOut)??;
        let second = Duration::from_secs(1);
        stream.set_tcp_keepalive(
            Some(Duration::from_secs(PROBE_AFTER_S)),
            Some(second),
            Some(2),
        )?;
        Conn::greet(
            member,
            BufferedStream::new(stream)?,
            opened,
            codec,
            from,
            within,
        )
        .await
    }

    /// Opens a connection through another daemon.
    ///
    /// # Errors
    /// As `open`.
    pub async fn open_tunneled(
        peers: &[Peer],
        member: Rc<Member>,
        codec: Codec,
        from: &str,
        within: u64,
    ) -> Result<Conn, ConnError> {
        let opened = Ms::now();
        let link = tunnel::open(peers, member.addr).await?;
        Conn::greet(member, link, opened, codec, from, within).await
    }

    async fn greet(
        member: Rc<Member>,
        link: BufferedStream,
        opened: Ms,
        codec: Codec,
        from: &str,
        within: u64,
    ) -> Result<Conn, ConnError> {
        member.open_conns.set(member.open_conns.get() + 1);
        let mut conn = Conn {
            link,
            member,
            opened_at: opened,
            idle_since: opened,
            codec,
            values: BTreeMap::new(),
            plans: HashMap::new(),
            next_name: 0,
        };
        let group = conn.member.record.borrow().group.clone();
        let id = conn.member.id.clone();
        let hello = ConnectRequest {
            from,
            group: &group,
            member: &id,
        };
        let mut out = BytesMut::new();
        (codec.connect_request)(&hello, &mut out);
        let reply = conn.exchange(&out, within * 4).await?;
        match reply.end {
            ReplyEnd::Done(_) => Ok(conn),
            ReplyEnd::Error(kind, text) => Err(ConnError::Refused(kind, text)),
        }
    }

    /// Runs one command.
    ///
    /// # Errors
    /// After an error the connection must be dropped; the command may have run.
    pub async fn run(&mut self, command: &Command<'_>, within: u64) -> Result<Reply, ConnError> {
        let mut out = BytesMut::new();
        (self.codec.command)(command, &mut out);
        self.exchange(&out, within).await
    }

    /// Sends several commands at once and reads all answers.
    async fn exchange_all(
        &mut self,
        out: &[u8],
        count: usize,
        within: u64,
    ) -> Result<Vec<Reply>, ConnError> {
        let mut replies = vec![self.exchange(out, within).await?];
        while replies.len() < count {
            replies.push(self.exchange(&[], within).await?);
        }
        Ok(replies)
    }

    async fn exchange(&mut self, out: &[u8], within: u64) -> Result<Reply, ConnError> {
        let member = self.member.clone();
        member.on_request(Ms::now());
        let wait = Duration::from_millis(within);
        let result = monoio::time::timeout(wait, self.talk(out)).await;
        member.on_response();
        result.unwrap_or(Err(ConnError::TimedOut))
    }

    async fn talk(&mut self, out: &[u8]) -> Result<Reply, ConnError> {
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
                // A refused greeting is followed by a close.
                Err(e) => return self.refused_or(end, ConnError::Io(e)),
            };
            if n == 0 {
                return self.refused_or(end, ConnError::Closed);
            }
            self.member.on_input(Ms::now());
        }
    }

    fn refused_or(&self, end: Option<ReplyEnd>, other: ConnError) -> Result<Reply, ConnError> {
        match end {
            Some(ReplyEnd::Error(kind, text)) => Err(ConnError::Refused(kind, text)),
            _ => Err(other),
        }
    }

    /// Whether nothing has come and the member has not closed; does not wait.
    pub async fn is_quiet(&mut self) -> bool {
        self.link.is_idle().await
    }

    /// Gives the connection a session's values, and a prepared statement if one is needed.
    ///
    /// # Errors
    /// As `run`; nothing of the caller's has run.
    pub async fn set_up(
        &mut self,
        values: &BTreeMap<Box<str>, Box<str>>,
        plan: Option<&PreparedStatement>,
        within: u64,
    ) -> Result<(), ConnError> {
        let name = plan.map(|plan| self.name_for(plan));
        let commands = self.set_up_commands(values, plan.zip(name.as_deref()));
        if commands.is_empty() {
            return Ok(());
        }
        let mut out = BytesMut::new();
        for command in &commands {
            (self.codec.command)(command, &mut out);
        }
        let (count, reset) = (commands.len(), commands[0] == Command::Reset);
        // The answers are read before anything of the caller's is sent, so a failure harms nobody.
        for reply in self.exchange_all(&out, count, within).await? {
            if let ReplyEnd::Error(kind, text) = reply.end {
                return Err(ConnError::Refused(kind, text));
            }
        }
        if reset {
            self.plans.clear();
        }
        self.values.clone_from(values);
        if let Some((plan, name)) = plan.zip(name) {
            self.plans.insert(plan.clone(), name);
            self.next_name += 1;
        }
        Ok(())
    }

    /// What must be sent before a statement of a session.
    fn set_up_commands<'a>(
        &self,
        values: &'a BTreeMap<Box<str>, Box<str>>,
        plan: Option<(&'a PreparedStatement, &'a str)>,
    ) -> Vec<Command<'a>> {
        let mut commands = Vec::new();
        let reset = self.values.keys().any(|name| !values.contains_key(name));
        if reset {
            commands.push(Command::Reset);
        }
        for (name, text) in values {
            if reset || self.values.get(name) != Some(text) {
                commands.push(Command::Set { text });
            }
        }
        if let Some((plan, name)) = plan
            && (reset || !self.plans.contains_key(plan))
        {
            commands.push(Command::Prepare { name, plan });
        }
        commands
    }

    /// The project's name for a statement on this connection, known to the member or not yet.
    fn name_for(&self, plan: &PreparedStatement) -> Box<str> {
        let known = self.plans.get(plan).cloned();
        known.unwrap_or_else(|| format!("p{}", self.next_name).into())
    }

    /// The name that a prepared statement has here.
    pub fn statement_name(&self, plan: &PreparedStatement) -> Option<Box<str>> {
        self.plans.get(plan).cloned()
    }

    /// Forgets what was prepared, after the member said that it does not know a name.
    pub fn clear_prepared(&mut self) {
        self.plans.clear();
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.member.open_conns.set(self.member.open_conns.get() - 1);
    }
}
