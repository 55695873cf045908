//! A client with persistent connections, one request at a time on each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::server::{decode, encode};

/// Path that every daemon answers at once.
pub const HELLO: &str = "/hello";
/// Silence after which the kernel probes a connection, so that a dead one is found.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Idle connections kept for one address.
const IDLE_MAX: usize = 64;

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The request has not left this process.
        NotSent(text: Box<str>) { display("not sent: {text}") }
        /// The request may have been carried out.
        NoAnswer(text: Box<str>) { display("no answer: {text}") }
        /// The peer answered with a status that is no success.
        Status(code: u16, body: Bytes) { display("status {code}") }
    }
}

impl CallError {
    /// Whether the request certainly had no effect.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, CallError::NotSent(_))
    }
}

/// One connection, held while a call or a transaction needs it.
pub struct Conn {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    token: Rc<str>,
}

/// Idle connections by address.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    token: Rc<str>,
    connect: Duration,
}

impl Client {
    /// Makes a client that shows `secret` to its peers.
    pub fn new(secret: &str, connect_ms: u64) -> Client {
        Client {
            idle: RefCell::default(),
            token: format!("Bearer {secret}").into(),
            connect: Duration::from_millis(connect_ms),
        }
    }

    /// Makes a client that shows no secret, for servers outside the fleet.
    pub fn bare(connect_ms: u64) -> Client {
        Client {
            idle: RefCell::default(),
            token: "".into(),
            connect: Duration::from_millis(connect_ms),
        }
    }

    /// Takes an idle connection to a daemon or opens one.
    ///
    /// A new connection is only handed out once the daemon has answered on it: a gateway may
    /// accept connections for a daemon that is gone, and a request sent there would have an
    /// unknown outcome.
    ///
    /// # Errors
    /// Fails as `CallError::NotSent` when no connection can be opened in time.
    pub async fn take(&self, addr: SocketAddr) -> Result<Conn, CallError> {
        if let Some(conn) = self.idle_one(addr) {
            return Ok(conn);
        }
        let mut conn = self.open(addr).await?;
        let within = u64::try_from(self.connect.as_millis()).unwrap_or(u64::MAX);
        match conn.send("GET", HELLO, &[], Bytes::new(), within).await {
            Ok(_) => Ok(conn),
            Err(e) => Err(CallError::NotSent(e.to_string().into())),
        }
    }

    fn idle_one(&self, addr: SocketAddr) -> Option<Conn> {
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
            let second = Duration::from_secs(1);
            stream.set_tcp_keepalive(Some(PROBE_AFTER), Some(second), Some(2))?;
            stream.into_poll_io()
        };
        let stream = match monoio::time::timeout(self.connect, open).await {
            Ok(result) => result.map_err(|e| not_sent(&e))?,
            Err(_) => return Err(CallError::NotSent("connecting took too long".into())),
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

    /// Gives a connection back after a whole answer.
    pub fn put(&self, conn: Conn) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(conn.addr).or_default();
        if list.len() < IDLE_MAX {
            list.push(conn.sender);
        }
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// One call with `MessagePack` bodies on any connection.
    ///
    /// # Errors
    /// Tells whether the request may have been carried out.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        ask: &Q,
        within: u64,
    ) -> Result<A, CallError> {
        let mut conn = self.take(addr).await?;
        let answer = conn.call(path, ask, within).await?;
        self.put(conn);
        Ok(answer)
    }

    /// One call with plain bytes, for the platform.
    ///
    /// # Errors
    /// As `call`; a status other than 200 is `CallError::Status`.
    pub async fn plain(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
        within: u64,
    ) -> Result<Bytes, CallError> {
        self.with_headers(addr, method, path, &[], body, within)
            .await
    }

    /// As `plain`, with headers of the caller's choice.
    ///
    /// # Errors
    /// As `plain`.
    pub async fn with_headers(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        within: u64,
    ) -> Result<Bytes, CallError> {
        let mut conn = match self.idle_one(addr) {
            Some(conn) => conn,
            None => self.open(addr).await?,
        };
        let result = conn.send(method, path, headers, body, within).await;
        if matches!(result, Ok(_) | Err(CallError::Status(..))) {
            self.put(conn);
        }
        result
    }
}

impl Conn {
    /// One call with `MessagePack` bodies on this connection.
    ///
    /// # Errors
    /// After `CallError::NoAnswer` the connection must be dropped.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &mut self,
        path: &str,
        ask: &Q,
        within: u64,
    ) -> Result<A, CallError> {
        let body = self
            .send("POST", path, &[], Bytes::from(encode(ask)), within)
            .await?;
        decode(&body).ok_or_else(|| CallError::NoAnswer("the answer cannot be read".into()))
    }

    async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        within: u64,
    ) -> Result<Bytes, CallError> {
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
                    // The library hands the request back only when none of its bytes were written.
                    let text = e.error().to_string().into();
                    if e.take_message().is_some() {
                        CallError::NotSent(text)
                    } else {
                        CallError::NoAnswer(text)
                    }
                })?;
            let code = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body
                .map_err(|e| CallError::NoAnswer(e.to_string().into()))?
                .to_bytes();
            if (200..300).contains(&code) {
                Ok(body)
            } else {
                Err(CallError::Status(code, body))
            }
        };
        match monoio::time::timeout(Duration::from_millis(within), exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::NoAnswer("the answer took too long".into())),
        }
    }
}
