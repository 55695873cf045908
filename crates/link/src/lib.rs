//! A byte stream, in the clear or under TLS, with an input buffer; every protocol of the project rests on it.

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

/// Bytes asked for in one read.
const READ_SIZE: usize = 4096;

/// The transport of a connection.
pub enum Io {
    /// TCP in the clear.
    Plain(TcpStreamPoll),
    /// TLS, boxed because its state is large.
    Tls(Box<TlsStream<TcpStreamPoll>>),
}

impl Io {
    fn read(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        match self {
            Io::Plain(s) => Pin::new(s).poll_read(cx, buf),
            Io::Tls(s) => Pin::new(s).poll_read(cx, buf),
        }
    }

    fn write(&mut self, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self {
            Io::Plain(s) => Pin::new(s).poll_write(cx, buf),
            Io::Tls(s) => Pin::new(s).poll_write(cx, buf),
        }
    }

    fn shut_down(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        match self {
            Io::Plain(s) => Pin::new(s).poll_shutdown(cx),
            Io::Tls(s) => Pin::new(s).poll_shutdown(cx),
        }
    }

    fn flush(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        match self {
            Io::Plain(s) => Pin::new(s).poll_flush(cx),
            Io::Tls(s) => Pin::new(s).poll_flush(cx),
        }
    }
}

/// A connection with its input buffer. Dropping a pending `fill` loses no bytes.
pub struct Link {
    io: Io,
    /// Bytes read and not yet taken.
    pub input: BytesMut,
}

impl Link {
    /// Takes over a connected stream.
    ///
    /// # Errors
    /// Fails when the stream cannot be registered with the driver.
    pub fn new(stream: TcpStream) -> io::Result<Link> {
        stream.set_nodelay(true)?;
        Ok(Link {
            io: Io::Plain(stream.into_poll_io()?),
            input: BytesMut::new(),
        })
    }

    /// Replaces the transport, keeping the buffer.
    #[must_use]
    pub fn with_io(self, change: impl FnOnce(Io) -> Io) -> Link {
        Link {
            io: change(self.io),
            input: self.input,
        }
    }

    /// Gives the transport back, for a TLS handshake.
    pub fn into_io(self) -> Io {
        self.io
    }

    /// Wraps a transport.
    pub fn from_io(io: Io) -> Link {
        Link {
            io,
            input: BytesMut::new(),
        }
    }

    /// Reads once into the buffer and returns the number of bytes; 0 at the end of the stream.
    ///
    /// # Errors
    /// Returns the error of the transport.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let Link { io, input } = self;
        poll_fn(|cx| {
            // The space lives on the stack for one poll, so an idle connection holds no buffer.
            let mut space = [0; READ_SIZE];
            let mut buf = ReadBuf::new(&mut space);
            match io.read(cx, &mut buf) {
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

    /// Waits until the peer sends or closes; true when bytes came.
    pub async fn readable(&mut self) -> bool {
        matches!(self.fill().await, Ok(n) if n > 0)
    }

    /// Ends the sending half.
    ///
    /// # Errors
    /// Returns the error of the transport.
    pub async fn shut_down(&mut self) -> io::Result<()> {
        poll_fn(|cx| self.io.shut_down(cx)).await
    }

    /// Whether the peer has neither sent anything nor closed; does not wait.
    pub async fn is_quiet(&mut self) -> bool {
        let mut space = [0; 1];
        let mut buf = ReadBuf::new(&mut space);
        poll_fn(|cx| Poll::Ready(self.io.read(cx, &mut buf).is_pending())).await
    }

    /// Frees the buffer of an idle connection.
    pub fn shrink(&mut self) {
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
            let n = poll_fn(|cx| self.io.write(cx, rest)).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[n..];
        }
        poll_fn(|cx| self.io.flush(cx)).await
    }
}
