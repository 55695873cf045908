//! A caller's connection: start-up, login, and the messages of its requests.

use bytes::{BufMut, BytesMut};
use monoio::net::TcpStream;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, SslRequest, Startup,
};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion, cancel::CancelRequest};
use postgres_protocol::authentication::sasl::SCRAM_SHA_256;
use schema::{Outcome, Prepare, Reason, reply};
use tokio_rustls::TlsAcceptor;
use xxhash_rust::xxh3::xxh3_64;

use crate::frame::{Frame, FrameError, cstr};
use crate::login::{Verifier, exchange};
use link::{BufferedStream, Transport};

/// Longest start-up message accepted.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Time for which a session that has ended waits for the caller to close its side.
const LINGER_TIMEOUT_MS: u64 = 500;
/// Longest message accepted before the caller is authenticated.
const MAX_LOGIN_MESSAGE_BYTES: usize = 4096;

/// The request of a new connection.
pub enum StartupRequest {
    /// Start a session with the user, database and other parameters of the start-up message.
    Session(Startup),
    /// Cancel the running request of another session: process id and secret of its cancel key.
    Cancel(u32, u32),
}

/// A caller's connection.
pub struct Caller {
    stream: BufferedStream,
    context: DecodeContext,
    max_message_bytes: usize,
}

/// Decodes a Parse message into the name that the caller gave the statement, and the statement to
/// prepare on an upstream; `None` if it is malformed.
///
/// The name on the upstream is a hash of text and parameter types, so that sessions that share a
/// connection share the prepared statement.
pub fn read_parse(frame: &Frame) -> Option<(Box<str>, Prepare)> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let parse = Parse::decode(&mut BytesMut::from(&*frame.raw), &context).ok()??;
    let types: Vec<u8> = parse
        .type_oids
        .iter()
        .flat_map(|oid| oid.to_be_bytes())
        .collect();
    let hash = xxh3_64(&[parse.query.as_bytes(), &types].concat());
    let name = format!("h{hash:016x}").into();
    let prepare = Prepare {
        name,
        sql: parse.query.into(),
        oids: parse.type_oids,
    };
    Some((parse.name.unwrap_or_default().into(), prepare))
}

/// Encodes an `ErrorResponse` with SQLSTATE, outcome and retry delay; a `retry_ms` of 0 selects the
/// default of the reason.
pub fn error_frame(reason: Reason, retry_ms: u64, detail: &str) -> BytesMut {
    let response = reply(reason);
    let severity = if response.fatal { "FATAL" } else { "ERROR" };
    let outcome = match response.outcome {
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
        Outcome::Done => "ran",
    };
    let retry_ms = if retry_ms == 0 {
        response.retry_ms
    } else {
        retry_ms
    };
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', response.code.to_owned()),
        (b'M', response.text.to_owned()),
        (
            b'D',
            format!(
                "outcome: {outcome}{}{detail}",
                if detail.is_empty() { "" } else { "; " }
            ),
        ),
    ];
    if retry_ms > 0 {
        fields.push((b'H', format!("come back in {retry_ms} ms")));
    }
    let mut out = BytesMut::new();
    put_message(&mut out, &ErrorResponse::new(fields));
    out
}

fn put_message(out: &mut BytesMut, message: &impl Message) {
    message.encode(out).expect("encoding to memory succeeds");
}

impl Caller {
    /// Creates a caller from an accepted connection; messages after the login may be up to
    /// `max_message_bytes` long.
    ///
    /// # Errors
    /// Fails when the stream cannot be registered with the driver.
    pub fn new(stream: TcpStream, max_message_bytes: u64) -> std::io::Result<Caller> {
        let max_message_bytes = usize::try_from(max_message_bytes).unwrap_or(usize::MAX);
        Ok(Caller {
            stream: BufferedStream::new(stream)?,
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            max_message_bytes,
        })
    }

