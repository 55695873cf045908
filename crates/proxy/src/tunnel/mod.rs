//! Connections between daemons. Each is opened with an HTTP `CONNECT`, whose target tells what it
//! is for:
//! - `IP:PORT`: a tunnel to the member at this address.
//! - `session.VERSION.VM`: the hand-off of a caller's session to an owner of its group. The headers
//!   hold what the caller's first message said: `database`, `credential` (the digest of its key, if
//!   it has sent one) and `account` (the one that the sender has found, if any). `stand-in` says that no
//!   owner answers the sender. The messages that follow the first one pass on the connection.
//! - `config.VERSION`: the push of a configuration.
//! - `quota.VERSION.SHARD`: requests to the keeper of a shard of the rate limits.
//! - `version.VERSION.VM`: the version of the configuration in force on a VM; no bytes follow the
//!   response.
//! - `stop.VM`: the announcement that a VM stops; no bytes follow the response. The header
//!   `answer-within-ms` says for how long it can pass on answers.
//!
//! The responses to a hand-off, a push and a version name the version of the configuration in force in the
//! header `version`. Of two daemons, the one with the newer configuration pushes it to the other.
//! `GET` requests are passed on to a handler that the caller of `serve_with` supplies.
//!
//! A daemon whose own network path to a member is cut reaches it through a tunnel over another
//! daemon. Leases, fences and statements work as on a direct connection: the age of a probe result
//! or position sample is counted from the sending of its request, so the delay of the tunnel cannot
//! make it look newer.

mod connect;
mod due;
mod exchange;
mod get;
mod hand_off;
mod head;
mod server;
mod version;

use std::io;
use std::time::Duration;

use monoio::io::AsyncReadRent;
use monoio::net::TcpStream;

pub use connect::announce_stop;
pub(crate) use connect::{PeerError, connect_to_keeper, open, push_config};
pub use exchange::Exchange;
pub use get::{GetAnswer, GetHandler};
pub use hand_off::hand_off;
pub use head::{decode_hand_off, encode_hand_off};
pub use server::{serve, serve_with};
pub(crate) use version::compare as is_reachable;

/// Timeout for opening a connection to a daemon, including the response to `CONNECT`, or to the
/// member behind a tunnel; also for sending a part of a configuration and for each read of one.
const PEER_IO_TIMEOUT_MS: u64 = 250;
/// Longest HTTP head of a request or response.
const MAX_HEAD_BYTES: usize = 8192;
/// Bytes of one read of a request's head.
const HEAD_CHUNK_BYTES: usize = 1024;
/// Ends an HTTP head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Prefix of the target for a session hand-off; `VERSION.VM` follows, which is the version of the
/// configuration in force at the sender and the name of its VM.
const SESSION_PREFIX: &str = "session.";
/// Prefix of the target for a config push; the version follows. After the daemon has accepted it,
/// the sender transmits the encoded configuration.
const CONFIG_PREFIX: &str = "config.";
/// Prefix of the target for requests to the keeper of a shard; `VERSION.SHARD` follows, the version as
/// for a hand-off.
const QUOTA_PREFIX: &str = "quota.";
/// Prefix of the target by which a VM tells the version of its configuration; `VERSION.VM` follows.
const VERSION_PREFIX: &str = "version.";
/// Prefix of the target by which a VM announces that it stops; its name follows.
const STOP_PREFIX: &str = "stop.";
/// Header of a response with the version of the configuration in force.
const VERSION_HEADER: &str = "version";

async fn with_peer_timeout<T>(operation: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let result = monoio::time::timeout(Duration::from_millis(PEER_IO_TIMEOUT_MS), operation).await;
    result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut buf = vec![0; HEAD_CHUNK_BYTES];
    while !head.ends_with(HEAD_END) {
        let (result, returned_buf) = stream.read(buf).await;
        let n = result?;
        buf = returned_buf;
        head.extend_from_slice(&buf[..n]);
        if n == 0 || head.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    String::from_utf8(head).map_err(|_| io::ErrorKind::InvalidData.into())
}
