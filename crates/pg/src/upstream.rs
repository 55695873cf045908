//! A connection to a member of a database group.

use std::collections::HashSet;
use std::net::SocketAddr;

use bytes::BytesMut;
use fallible_iterator::FallibleIterator;
use monoio::net::TcpStream;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::backend::{DataRowBody, Message};
use postgres_protocol::message::frontend;
use quick_error::quick_error;
use schema::{Batch, Reason, Var};

use crate::batch::{Progress, encode};
use crate::frame::{Frame, frames};
use link::BufferedStream;

/// Longest frame taken from an upstream.
const FRAME_LIMIT: usize = 1 << 30;
/// Statements kept prepared on one connection.
const PREPARED_LIMIT: usize = 200;

quick_error! {
    /// Why a connection to an upstream failed.
    #[derive(Debug)]
    pub enum UpstreamError {
        /// The transport failed or ended.
        Io(e: std::io::Error) { from() display("{e}") }
        /// The upstream refused the connection, with its SQLSTATE.
        Refused(code: Box<str>, text: Box<str>) { display("{text} ({code})") }
        /// The upstream sent something that does not belong here.
        Crossed { display("the answer does not belong to the request") }
        /// A newer primary took over while the batch ran.
        Superseded { display("a newer primary took over") }
        /// The answer is larger than allowed.
        TooLarge { display("the answer is too large") }
    }
}

impl UpstreamError {
    /// The error kind, for a request whose bytes had been sent.
    pub fn reason(&self) -> Reason {
        match self {
            UpstreamError::Io(_)
            | UpstreamError::Refused(..)
            | UpstreamError::Superseded
            | UpstreamError::TooLarge => Reason::LostLink,
            UpstreamError::Crossed => Reason::Crossed,
        }
    }

    /// Whether the process is gone: nothing listens, or the connection closed without an answer,
    /// as it does behind a gateway. A frozen process keeps its connections open instead.
    pub fn is_gone(&self) -> bool {
        matches!(self, UpstreamError::Io(e) if e.kind() != std::io::ErrorKind::TimedOut)
    }
}

/// How to log in.
#[derive(Clone, Debug)]
pub struct Login {
    /// Address of the member.
    pub addr: SocketAddr,
    /// User.
    pub user: Box<str>,
    /// Password, if one is asked for.
    pub password: Box<str>,
    /// Database.
    pub database: Box<str>,
}

/// A batch to run, with what must hold on the connection first.
pub struct BatchJob<'a> {
    /// The caller's batch.
    pub batch: &'a Batch,
    /// Settings of the session.
    pub vars: &'a [Var],
    /// Statement sent behind the batch; its answer begins with the nonce.
    pub barrier: &'a str,
    /// First column of the barrier's answer.
    pub nonce: &'a str,
    /// Largest answer.
    pub limit: usize,
}

/// The columns of a barrier's answer after the nonce; `None` in a failed transaction.
pub type BarrierRow = Option<Vec<Box<str>>>;

/// Outcome of a batch whose answer came whole.
pub struct BatchResult {
    /// Answer for the caller.
    pub body: BytesMut,
    /// Transaction state after the batch.
    pub status: u8,
    /// Tag of the last command.
    pub tag: Box<str>,
    /// Whether the upstream answered with an error.
    pub failed: bool,
    /// Answer of the barrier.
    pub barrier: BarrierRow,
}

/// A connection that is logged in.
///
/// After any error the connection must be dropped: answers may still be under way on it.
pub struct Upstream {
    link: BufferedStream,
    /// Names of the statements prepared on it.
    prepared: HashSet<Box<str>>,
    /// Settings in force on it.
    vars: Vec<Var>,
    /// Transaction state after the last batch.
    pub status: u8,
    /// Key to cancel what runs on it.
    pub key: (i32, i32),
}