    /// Reads the start-up message, answering requests for encryption.
    ///
    /// # Errors
    /// `Protocol` for a message that cannot be accepted, or when the connection is lost; the caller
    /// has not been sent an error.
    pub async fn read_startup(
        mut self,
        tls: Option<&TlsAcceptor>,
    ) -> Result<(Caller, StartupRequest), Reason> {
        loop {
            while self.stream.input.len() < 8 {
                self.fill().await?;
            }
            let len = u32::from_be_bytes(
                self.stream.input[..4]
                    .try_into()
                    .expect("the slice has four bytes"),
            ) as usize;
            if !(8..=MAX_STARTUP_BYTES).contains(&len) {
                return Err(Reason::Protocol);
            }
            while self.stream.input.len() < len {
                self.fill().await?;
            }
            if SslRequest::is_ssl_request_packet(&self.stream.input) {
                self.stream.input.clear();
                self = self.answer_ssl(tls).await?;
                continue;
            }
            if pgwire::messages::startup::GssEncRequest::is_gss_enc_request_packet(
                &self.stream.input,
            ) {
                self.stream.input.clear();
                self.send(b"N").await?;
                continue;
            }
            self.context.awaiting_frontend_ssl = false;
            if CancelRequest::is_cancel_request_packet(&self.stream.input) {
                let request = CancelRequest::decode(&mut self.stream.input, &self.context);
                let Ok(Some(request)) = request else {
                    return Err(Reason::Protocol);
                };
                let secret = request.secret_key.as_i32().ok_or(Reason::Protocol)?;
                return Ok((
                    self,
                    StartupRequest::Cancel(request.pid.cast_unsigned(), secret.cast_unsigned()),
                ));
            }
            let startup = Startup::decode(&mut self.stream.input, &self.context);
            let Ok(Some(startup)) = startup else {
                return Err(Reason::Protocol);
            };
            if startup.protocol_number_major != 3 {
                return Err(Reason::Protocol);
            }
            self.context.awaiting_frontend_startup = false;
            return Ok((self, StartupRequest::Session(startup)));
        }
    }

    async fn answer_ssl(mut self, tls: Option<&TlsAcceptor>) -> Result<Caller, Reason> {
        let Some(acceptor) = tls else {
            self.send(b"N").await?;
            return Ok(self);
        };
        self.send(b"S").await?;
        let Transport::Plain(stream) = self.stream.into_transport() else {
            return Err(Reason::Protocol);
        };
        let stream = acceptor
            .accept(stream)
            .await
            .map_err(|_| Reason::Protocol)?;
        Ok(Caller {
            stream: BufferedStream::from_transport(Transport::Tls(Box::new(stream))),
            context: self.context,
            max_message_bytes: self.max_message_bytes,
        })
    }

    /// Checks the caller's password.
    ///
    /// # Errors
    /// `Reason::Auth` when it does not match, `Reason::Protocol` for unexpected messages.
    pub async fn login(&mut self, verifier: &Verifier) -> Result<(), Reason> {
        let mut out = BytesMut::new();
        put_message(
            &mut out,
            &Authentication::SASL(vec![SCRAM_SHA_256.to_owned()]),
        );
        self.send(&out).await?;
        let first = self.read_password_message().await?;
        let mut body = first.body();
        let mechanism = cstr(&mut body).ok_or(Reason::Protocol)?;
        if *mechanism != *SCRAM_SHA_256 || body.len() < 4 {
            return Err(Reason::Protocol);
        }
        let first = std::str::from_utf8(&body[4..]).map_err(|_| Reason::Protocol)?;
        let round_trip = async |text: String| {
            let mut out = BytesMut::new();
            put_message(&mut out, &Authentication::SASLContinue(text.into()));
            self.send(&out).await.ok()?;
            let frame = self.read_password_message().await.ok()?;
            std::str::from_utf8(frame.body()).ok().map(str::to_owned)
        };
        let last = exchange(verifier, first, round_trip)
            .await
            .ok_or(Reason::Auth)?;
        let mut out = BytesMut::new();
        put_message(&mut out, &Authentication::SASLFinal(last.into()));
        self.send(&out).await
    }

