//! Requests to other daemons.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::{Event, Ms, emit, sleep_ms};
use bytes::BytesMut;
use link::BufferedStream;
use monoio::net::TcpStream;
use quick_error::quick_error;

use super::head::{encode_request, encode_stop, header};
use super::{
    CONFIG_PREFIX, HEAD_END, MAX_HEAD_BYTES, PEER_IO_TIMEOUT_MS, QUOTA_PREFIX, VERSION_HEADER,
    with_peer_timeout,
};
use crate::Peer;

/// Attempts to announce the stop to one daemon.
const MAX_STOP_ATTEMPTS: usize = 8;
/// Delay between two attempts to announce the stop.
const STOP_RETRY_DELAY_MS: u64 = 250;

/// Bytes of a configuration that are sent with one timeout. The slowest links take 50 ms for them.
const CONFIG_PART_BYTES: usize = 64 << 10;

/// Opens a tunnel to a member through the first daemon that can reach it.
///
/// # Errors
/// The error of the last attempt when every daemon fails, `NotFound` when `peers` is empty.
pub(crate) async fn open(peers: &[Peer], member: SocketAddr) -> Result<BufferedStream, PeerError> {
    let mut last_error = io::Error::from(io::ErrorKind::NotFound).into();
    for peer in peers {
        match connect_to_peer(peer.addr, &member.to_string()).await {
            Ok(link) => return Ok(link),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

quick_error! {
    /// Why a daemon opened no connection for a target.
    #[derive(Debug)]
    pub enum PeerError {
        Io(e: io::Error) { from() display("{e}") }
        /// The daemon answered that it does not serve this target; holds the version of its
        /// configuration, if the answer names one.
        Refused(version: Option<u64>) { display("refused by the daemon") }
    }
}

impl From<PeerError> for io::Error {
    fn from(e: PeerError) -> io::Error {
        match e {
            PeerError::Io(e) => e,
            PeerError::Refused(_) => {
                io::Error::new(io::ErrorKind::ConnectionRefused, e.to_string())
            }
        }
    }
}

/// Opens a connection to a daemon for a target, with HTTP `CONNECT`.
///
/// # Errors
/// `PeerError::Refused` when the daemon refuses; `PeerError::Io` with `InvalidData` when the
/// response head is too long or cut off, with `TimedOut` when it does not arrive in time, otherwise
/// with the error of the connection.
pub(super) async fn connect_to_peer(
    peer: SocketAddr,
    target: &str,
) -> Result<BufferedStream, PeerError> {
    Ok(send_head(peer, &encode_request(target)).await?.0)
}

/// As `connect_to_peer`, with a complete request head; also returns the version of the daemon's
/// configuration, if its response names one.
pub(super) async fn send_head(
    peer: SocketAddr,
    head: &str,
) -> Result<(BufferedStream, Option<u64>), PeerError> {
    send_head_within(peer, head, PEER_IO_TIMEOUT_MS).await
}

/// As `send_head`, with another timeout, in ms.
pub(super) async fn send_head_within(
    peer: SocketAddr,
    head: &str,
    timeout_ms: u64,
) -> Result<(BufferedStream, Option<u64>), PeerError> {
    let timeout = Duration::from_millis(timeout_ms);
    let result = monoio::time::timeout(timeout, exchange_heads(peer, head)).await;
    result.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
}

/// Sends a request head and reads that of the response. What follows it is left in the input: an
/// owner answers a handed-off session without further bytes.
async fn exchange_heads(
    peer: SocketAddr,
    head: &str,
) -> Result<(BufferedStream, Option<u64>), PeerError> {
    let mut link = BufferedStream::new(TcpStream::connect_addr(peer).await?)?;
    link.send(head.as_bytes()).await?;
    let response = loop {
        if let Some(response) = take_head(&mut link.input) {
            break response;
        }
        if link.input.len() > MAX_HEAD_BYTES || link.read_more().await? == 0 {
            return Err(io::Error::from(io::ErrorKind::InvalidData).into());
        }
    };
    let response = String::from_utf8_lossy(&response);
    let version = header(&response, VERSION_HEADER).and_then(|v| v.parse().ok());
    if !response.starts_with("HTTP/1.1 200") {
        return Err(PeerError::Refused(version));
    }
    Ok((link, version))
}

/// Removes the head of a response from the input; `None` until it is complete.
fn take_head(input: &mut BytesMut) -> Option<BytesMut> {
    let end = input.windows(HEAD_END.len()).position(|w| w == HEAD_END)?;
    Some(input.split_to(end + HEAD_END.len()))
}

/// Opens a connection to a daemon for requests to the keeper of a shard.
///
/// # Errors
/// As `connect_to_peer`.
pub(crate) async fn connect_to_keeper(
    peer: SocketAddr,
    version: u64,
    shard: u32,
) -> Result<BufferedStream, PeerError> {
    connect_to_peer(peer, &format!("{QUOTA_PREFIX}{version}.{shard}")).await
}

/// Pushes a configuration to a daemon, which accepts it only if its own is older.
///
/// # Errors
/// Connection errors and timeouts. A refusal is one only by a daemon whose configuration is older,
/// as while it receives another push.
pub(crate) async fn push_config(peer: &Peer, version: u64, bytes: &[u8]) -> io::Result<()> {
    let target = format!("{CONFIG_PREFIX}{version}");
    let mut link = match connect_to_peer(peer.addr, &target).await {
        Ok(link) => link,
        Err(PeerError::Refused(Some(theirs))) if theirs < version => {
            return Err(PeerError::Refused(None).into());
        }
        Err(PeerError::Refused(_)) => return Ok(()),
        Err(PeerError::Io(e)) => return Err(e),
    };
    // The timeout is for each part: a large configuration takes seconds on a slow link.
    for part in bytes.chunks(CONFIG_PART_BYTES) {
        with_peer_timeout(link.send(part)).await?;
    }
    with_peer_timeout(link.shut_down()).await
}

/// Requests daemons, each in a background task, to end the sessions that this VM handed off to
/// them, each session once it is outside a transaction. `answer_by` is when this VM passes on the last
/// answers, if that is known.
pub fn announce_stop(peers: Vec<Peer>, vm: &str, answer_by: Option<Ms>) {
    for peer in peers {
        let vm = vm.to_owned();
        monoio::spawn(async move {
            for _ in 0..MAX_STOP_ATTEMPTS {
                let head = encode_stop(&vm, answer_by.map(Ms::left));
                match send_head(peer.addr, &head).await {
                    Ok(_) => return,
                    Err(e) => emit(Event::TunnelFailed, &[("peer", &peer.name), ("cause", &e)]),
                }
                sleep_ms(STOP_RETRY_DELAY_MS).await;
            }
        });
    }
}
