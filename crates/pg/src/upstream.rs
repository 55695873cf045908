//! Client connection to a member of a database group.

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

use crate::batch::{Progress, encode_batch};
use crate::frame::{Frame, frames};
use link::BufferedStream;

/// Longest frame accepted from an upstream; the answer to a batch is limited separately.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Number of prepared statements on one connection above which all of them are deallocated before
/// the next batch outside a transaction.
const MAX_PREPARED_STATEMENTS: usize = 200;

quick_error! {
    /// Reason why a request to an upstream failed.
    #[derive(Debug)]
    pub enum UpstreamError {
        /// The transport failed, was closed or timed out, or a message could not be parsed.
        Io(e: std::io::Error) { from() display("{e}") }
        /// The upstream answered with an error: SQLSTATE and message.
        Refused(code: Box<str>, text: Box<str>) { display("{text} ({code})") }
        /// The upstream sent something other than the answer to the request.
        Crossed { display("the answer does not belong to the request") }
        /// A primary of a newer term became known while the batch ran.
        Superseded { display("a newer primary took over") }
        /// The answer exceeds the size limit.
        TooLarge { display("the answer is too large") }
    }
}

impl UpstreamError {
    /// The reason to report for a request that had already been sent.
    pub fn reason(&self) -> Reason {
        match self {
            UpstreamError::Io(_)
            | UpstreamError::Refused(..)
            | UpstreamError::Superseded
            | UpstreamError::TooLarge => Reason::LostLink,
            UpstreamError::Crossed => Reason::Crossed,
        }
    }

    /// Whether the error suggests that the server process has ended: nothing listens, or the
    /// connection was closed without an answer, as a network gateway does for a stopped server. A
    /// timeout does not, since a frozen process keeps its connections open.
    pub fn is_server_gone(&self) -> bool {
        matches!(self, UpstreamError::Io(e) if e.kind() != std::io::ErrorKind::TimedOut)
    }
}

/// Address and credentials for a connection.
#[derive(Clone, Debug)]
pub struct Login {
    pub addr: SocketAddr,
    pub user: Box<str>,
    /// Password, sent only when the upstream asks for it.
    pub password: Box<str>,
    pub database: Box<str>,
}

/// A batch to run, with the settings that must be in force on the connection.
pub struct BatchJob<'a> {
    pub batch: &'a Batch,
    /// Settings of the caller's session, each with the statement that sets it.
    pub vars: &'a [Var],
    /// Statement sent behind the batch; the first column of its answer is the nonce, which proves
    /// that the answer before it belongs to the batch.
    pub barrier: &'a str,
    /// Unique value expected in the barrier's answer.
    pub nonce: &'a str,
    /// Largest answer to the batch, in bytes.
    pub max_answer_bytes: usize,
}

/// The columns of a barrier's answer, the nonce first; `None` in a failed transaction.
pub type BarrierRow = Option<Vec<Box<str>>>;

/// The complete answer to a batch.
pub struct BatchResult {
    /// Frames to pass on to the caller.
    pub body: BytesMut,
    /// Transaction status after the batch: `I`, `T` or `E`.
    pub status: u8,
    /// Command tag of the last `CommandComplete`.
    pub tag: Box<str>,
    /// Whether the upstream answered any statement with an error.
    pub failed: bool,
    /// Answer of the barrier.
    pub barrier: BarrierRow,
}

/// An authenticated connection to a member.
///
/// After any error the connection must be dropped: answers to earlier requests may still arrive on
/// it.
pub struct Upstream {
    stream: BufferedStream,
    /// Names of the statements that are prepared on the connection.
    prepared: HashSet<Box<str>>,
    /// Settings in force on the connection.
    vars: Vec<Var>,
    /// Transaction status after the last batch: `I`, `T` or `E`; users of the connection set it to
    /// `?` after a failed request.
    pub status: u8,
    /// Cancel key: process id and secret for cancelling the statement that runs on the connection.
    pub key: (i32, i32),
}

fn refused_error(body: &postgres_protocol::message::backend::ErrorResponseBody) -> UpstreamError {
    let mut code = Box::from("");
    let mut text = Box::from("");
    let mut fields = body.fields();
    while let Ok(Some(field)) = fields.next() {
        let value: Box<str> = String::from_utf8_lossy(field.value_bytes()).into();
        match field.type_() {
            b'C' => code = value,
            b'M' => text = value,
            _ => {}
        }
    }
    UpstreamError::Refused(code, text)
}

/// Values of a row as text; NULL becomes an empty string.
pub fn row_values(body: &DataRowBody) -> Vec<Box<str>> {
    let ranges: Vec<_> = body.ranges().collect().unwrap_or_default();
    let text = |range: &Option<std::ops::Range<usize>>| match range {
        Some(range) => String::from_utf8_lossy(&body.buffer()[range.clone()]).into(),
        None => "".into(),
    };
    ranges.iter().map(text).collect()
}

