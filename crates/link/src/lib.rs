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
pub enum Transport {
    /// TCP in the clear.
    Plain(TcpStreamPoll),
    /// TLS, boxed because its state is large.
    Tls(Box<TlsStream<TcpStreamPoll>>),
}

impl Transport {
    fn read(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        match self {
            Transport::Plain(s) => Pin::new(s).poll_read(cx, buf),
            Transport::Tls(s) => Pin::new(s).poll_read(cx, buf),
        }
    }

    fn write(&mut self, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self {
            Transport::Plain(s) => Pin::new(s).poll_write(cx, buf),
            Transport::Tls(s) => Pin::new(s).poll_write(cx, buf),
        }
    }

    fn shut_down(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        match self {
            Transport::Plain(s) => Pin::new(s).poll_shutdown(cx),
            Transport::Tls(s) => Pin::new(s).poll_shutdown(cx),
        }
    }

    fn flush(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        match self {
            Transport::Plain(s) => Pin::new(s).poll_flush(cx),
            Transport::Tls(s) => Pin::new(s).poll_flush(cx),
        }
    }
}

/// A connection with its input buffer. Dropping a pending `read_more` loses no bytes.
pub struct BufferedStream {
    io: Transport,
    /// Bytes read and not yet taken.
    pub input: BytesMut,
}

impl BufferedStream {
    /// Takes over a connected stream.
    ///
    /// # Errors
    /// Fails when the stream cannot be registered with the driver.
    pub fn new(stream: TcpStream) -> io::Result<BufferedStream> {
        stream.set_nodelay(true)?;
        Ok(BufferedStream {
            io: Transport::Plain(stream.into_poll_io()?),
            input: BytesMut::new(),
        })
    }

    /// Replaces the transport, keeping the buffer.
    #[must_use]
    pub fn with_transport(self, change: impl FnOnce(Transport) -> Transport) -> BufferedStream {
        BufferedStream {
            io: change(self.io),
            input: self.input,
        }
    }

    /// Gives the transport back, for a TLS handshake.
    pub fn into_transport(self) -> Transport {
        self.io
    }

    /// Wraps a transport.
    pub fn from_transport(io: Transport) -> BufferedStream {
        BufferedStream {
            io,
            input: BytesMut::new(),
        }
    }

    /// Reads once into the buffer and returns the number of bytes; 0 at the end of the stream.
    ///
    /// # Errors
    /// Returns the error of the transport.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        let BufferedStream { io, input } = self;
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
        matches!(self.read_more().await, Ok(n) if n > 0)
    }

    /// Ends the sending half.
    ///
    /// # Errors
    /// Returns the error of the transport.
    pub async fn shut_down(&mut self) -> io::Result<()> {
        poll_fn(|cx| self.io.shut_down(cx)).await
    }

    /// Whether the peer has neither sent anything nor closed; does not wait.
    pub async fn is_idle(&mut self) -> bool {
        let mut space = [0; 1];
        let mut buf = ReadBuf::new(&mut space);
        poll_fn(|cx| Poll::Ready(self.io.read(cx, &mut buf).is_pending())).await
    }

    /// Frees the buffer of an idle connection.
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
            let n = poll_fn(|cx| self.io.write(cx, rest)).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[n..];
        }
        poll_fn(|cx| self.io.flush(cx)).await
    }
}
