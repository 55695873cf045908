//! A caller's connection: start-up, login, and the frames of its requests.

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

/// Longest start-up message.
const STARTUP_LIMIT: usize = 10_000;
/// Time for a caller to close after its last message, in ms.
const LINGER_MS: u64 = 500;
/// Longest message of the login.
const LOGIN_LIMIT: usize = 4096;

/// What a new connection asks for.
pub enum StartupRequest {
    /// A session: user, database, and the parameters of the start-up message.
    Session(Startup),
    /// Cancel the request of another session: the two halves of its key.
    Cancel(u32, u32),
}

/// A caller's connection.
pub struct Caller {
    link: BufferedStream,
    context: DecodeContext,
    limit: usize,
}

/// Reads a Parse message: the caller's name, and the statement under a name made from its text.
///
/// The same text has the same name on every upstream, whichever session prepared it.
pub fn read_parse(frame: &Frame) -> Option<(Box<str>, Prepare)> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let parse = Parse::decode(&mut BytesMut::from(&*frame.raw), &context).ok()??;
    let types: Vec<u8> = parse
        .type_oids
        .iter()
        .flat_map(|o| o.to_be_bytes())
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

/// One `ErrorResponse` with SQLSTATE, outcome and the time to come back.
pub fn error_frame(why: Reason, retry_ms: u64, detail: &str) -> BytesMut {
    let row = reply(why);
    let severity = if row.fatal { "FATAL" } else { "ERROR" };
    let outcome = match row.outcome {
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
        Outcome::Done => "ran",
    };
    let retry_ms = if retry_ms == 0 {
        row.retry_ms
    } else {
        retry_ms
    };
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', row.code.to_owned()),
        (b'M', row.text.to_owned()),
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
    put(&mut out, &ErrorResponse::new(fields));
    out
}

fn put(out: &mut BytesMut, message: &impl Message) {
    message.encode(out).expect("encoding to memory succeeds");
}

impl Caller {
    /// Takes over an accepted connection; no later message may be longer than `limit`.
    ///
    /// # Errors
    /// Fails when the stream cannot be registered with the driver.
    pub fn new(stream: TcpStream, limit: u64) -> std::io::Result<Caller> {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        Ok(Caller {
            link: BufferedStream::new(stream)?,
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            limit,
        })
    }

