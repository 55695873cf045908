//! One connection to a member, and what stands on it.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use bytes::BytesMut;
use link::Link;
use monoio::net::TcpStream;
use quick_error::quick_error;

use crate::tunnel::{self, Peer};
use crate::{Command, Dialect, End, ErrorKind, Hello, Member, Part, Plan, Reply, WireError};

/// Idle time after which the kernel probes a connection, in seconds.
const PROBE_AFTER_S: u64 = 2;

quick_error! {
    /// Why a connection gave no answer; it is of no further use.
    #[derive(Debug)]
    pub enum Lost {
        /// The transport failed.
        Io(e: std::io::Error) { from() display("{e}") }
        /// The member closed the connection.
        Closed { display("closed by the member") }
        /// The bytes are no message.
        Wire(e: WireError) { from() display("{e}") }
        /// No answer came in time.
        Slow { display("no answer in time") }
        /// The member refused the connection or the preparation of a statement.
        Refused(kind: ErrorKind, text: Box<str>) { display("refused as {kind:?}: {text}") }
    }
}

impl Lost {
    /// Whether the transport says that nobody is there.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Lost::Closed | Lost::Io(_))
    }
}

/// A connection to a member. Dropping it closes it.
pub struct Conn {
    /// The member at the other end.
    pub member: Rc<Member>,
    /// When it was opened; the member has not restarted since.
    pub opened: Ms,
    /// When it was last given back.
    pub idle_since: Ms,
    link: Link,
    dialect: Dialect,
    /// Session values set on it, by name, with the text that set them.
    values: BTreeMap<Box<str>, Box<str>>,
    /// Statements prepared on it, with the names they have here.
    plans: HashMap<Plan, Box<str>>,
    /// Number of the next name; none is given twice.
    next_name: u64,
}

impl Conn {
    /// Opens a connection and greets the member.
    ///
    /// # Errors
    /// `Lost::Refused` when the member answers but does not take the connection.
    pub async fn open(
        member: Rc<Member>,
        dialect: Dialect,
        from: &str,
        within: u64,
    ) -> Result<Conn, Lost> {
        let opened = Ms::now();
        let connect = TcpStream::connect_addr(member.addr);
        let stream = monoio::time::timeout(Duration::from_millis(within), connect)
            .await
            .map_err(|_| Lost::Slow)??;
        let second = Duration::from_secs(1);
        stream.set_tcp_keepalive(
            Some(Duration::from_secs(PROBE_AFTER_S)),
            Some(second),
            Some(2),
        )?;
        Conn::greet(member, Link::new(stream)?, opened, dialect, from, within).await
    }

    /// Opens a connection through another daemon.
    ///
    /// # Errors
    /// As `open`.
    pub async fn open_through(
        peers: &[Peer],
        member: Rc<Member>,
        dialect: Dialect,
        from: &str,
        within: u64,
    ) -> Result<Conn, Lost> {
        let opened = Ms::now();
        let link = tunnel::open(peers, member.addr).await?;
        Conn::greet(member, link, opened, dialect, from, within).await
    }

    async fn greet(
        member: Rc<Member>,
        link: Link,
        opened: Ms,
        dialect: Dialect,
        from: &str,
        within: u64,
    ) -> Result<Conn, Lost> {
        member.open.set(member.open.get() + 1);
        let mut conn = Conn {
            link,
            member,
            opened,
            idle_since: opened,
            dialect,
            values: BTreeMap::new(),
            plans: HashMap::new(),
            next_name: 0,
        };
        let group = conn.member.entry.borrow().group.clone();
        let id = conn.member.id.clone();
        let hello = Hello {
            from,
            group: &group,
            member: &id,
        };
        let mut out = BytesMut::new();
        (dialect.hello)(&hello, &mut out);
        let reply = conn.exchange(&out, within * 4).await?;
        match reply.end {
            End::Done(_) => Ok(conn),
            End::Error(kind, text) => Err(Lost::Refused(kind, text)),
        }
    }