impl Upstream {
    /// Opens a connection and logs in.
    ///
    /// # Errors
    /// `Io` when the transport fails, `Refused` when the login is refused, `Crossed` for an
    /// unexpected message.
    pub async fn open(login: &Login) -> Result<Upstream, UpstreamError> {
        let stream = BufferedStream::new(TcpStream::connect_addr(login.addr).await?)?;
        let mut upstream = Upstream {
            stream,
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
        upstream.stream.send(&out).await?;
        upstream.authenticate(login).await?;
        loop {
            match upstream.read_message().await? {
                Message::BackendKeyData(k) => upstream.key = (k.process_id(), k.secret_key()),
                Message::ReadyForQuery(_) => return Ok(upstream),
                Message::ErrorResponse(e) => return Err(refused_error(&e)),
                _ => {}
            }
        }
    }

    async fn authenticate(&mut self, login: &Login) -> Result<(), UpstreamError> {
        let mut scram = None;
        loop {
            let mut out = BytesMut::new();
            match self.read_message().await? {
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
                Message::ErrorResponse(e) => return Err(refused_error(&e)),
                _ => return Err(UpstreamError::Crossed),
            }
            self.stream.send(&out).await?;
        }
    }

    async fn read_message(&mut self) -> Result<Message, UpstreamError> {
        loop {
            if let Some(message) = Message::parse(&mut self.stream.input)? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    async fn read_frame(&mut self) -> Result<Frame, UpstreamError> {
        loop {
            match Frame::take(&mut self.stream.input, MAX_FRAME_BYTES) {
                Ok(Some(frame)) => return Ok(frame),
                Ok(None) => self.fill().await?,
                Err(_) => return Err(UpstreamError::Crossed),
            }
        }
    }

    async fn fill(&mut self) -> Result<(), UpstreamError> {
        match self.stream.read_more().await? {
            0 => Err(UpstreamError::Io(std::io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// Runs a control statement and returns the columns of its first row; empty if there is none.
    ///
    /// # Errors
    /// `Io` when the connection is lost, `Refused` when the upstream refuses the statement.
    pub async fn query_row(&mut self, sql: &str) -> Result<Vec<Box<str>>, UpstreamError> {
        let mut out = BytesMut::new();
        frontend::query(sql, &mut out)?;
        self.stream.send(&out).await?;
        let mut row = Vec::new();
        let mut refused = None;
        loop {
            match self.read_message().await? {
                Message::DataRow(body) if row.is_empty() => row = row_values(&body),
                Message::ErrorResponse(e) => refused = Some(refused_error(&e)),
                Message::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        match refused {
            Some(e) => Err(e),
            None => Ok(row),
        }
    }

    /// Whether an idle connection can be reused: it is open and no unread bytes have arrived.
    pub async fn is_reusable(&mut self) -> bool {
        self.stream.input.is_empty() && self.stream.is_idle().await
    }

    /// Settings in force on the connection.
    pub fn vars(&self) -> &[Var] {
        &self.vars
    }

    /// Records settings as in force on the connection, without sending them.
    pub fn set_vars(&mut self, vars: &[Var]) {
        self.vars = vars.to_vec();
    }

    /// Sends a batch with its barrier and returns the complete answer.
    ///
    /// # Errors
    /// After any error the batch may have run, and the connection must be dropped.
    pub async fn run(&mut self, job: &BatchJob<'_>) -> Result<BatchResult, UpstreamError> {
        self.apply_settings(job.vars).await?;
        let mut out = BytesMut::new();
        let mut collector = encode_batch(job.batch, &self.prepared, job.max_answer_bytes, &mut out);
        frontend::query(job.barrier, &mut out)?;
        self.stream.send(&out).await?;
        self.status = loop {
            let frame = self.read_frame().await?;
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
        let barrier = self.read_barrier(job.nonce).await?;
        let failed = collector.failed() || frames(&collector.out).iter().any(|f| f.tag == b'E');
        Ok(BatchResult {
            body: collector.out,
            status: self.status,
            tag: collector.tag,
            failed,
            barrier,
        })
    }

    /// Puts the settings of the caller's session in force, before anything else is sent: behind a
    /// setting that was refused, a statement would run with those of another session.
    ///
    /// # Errors
    /// `Refused` when the upstream refuses a setting.
    async fn apply_settings(&mut self, vars: &[Var]) -> Result<(), UpstreamError> {
        let deallocate = self.status == b'I' && self.prepared.len() > MAX_PREPARED_STATEMENTS;
        // In a failed transaction the upstream refuses settings, and every statement but its end.
        if self.status == b'E' || (!deallocate && self.vars == vars) {
            return Ok(());
        }
        if deallocate {
            self.prepared.clear();
        }
        self.query_row(&settings_sql(vars, deallocate)).await?;
        self.vars = vars.to_vec();
        Ok(())
    }

    /// Reads the barrier's answer; `None` when it was refused because the batch's transaction has
    /// failed.
    ///
    /// # Errors
    /// `Crossed` when the nonce is missing or differs, so that the answer before it belonged to
    /// another request.
    async fn read_barrier(&mut self, nonce: &str) -> Result<BarrierRow, UpstreamError> {
        let mut row = None;
        let mut failed = false;
        loop {
            match self.read_message().await? {
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

/// A simple query that puts exactly the given settings in force; `deallocate` also drops all
/// prepared statements.
fn settings_sql(vars: &[Var], deallocate: bool) -> String {
    let mut sql = String::from(if deallocate {
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

/// Asks the upstream to cancel the statement that runs on the connection with this key.
///
/// # Errors
/// Fails when the connection to the upstream cannot be opened or written to.
pub async fn cancel(addr: SocketAddr, key: (i32, i32)) -> std::io::Result<()> {
    let mut stream = BufferedStream::new(TcpStream::connect_addr(addr).await?)?;
    let mut out = BytesMut::new();
    frontend::cancel_request(key.0, key.1, &mut out);
    stream.send(&out).await
}
