//! HTTP client with persistent connections, one request at a time on each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::server::{decode, encode};

/// Path that every daemon answers immediately, to check a new connection.
pub const HELLO_PATH: &str = "/hello";
/// Idle time before the kernel sends TCP keep-alive probes, which detect a dead connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Maximum number of idle connections kept for one address.
const MAX_IDLE_PER_ADDR: usize = 64;

quick_error! {
    /// Reason why a call failed.
    #[derive(Debug)]
    pub enum CallError {
        /// The request was not sent, so it certainly had no effect.
        NotSent(text: Box<str>) { display("not sent: {text}") }
        /// The request was sent but got no valid answer, so it may have been carried out.
        NoAnswer(text: Box<str>) { display("no answer: {text}") }
        /// The peer answered with a status other than 2xx.
        Status(code: u16, body: Bytes) { display("status {code}") }
    }
}

impl CallError {
    /// Whether the request certainly had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::NotSent(_))
    }
}

/// A complete answer, whatever its status.
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// The body of a 2xx answer.
    ///
    /// # Errors
    /// `CallError::Status` for any other.
    fn into_body(self) -> Result<Bytes, CallError> {
        if (200..300).contains(&self.status) {
            Ok(self.body)
        } else {
            Err(CallError::Status(self.status, self.body))
        }
    }
}

/// One connection, taken from the pool for a call or a transaction.
pub struct Conn {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    token: Rc<str>,
}

/// HTTP client with a pool of idle connections to each address.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    token: Rc<str>,
    connect_timeout: Duration,
}

impl Client {
    /// Creates a client that authenticates to its peers with `secret`.
    pub fn new(secret: &str, connect_ms: u64) -> Client {
        Client {
            idle: RefCell::default(),
            token: format!("Bearer {secret}").into(),
            connect_timeout: Duration::from_millis(connect_ms),
        }
    }

    /// Creates a client that sends no secret, for servers outside the fleet.
    pub fn without_secret(connect_ms: u64) -> Client {
        Client {
            idle: RefCell::default(),
            token: "".into(),
            connect_timeout: Duration::from_millis(connect_ms),
        }
    }