fn error_of(body: &postgres_protocol::message::backend::ErrorResponseBody) -> UpstreamError {
    let mut code = Box::from("");
    let mut text = Box::from("");
    let mut fields = body.fields();
    while let Ok(Some(field)) = fields.next() {
        let val: Box<str> = String::from_utf8_lossy(field.value_bytes()).into();
        match field.type_() {
            b'C' => code = val,
            b'M' => text = val,
            _ => {}
        }
    }
    UpstreamError::Refused(code, text)
}

/// Values of a row, as text; NULL reads as empty.
pub fn row_values(body: &DataRowBody) -> Vec<Box<str>> {
    let ranges: Vec<_> = body.ranges().collect().unwrap_or_default();
    let text = |r: &Option<std::ops::Range<usize>>| match r {
        Some(r) => String::from_utf8_lossy(&body.buffer()[r.clone()]).into(),
        None => "".into(),
    };
    ranges.iter().map(text).collect()
}

impl Upstream {
    /// Opens a connection and logs in.
    ///
    /// # Errors
    /// Fails when nothing listens, the login is refused, or the upstream breaks the protocol.
    pub async fn open(login: &Login) -> Result<Upstream, UpstreamError> {
        let link = BufferedStream::new(TcpStream::connect_addr(login.addr).await?)?;
        let mut this = Upstream {
            link,
            prepared: HashSet::new(),
            vars: Vec::new(),
            status: b'I',
            key: (0, 0),
        };
        let mut out = BytesMut::new();
        let params = [
            ("user", &*login.user),
            ("database", &*login.database),
            ("client_encoding", "UTF8"),
        ];
        frontend::startup_message(params, &mut out)?;
        this.link.send(&out).await?;
        this.authenticate(login).await?;
        loop {
            match this.message().await? {
                Message::BackendKeyData(k) => this.key = (k.process_id(), k.secret_key()),
                Message::ReadyForQuery(_) => return Ok(this),
                Message::ErrorResponse(e) => return Err(error_of(&e)),
                _ => {}
            }
        }
    }

    async fn authenticate(&mut self, login: &Login) -> Result<(), UpstreamError> {
        let mut scram = None;
        loop {
            let mut out = BytesMut::new();
            match self.message().await? {
                Message::AuthenticationOk => return Ok(()),
                Message::AuthenticationCleartextPassword => {
                    frontend::password_message(login.password.as_bytes(), &mut out)?;
                }
                Message::AuthenticationSasl(_) => {
                    let client =
                        ScramSha256::new(login.password.as_bytes(), ChannelBinding::unsupported());
                    frontend::sasl_initial_response(SCRAM_SHA_256, client.message(), &mut out)?;
                    scram = Some(client);
                }
                Message::AuthenticationSaslContinue(body) => {
                    let client = scram.as_mut().ok_or(UpstreamError::Crossed)?;
                    client.update(body.data())?;
                    frontend::sasl_response(client.message(), &mut out)?;
                }
                Message::AuthenticationSaslFinal(body) => {
                    scram
                        .as_mut()
                        .ok_or(UpstreamError::Crossed)?
                        .finish(body.data())?;
                    continue;
                }
                Message::ErrorResponse(e) => return Err(error_of(&e)),
                _ => return Err(UpstreamError::Crossed),
            }
            self.link.send(&out).await?;
        }
    }