    /// Runs one command.
    ///
    /// # Errors
    /// After an error the connection must be dropped; the command may have run.
    pub async fn run(&mut self, command: &Command<'_>, within: u64) -> Result<Reply, Lost> {
        let mut out = BytesMut::new();
        (self.dialect.command)(command, &mut out);
        self.exchange(&out, within).await
    }

    /// Sends several commands at once and reads all answers.
    async fn exchange_all(
        &mut self,
        out: &[u8],
        count: usize,
        within: u64,
    ) -> Result<Vec<Reply>, Lost> {
        let mut replies = vec![self.exchange(out, within).await?];
        while replies.len() < count {
            replies.push(self.exchange(&[], within).await?);
        }
        Ok(replies)
    }

    async fn exchange(&mut self, out: &[u8], within: u64) -> Result<Reply, Lost> {
        let member = self.member.clone();
        member.asked(Ms::now());
        let wait = Duration::from_millis(within);
        let result = monoio::time::timeout(wait, self.talk(out)).await;
        member.answered();
        result.unwrap_or(Err(Lost::Slow))
    }

    async fn talk(&mut self, out: &[u8]) -> Result<Reply, Lost> {
        if !out.is_empty() {
            self.link.send(out).await?;
        }
        let mut rows = Vec::new();
        let mut end = None;
        loop {
            while let Some(part) = (self.dialect.part)(&mut self.link.input)? {
                match part {
                    Part::Row(row) => rows.push(row),
                    Part::End(e) => end = Some(e),
                    Part::Ready(state, pos) => {
                        self.link.shrink();
                        return Ok(Reply {
                            rows,
                            end: end.unwrap_or(End::Done(Box::from(""))),
                            state,
                            pos,
                            greets: false,
                        });
                    }
                }
            }
            let n = match self.link.fill().await {
                Ok(n) => n,
                // A refused greeting is followed by a close.
                Err(e) => return self.refused_or(end, Lost::Io(e)),
            };
            if n == 0 {
                return self.refused_or(end, Lost::Closed);
            }
            self.member.heard(Ms::now());
        }
    }

    fn refused_or(&self, end: Option<End>, other: Lost) -> Result<Reply, Lost> {
        match end {
            Some(End::Error(kind, text)) => Err(Lost::Refused(kind, text)),
            _ => Err(other),
        }
    }

    /// Whether nothing has come and the member has not closed; does not wait.
    pub async fn is_quiet(&mut self) -> bool {
        self.link.is_quiet().await
    }

    /// Gives the connection a session's values, and a prepared statement if one is needed.
    ///
    /// # Errors
    /// As `run`; nothing of the caller's has run.
    pub async fn set_up(
        &mut self,
        values: &BTreeMap<Box<str>, Box<str>>,
        plan: Option<&Plan>,
        within: u64,
    ) -> Result<(), Lost> {
        let name = plan.map(|plan| self.name_for(plan));
        let commands = self.set_up_commands(values, plan.zip(name.as_deref()));
        if commands.is_empty() {
            return Ok(());
        }
        let mut out = BytesMut::new();
        for command in &commands {
            (self.dialect.command)(command, &mut out);
        }
        let (count, reset) = (commands.len(), commands[0] == Command::Reset);
        // The answers are read before anything of the caller's is sent, so a failure harms nobody.
        for reply in self.exchange_all(&out, count, within).await? {
            if let End::Error(kind, text) = reply.end {
                return Err(Lost::Refused(kind, text));
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
        plan: Option<(&'a Plan, &'a str)>,
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
    fn name_for(&self, plan: &Plan) -> Box<str> {
        let known = self.plans.get(plan).cloned();
        known.unwrap_or_else(|| format!("p{}", self.next_name).into())
    }

    /// The name that a prepared statement has here.
    pub fn plan_name(&self, plan: &Plan) -> Option<Box<str>> {
        self.plans.get(plan).cloned()
    }

    /// Forgets what was prepared, after the member said that it does not know a name.
    pub fn forget_plans(&mut self) {
        self.plans.clear();
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.member.open.set(self.member.open.get() - 1);
    }
}