    /// Takes an idle connection to a daemon or opens one.
    ///
    /// A new connection is returned only after the daemon has answered a first request on it: a
    /// network gateway may accept connections for a daemon that has ended, and a request sent there
    /// would have an unknown outcome.
    ///
    /// # Errors
    /// `NotSent` when no connection can be opened, or the daemon does not answer on it in time.
    pub async fn take(&self, addr: SocketAddr) -> Result<Conn, CallError> {
        if let Some(conn) = self.take_idle(addr) {
            return Ok(conn);
        }
        let mut conn = self.open(addr).await?;
        let timeout_ms = u64::try_from(self.connect_timeout.as_millis()).unwrap_or(u64::MAX);
        match conn
            .send("GET", HELLO_PATH, &[], Bytes::new(), timeout_ms)
            .await
        {
            Ok(_) => Ok(conn),
            Err(e) => Err(CallError::NotSent(e.to_string().into())),
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Conn> {
        loop {
            let sender = self.idle.borrow_mut().get_mut(&addr).and_then(Vec::pop)?;
            if sender.is_ready() {
                return Some(Conn {
                    addr,
                    sender,
                    token: self.token.clone(),
                });
            }
        }
    }

    async fn open(&self, addr: SocketAddr) -> Result<Conn, CallError> {
        let not_sent = |e: &dyn std::fmt::Display| CallError::NotSent(e.to_string().into());
        let open = async {
            let stream = TcpStream::connect_addr(addr).await?;
            stream.set_nodelay(true)?;
            let keepalive_interval = Duration::from_secs(1);
            stream.set_tcp_keepalive(Some(KEEPALIVE_IDLE), Some(keepalive_interval), Some(2))?;
            stream.into_poll_io()
        };
        let started_at = Ms::now();
        let opened = monoio::time::timeout(self.connect_timeout, open).await;
        // A process that was frozen meanwhile finds the connection open before it finds the timeout.
        let stream = match opened {
            Ok(result) if Duration::from_millis(started_at.elapsed()) < self.connect_timeout => {
                result.map_err(|e| not_sent(&e))?
            }
            _ => return Err(CallError::NotSent("connecting timed out".into())),
        };
        let (sender, driver) = handshake(MonoioIo::new(stream))
            .await
            .map_err(|e| not_sent(&e))?;
        monoio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Conn {
            addr,
            sender,
            token: self.token.clone(),
        })
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn put(&self, conn: Conn) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(conn.addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDR {
            list.push(conn.sender);
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Makes one call with `MessagePack` bodies on any connection to `addr`.
    ///
    /// # Errors
    /// `NotSent` when the request has certainly had no effect, otherwise `NoAnswer` or `Status`.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        request: &Q,
        timeout_ms: u64,
    ) -> Result<A, CallError> {
        let mut conn = self.take(addr).await?;
        let answer = conn.call(path, request, timeout_ms).await?;
        self.put(conn);
        Ok(answer)
    }

    /// Makes one call with an uninterpreted body, for the platform.
    ///
    /// Unlike `call`, it does not check a new connection first.
    ///
    /// # Errors
    /// `NotSent` when the request has certainly had no effect, otherwise `NoAnswer`, or `Status`
    /// with the body of the answer.
    pub async fn plain(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Bytes, CallError> {
        self.with_headers(addr, method, path, &[], body, timeout_ms)
            .await
    }

    /// Makes one call with an uninterpreted body and additional headers.
    ///
    /// # Errors
    /// Those of `plain`.
    pub async fn with_headers(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Bytes, CallError> {
        let answer = self
            .exchange(addr, method, path, headers, body, timeout_ms)
            .await?;
        answer.into_body()
    }

    /// As `with_headers`, for callers that read headers of the answer.
    ///
    /// # Errors
    /// `NotSent` when the request has certainly had no effect, otherwise `NoAnswer`.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Answer, CallError> {
        let mut conn = match self.take_idle(addr) {
            Some(conn) => conn,
            None => self.open(addr).await?,
        };
        let answer = conn
            .exchange(method, path, headers, body, timeout_ms)
            .await?;
        self.put(conn);
        Ok(answer)
    }
}

impl Conn {
    /// Makes one call with `MessagePack` bodies on this connection.
    ///
    /// # Errors
    /// Those of `Client::call`; after `NotSent` or `NoAnswer` the connection must be dropped.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &mut self,
        path: &str,
        request: &Q,
        timeout_ms: u64,
    ) -> Result<A, CallError> {
        let body = self
            .send("POST", path, &[], Bytes::from(encode(request)), timeout_ms)
            .await?;
        decode(&body).ok_or_else(|| CallError::NoAnswer("the body is malformed".into()))
    }

    async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Bytes, CallError> {
        let answer = self
            .exchange(method, path, headers, body, timeout_ms)
            .await?;
        answer.into_body()
    }

    async fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Answer, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "hollyreach");
        if !self.token.is_empty() {
            request = request.header("authorization", &*self.token);
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|e| CallError::NotSent(e.to_string().into()))?;
        let exchange = async {
            let response = self
                .sender
                .try_send_request(request)
                .await
                .map_err(|mut e| {
                    // hyper returns the request only when none of its bytes were written.
                    let text = e.error().to_string().into();
                    if e.take_message().is_some() {
                        CallError::NotSent(text)
                    } else {
                        CallError::NoAnswer(text)
                    }
                })?;
            let (head, body) = response.into_parts();
            let body = body.collect().await;
            let body = body.map_err(|e| CallError::NoAnswer(e.to_string().into()))?;
            Ok(Answer {
                status: head.status.as_u16(),
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        match monoio::time::timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::NoAnswer("timed out".into())),
        }
    }
}
