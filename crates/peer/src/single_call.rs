//! A connection that carries one call, for calls that must not reach their peer late.
//!
//! What has been written to a connection is sent even after an orderly close, for as long as the
//! kernel finds no path. A reset takes back whatever the peer's kernel has not received.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use base::Ms;
use bytes::Bytes;
use hyper::Request;
use hyper::body::{Body, Frame, SizeHint};
use hyper::client::conn::http1::handshake;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;
use quick_error::quick_error;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, connect, socket_with, sockopt};

use crate::CallError;

/// Time after which the kernel gives up on bytes that the peer has not acknowledged, in ms.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2000;

/// A new connection for one call. Dropping it, or the call, resets it.
pub struct SingleCall {
    stream: TcpStream,
    /// When it was found open.
    pub opened_at: Ms,
}

quick_error! {
    #[derive(Debug)]
    enum BodyError {
        Expired { display("the call is too late") }
    }
}

/// Body of a request that fails, so that the request stays incomplete, if it is written too late.
struct TimedBody {
    data: Option<Bytes>,
    /// Instant from which on it fails.
    until: Ms,
    is_written: Rc<Cell<bool>>,
}

impl Body for TimedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.until.left() == 0 {
            return Poll::Ready(Some(Err(BodyError::Expired)));
        }
        self.is_written.set(true);
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let len = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(len as u64)
    }
}

/// Starts to connect, without waiting.
fn start_connecting(addr: SocketAddr) -> Result<StdStream, Errno> {
    let family = if addr.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_linger(&socket, Some(Duration::ZERO))?;
    sockopt::set_tcp_user_timeout(&socket, UNACKNOWLEDGED_TIMEOUT_MS)?;
    sockopt::set_tcp_nodelay(&socket, true)?;
    match connect(&socket, &addr) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(socket.into()),
        Err(e) => Err(e),
    }
}

impl SingleCall {
    /// Opens a connection, which shows that there is a path in both directions.
    ///
    /// # Errors
    /// `CallError::NotSent`, also when the process was frozen for longer than the timeout meanwhile.
    pub async fn open(addr: SocketAddr, timeout_ms: u64) -> Result<SingleCall, CallError> {
        let started_at = Ms::now();
        let open = async {
            let stream = TcpStream::from_std(start_connecting(addr)?)?;
            stream.writable(false).await?;
            stream.peer_addr()?;
            Ok::<TcpStream, std::io::Error>(stream)
        };
        let opened = monoio::time::timeout(Duration::from_millis(timeout_ms), open).await;
        let not_sent = |text: &str| CallError::NotSent(text.into());
        let stream = match opened {
            Ok(result) if started_at.elapsed() < timeout_ms => {
                result.map_err(|e| not_sent(&e.to_string()))?
            }
            _ => return Err(not_sent("connecting timed out")),
        };
        Ok(SingleCall {
            stream,
            opened_at: Ms::now(),
        })
    }

    /// Makes the call and returns the status of the answer, however long it takes; nothing is written from
    /// `until` on.
    ///
    /// # Errors
    /// `NotSent` when the request has certainly had no effect, otherwise `NoAnswer`.
    pub async fn send(
        self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        until: Ms,
    ) -> Result<u16, CallError> {
        let not_sent = |e: &dyn std::fmt::Display| CallError::NotSent(e.to_string().into());
        let is_written = Rc::new(Cell::new(false));
        let body = TimedBody {
            data: Some(body),
            until,
            is_written: is_written.clone(),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "hollyreach");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body).map_err(|e| not_sent(&e))?;
        let stream = self.stream.into_poll_io().map_err(|e| not_sent(&e))?;
        let opened = handshake(MonoioIo::new(stream)).await;
        let (mut sender, driver) = opened.map_err(|e| not_sent(&e))?;
        let answer = pin!(sender.send_request(request));
        match drive(answer, pin!(driver)).await {
            Some(Ok(response)) => Ok(response.status().as_u16()),
            Some(Err(e)) if !is_written.get() => Err(not_sent(&e)),
            Some(Err(e)) => Err(CallError::NoAnswer(e.to_string().into())),
            None => Err(CallError::NoAnswer("the connection was closed".into())),
        }
    }
}

/// Runs an exchange together with its connection, so that dropping it drops the connection. `None` if
/// the connection ends without a result.
async fn drive<A: Future, D: Future>(
    mut answer: Pin<&mut A>,
    mut driver: Pin<&mut D>,
) -> Option<A::Output> {
    let mut has_ended = false;
    poll_fn(move |cx| {
        loop {
            if let Poll::Ready(result) = answer.as_mut().poll(cx) {
                return Poll::Ready(Some(result));
            }
            if has_ended {
                return Poll::Ready(None);
            }
            if driver.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            has_ended = true;
        }
    })
    .await
}