    async fn read_password_message(&mut self) -> Result<Frame, Reason> {
        let session_limit = std::mem::replace(&mut self.max_message_bytes, MAX_LOGIN_MESSAGE_BYTES);
        let frame = self.read_frame().await;
        self.max_message_bytes = session_limit;
        let frame = frame?.ok_or(Reason::Protocol)?;
        if frame.tag == b'p' {
            Ok(frame)
        } else {
            Err(Reason::Protocol)
        }
    }

    /// Completes the start-up: sends the parameters, the cancel key and `ReadyForQuery`.
    ///
    /// # Errors
    /// `Protocol` when the connection is lost.
    pub async fn complete_startup(
        &mut self,
        key: (u32, u32),
        params: &[(&str, &str)],
    ) -> Result<(), Reason> {
        let mut out = BytesMut::new();
        put_message(&mut out, &Authentication::Ok);
        for (name, value) in params {
            put_message(
                &mut out,
                &ParameterStatus::new((*name).to_owned(), (*value).to_owned()),
            );
        }
        put_message(
            &mut out,
            &BackendKeyData::new(key.0.cast_signed(), SecretKey::I32(key.1.cast_signed())),
        );
        put_message(&mut out, &ReadyForQuery::new(TransactionStatus::Idle));
        self.send(&out).await
    }

    /// Reads the next frame; `None` when the caller closed between frames.
    ///
    /// # Errors
    /// `Reason::TooLarge` above the size limit, `Reason::Protocol` for a malformed or truncated
    /// frame.
    pub async fn read_frame(&mut self) -> Result<Option<Frame>, Reason> {
        loop {
            match Frame::take(&mut self.stream.input, self.max_message_bytes) {
                Ok(Some(frame)) => return Ok(Some(frame)),
                Ok(None) => {}
                Err(FrameError::TooLarge) => return Err(Reason::TooLarge),
                Err(FrameError::Malformed) => return Err(Reason::Protocol),
            }
            let at_boundary = self.stream.input.is_empty();
            match self.stream.read_more().await {
                Ok(0) | Err(_) if at_boundary => return Ok(None),
                Ok(0) | Err(_) => return Err(Reason::Protocol),
                Ok(_) => {}
            }
        }
    }

    /// Whether part of the next request has been received.
    pub fn has_input(&self) -> bool {
        !self.stream.input.is_empty()
    }

    /// Waits until the caller closes its connection while a request runs.
    ///
    /// Bytes that arrive meanwhile are kept. Once a caller has sent its next request early, its
    /// close is no longer detected and the future never completes.
    pub async fn wait_closed(&mut self) {
        while self.stream.input.is_empty() {
            if !self.stream.readable().await {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Shuts down the sending side and waits up to `LINGER_TIMEOUT_MS` for the caller to close.
    ///
    /// Closing at once could reset the connection, and the caller would lose the last message.
    pub async fn linger(&mut self) {
        let _ = self.stream.shut_down().await;
        let timeout = std::time::Duration::from_millis(LINGER_TIMEOUT_MS);
        let drain = async {
            while self.stream.readable().await {
                self.stream.input.clear();
            }
        };
        let _ = monoio::time::timeout(timeout, drain).await;
    }

    /// Frees the memory of the input buffer, if it is empty, while the caller is idle.
    pub fn release_buffer(&mut self) {
        self.stream.release_buffer();
    }

    /// Sends bytes to the caller.
    ///
    /// # Errors
    /// `Protocol` when the connection is lost.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), Reason> {
        self.stream.send(bytes).await.map_err(|_| Reason::Protocol)
    }

    async fn fill(&mut self) -> Result<(), Reason> {
        match self.stream.read_more().await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(Reason::Protocol),
        }
    }

    /// Appends a `ReadyForQuery`.
    pub fn put_ready(out: &mut BytesMut, status: u8) {
        out.put_u8(b'Z');
        out.put_u32(5);
        out.put_u8(status);
    }

    /// Appends a `ParameterStatus`.
    pub fn put_param(out: &mut BytesMut, name: &str, value: &str) {
        put_message(
            out,
            &ParameterStatus::new(name.to_owned(), value.to_owned()),
        );
    }
}