    async fn message(&mut self) -> Result<Message, UpstreamError> {
        loop {
            if let Some(message) = Message::parse(&mut self.link.input)? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    async fn frame(&mut self) -> Result<Frame, UpstreamError> {
        loop {
            match Frame::take(&mut self.link.input, FRAME_LIMIT) {
                Ok(Some(frame)) => return Ok(frame),
                Ok(None) => self.fill().await?,
                Err(_) => return Err(UpstreamError::Crossed),
            }
        }
    }

    async fn fill(&mut self) -> Result<(), UpstreamError> {
        match self.link.read_more().await? {
            0 => Err(UpstreamError::Io(std::io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// Runs a control statement and returns the columns of its first row.
    ///
    /// # Errors
    /// Fails when the connection is lost; a refused statement is `UpstreamError::Refused`.
    pub async fn query_row(&mut self, sql: &str) -> Result<Vec<Box<str>>, UpstreamError> {
        let mut out = BytesMut::new();
        frontend::query(sql, &mut out)?;
        self.link.send(&out).await?;
        let mut row = Vec::new();
        let mut refused = None;
        loop {
            match self.message().await? {
                Message::DataRow(body) if row.is_empty() => row = row_values(&body),
                Message::ErrorResponse(e) => refused = Some(error_of(&e)),
                Message::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        match refused {
            Some(e) => Err(e),
            None => Ok(row),
        }
    }

    /// Whether the idle connection is still of use: open, with nothing under way.
    pub async fn is_clean(&mut self) -> bool {
        self.link.input.is_empty() && self.link.is_idle().await
    }

    /// Settings in force on the connection.
    pub fn vars(&self) -> &[Var] {
        &self.vars
    }

    /// Notes settings that a batch has put in force.
    pub fn set_vars(&mut self, vars: &[Var]) {
        self.vars = vars.to_vec();
    }

    /// Sends a batch with its barrier and returns its whole answer.
    ///
    /// # Errors
    /// After an error the batch may have run, and the connection must be dropped.
    pub async fn run(&mut self, job: &BatchJob<'_>) -> Result<BatchResult, UpstreamError> {
        let mut out = BytesMut::new();
        let full = self.status == b'I' && self.prepared.len() > PREPARED_LIMIT;
        let change = full || self.vars != job.vars;
        if change {
            frontend::query(&reset_sql(job.vars, full), &mut out)?;
        }
        if full {
            self.prepared.clear();
        }
        let mut collector = encode(job.batch, &self.prepared, job.limit, &mut out);
        frontend::query(job.barrier, &mut out)?;
        self.link.send(&out).await?;
        if change {
            while self.frame().await?.tag != b'Z' {}
            self.vars = job.vars.to_vec();
        }
        self.status = loop {
            let frame = self.frame().await?;
            match collector.take(&frame) {
                Progress::More => {}
                Progress::Ready(status) => break status,
                Progress::Crossed => return Err(UpstreamError::Crossed),
                Progress::TooLarge => return Err(UpstreamError::TooLarge),
            }
        };
        for index in &collector.prepared {
            self.prepared
                .insert(job.batch.prepares[usize::from(*index)].name.clone());
        }
        let barrier = self.barrier(job.nonce).await?;
        let failed = collector.failed() || frames(&collector.out).iter().any(|f| f.tag == b'E');
        Ok(BatchResult {
            body: collector.out,
            status: self.status,
            tag: collector.tag,
            failed,
            barrier,
        })
    }

    /// Reads the barrier's answer, which proves that the batch's answer was its own.
    async fn barrier(&mut self, nonce: &str) -> Result<BarrierRow, UpstreamError> {
        let mut row = None;
        let mut failed = false;
        loop {
            match self.message().await? {
                Message::DataRow(body) => row = Some(row_values(&body)),
                Message::ErrorResponse(_) => failed = true,
                Message::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        if failed && self.status == b'E' {
            return Ok(None);
        }
        match row {
            Some(values) if values.first().is_some_and(|v| **v == *nonce) => Ok(Some(values)),
            _ => Err(UpstreamError::Crossed),
        }
    }
}

/// One simple query that puts exactly the given settings in force.
fn reset_sql(vars: &[Var], forget: bool) -> String {
    let mut sql = String::from(if forget {
        "RESET ALL; DEALLOCATE ALL"
    } else {
        "RESET ALL"
    });
    for var in vars {
        sql.push_str("; ");
        sql.push_str(&var.sql);
    }
    sql
}

/// Asks the upstream to cancel what runs on a connection.
///
/// # Errors
/// Fails when nothing listens at the address.
pub async fn cancel(addr: SocketAddr, key: (i32, i32)) -> std::io::Result<()> {
    let mut link = BufferedStream::new(TcpStream::connect_addr(addr).await?)?;
    let mut out = BytesMut::new();
    frontend::cancel_request(key.0, key.1, &mut out);
    link.send(&out).await
}