    /// Reads the start-up, answering requests for encryption.
    ///
    /// # Errors
    /// Tells why the connection cannot go on; the caller has not been told yet.
    pub async fn read_startup(
        mut self,
        tls: Option<&TlsAcceptor>,
    ) -> Result<(Caller, StartupRequest), Reason> {
        loop {
            while self.link.input.len() < 8 {
                self.fill().await?;
            }
            let len =
                u32::from_be_bytes(self.link.input[..4].try_into().expect("four bytes")) as usize;
            if !(8..=STARTUP_LIMIT).contains(&len) {
                return Err(Reason::Protocol);
            }
            while self.link.input.len() < len {
                self.fill().await?;
            }
            if SslRequest::is_ssl_request_packet(&self.link.input) {
                self.link.input.clear();
                self = self.answer_ssl(tls).await?;
                continue;
            }
            if pgwire::messages::startup::GssEncRequest::is_gss_enc_request_packet(&self.link.input)
            {
                self.link.input.clear();
                self.send(b"N").await?;
                continue;
            }
            self.context.awaiting_frontend_ssl = false;
            if CancelRequest::is_cancel_request_packet(&self.link.input) {
                let request = CancelRequest::decode(&mut self.link.input, &self.context);
                let Ok(Some(request)) = request else {
                    return Err(Reason::Protocol);
                };
                let secret = request.secret_key.as_i32().ok_or(Reason::Protocol)?;
                return Ok((
                    self,
                    StartupRequest::Cancel(request.pid.cast_unsigned(), secret.cast_unsigned()),
                ));
            }
            let startup = Startup::decode(&mut self.link.input, &self.context);
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
        let Transport::Plain(stream) = self.link.into_transport() else {
            return Err(Reason::Protocol);
        };
        let stream = acceptor
            .accept(stream)
            .await
            .map_err(|_| Reason::Protocol)?;
        Ok(Caller {
            link: BufferedStream::from_transport(Transport::Tls(Box::new(stream))),
            context: self.context,
            limit: self.limit,
        })
    }

    /// Checks the caller's password.
    ///
    /// # Errors
    /// `Reason::Auth` when it does not match, `Reason::Protocol` on messages out of order.
    pub async fn login(&mut self, verifier: &Verifier) -> Result<(), Reason> {
        let mut out = BytesMut::new();
        put(
            &mut out,
            &Authentication::SASL(vec![SCRAM_SHA_256.to_owned()]),
        );
        self.send(&out).await?;
        let first = self.password_frame().await?;
        let mut body = first.body();
        let mechanism = cstr(&mut body).ok_or(Reason::Protocol)?;
        if *mechanism != *SCRAM_SHA_256 || body.len() < 4 {
            return Err(Reason::Protocol);
        }
        let first = std::str::from_utf8(&body[4..]).map_err(|_| Reason::Protocol)?;
        let say = async |text: String| {
            let mut out = BytesMut::new();
            put(&mut out, &Authentication::SASLContinue(text.into()));
            self.send(&out).await.ok()?;
            let frame = self.password_frame().await.ok()?;
            std::str::from_utf8(frame.body()).ok().map(str::to_owned)
        };
        let last = exchange(verifier, first, say).await.ok_or(Reason::Auth)?;
        let mut out = BytesMut::new();
        put(&mut out, &Authentication::SASLFinal(last.into()));
        self.send(&out).await
    }

    async fn password_frame(&mut self) -> Result<Frame, Reason> {
        let limit = std::mem::replace(&mut self.limit, LOGIN_LIMIT);
        let frame = self.frame().await;
        self.limit = limit;
        let frame = frame?.ok_or(Reason::Protocol)?;
        if frame.tag == b'p' {
            Ok(frame)
        } else {
            Err(Reason::Protocol)
        }
    }

    /// Tells the caller that it may begin, with its cancel key and parameters.
    ///
    /// # Errors
    /// Fails when the caller is gone.
    pub async fn complete_startup(
        &mut self,
        key: (u32, u32),
        params: &[(&str, &str)],
    ) -> Result<(), Reason> {
        let mut out = BytesMut::new();
        put(&mut out, &Authentication::Ok);
        for (name, val) in params {
            put(
                &mut out,
                &ParameterStatus::new((*name).to_owned(), (*val).to_owned()),
            );
        }
        put(
            &mut out,
            &BackendKeyData::new(key.0.cast_signed(), SecretKey::I32(key.1.cast_signed())),
        );
        put(&mut out, &ReadyForQuery::new(TransactionStatus::Idle));
        self.send(&out).await
    }

    /// Next frame; `None` when the caller closed at a boundary.
    ///
    /// # Errors
    /// `Reason::TooLarge` or `Reason::Protocol` for frames that cannot be taken.
    pub async fn frame(&mut self) -> Result<Option<Frame>, Reason> {
        loop {
            match Frame::take(&mut self.link.input, self.limit) {
                Ok(Some(frame)) => return Ok(Some(frame)),
                Ok(None) => {}
                Err(FrameError::TooLarge) => return Err(Reason::TooLarge),
                Err(FrameError::Malformed) => return Err(Reason::Protocol),
            }
            let at_boundary = self.link.input.is_empty();
            match self.link.read_more().await {
                Ok(0) | Err(_) if at_boundary => return Ok(None),
                Ok(0) | Err(_) => return Err(Reason::Protocol),
                Ok(_) => {}
            }
        }
    }

    /// Whether a part of a request has come already.
    pub fn has_input(&self) -> bool {
        !self.link.input.is_empty()
    }

    /// Waits until the caller closes its connection while it should be waiting.
    ///
    /// Bytes that it sends ahead are kept; a pipelining caller that has sent some is not watched.
    pub async fn closed(&mut self) {
        while self.link.input.is_empty() {
            if !self.link.readable().await {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Lets the caller read what was sent last: closing at once could discard it on its side.
    pub async fn linger(&mut self) {
        let _ = self.link.shut_down().await;
        let limit = std::time::Duration::from_millis(LINGER_MS);
        let rest = async {
            while self.link.readable().await {
                self.link.input.clear();
            }
        };
        let _ = monoio::time::timeout(limit, rest).await;
    }

    /// Frees buffers while the caller is idle.
    pub fn shrink(&mut self) {
        self.link.release_buffer();
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// Fails when the caller is gone.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), Reason> {
        self.link.send(bytes).await.map_err(|_| Reason::Protocol)
    }

    async fn fill(&mut self) -> Result<(), Reason> {
        match self.link.read_more().await {
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
    pub fn put_param(out: &mut BytesMut, name: &str, val: &str) {
        put(out, &ParameterStatus::new(name.to_owned(), val.to_owned()));
    }
}
