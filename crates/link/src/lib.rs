//! Buffered byte stream over TCP or TLS, used for callers' connections, for those to members and for
//! outgoing tunnels.

mod accept;

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::BytesMut;
use monoio::io::IntoPollIo;
use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use monoio::net::TcpStream;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use tokio_rustls::server::TlsStream;

pub use accept::accept;

/// Maximum number of bytes per read.
const READ_BYTES: usize = 4096;

/// The transport of a connection.
pub enum Transport {
    /// Unencrypted TCP.
    Plain(TcpStreamPoll),
    /// TLS, boxed because its state is large.
    Tls(Box<TlsStream<TcpStreamPoll>>),
}

impl Transport {
    fn poll_read(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        match self {
            Transport::Plain(s) => Pin::new(s).poll_read(cx, buf),
            Transport::Tls(s) => Pin::new(s).poll_read(cx, buf),
        }
    }

    fn poll_write(&mut self, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self {
            Transport::Plain(s) => Pin::new(s).poll_write(cx, buf),
            Transport::Tls(s) => Pin::new(s).poll_write(cx, buf),
        }
    }

    fn poll_shutdown(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        match self {
            Transport::Plain(s) => Pin::new(s).poll_shutdown(cx),
            Transport::Tls(s) => Pin::new(s).poll_shutdown(cx),
        }
    }

    fn poll_flush(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        match self {
            Transport::Plain(s) => Pin::new(s).poll_flush(cx),
            Transport::Tls(s) => Pin::new(s).poll_flush(cx),
        }
    }
}

/// A connection with its input buffer.
///
/// `read_more` is cancel-safe: dropping it while it is pending loses no bytes.
pub struct BufferedStream {
    transport: Transport,
    /// Bytes received and not yet consumed.
    pub input: BytesMut,
}

impl BufferedStream {
    /// Wraps a connected TCP stream and sets `TCP_NODELAY`.
    ///
    /// # Errors
    /// Fails when the socket option cannot be set or the stream cannot be registered with the
    /// driver.
    pub fn new(stream: TcpStream) -> io::Result<BufferedStream> {
        stream.set_nodelay(true)?;
        Ok(BufferedStream {
            transport: Transport::Plain(stream.into_poll_io()?),
            input: BytesMut::new(),
        })
    }

    /// Replaces the transport and keeps the input buffer.
    #[must_use]
    pub fn with_transport(self, convert: impl FnOnce(Transport) -> Transport) -> BufferedStream {
        BufferedStream {
            transport: convert(self.transport),
            input: self.input,
        }
    }

    /// Returns the transport, for a TLS handshake; drops the input buffer.
    pub fn into_transport(self) -> Transport {
        self.transport
    }

    /// Wraps a transport, with an empty input buffer.
    pub fn from_transport(transport: Transport) -> BufferedStream {
        BufferedStream {
            transport,
            input: BytesMut::new(),
        }
    }

    /// Reads once into the buffer and returns the number of bytes; 0 at the end of the stream.
    ///
    /// # Errors
    /// Returns the error of the transport.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        let n = self.read_once().await?;
        if n == READ_BYTES {
            // More is probably at hand. A peer that sends without a pause must not keep other tasks
            // from running.
            yield_now().await;
        }
        Ok(n)
    }

    async fn read_once(&mut self) -> io::Result<usize> {
        let BufferedStream { transport, input } = self;
        poll_fn(|cx| {
            // The chunk lives on the stack for one poll, so an idle connection holds no buffer.
            let mut chunk = [0; READ_BYTES];
            let mut buf = ReadBuf::new(&mut chunk);
            match transport.poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) => {
                    input.extend_from_slice(buf.filled());
                    Poll::Ready(Ok(buf.filled().len()))
                }
                Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Waits until the peer sends or closes, and buffers what it sent; true when bytes were
    /// received.
    pub async fn readable(&mut self) -> bool {
        matches!(self.read_more().await, Ok(n) if n > 0)
    }

    /// Shuts down the sending half.
    ///
    /// # Errors
    /// Returns the error of the transport.
    pub async fn shut_down(&mut self) -> io::Result<()> {
        poll_fn(|cx| self.transport.poll_shutdown(cx)).await
    }

    /// Whether the peer has neither closed nor sent anything that is still unread. Does not wait.
    ///
    /// May discard a byte, so the connection must be closed after `false`.
    pub async fn is_idle(&mut self) -> bool {
        let mut byte = [0; 1];
        let mut buf = ReadBuf::new(&mut byte);
        poll_fn(|cx| Poll::Ready(self.transport.poll_read(cx, &mut buf).is_pending())).await
    }

    /// Frees the input buffer if it is empty.
    pub fn release_buffer(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// Writes all bytes and flushes.
    ///
    /// # Errors
    /// Returns the error of the transport.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let n = poll_fn(|cx| self.transport.poll_write(cx, rest)).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[n..];
        }
        poll_fn(|cx| self.transport.poll_flush(cx)).await
    }
}

/// Lets the other tasks that are ready run first.
async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
