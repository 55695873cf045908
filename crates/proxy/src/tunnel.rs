//! Connections between daemons. Each is opened with an HTTP `CONNECT`, whose target tells what it
//! is for:
//! - `IP:PORT`: a tunnel to the member at this address.
//! - `session.VERSION.VM`: the hand-off of a caller's session to an owner of its group.
//! - `config.VERSION`: the push of a configuration.
//! - `stop.VM`: the announcement that a VM stops; no bytes follow the response.
//!
//! A daemon whose own network path to a member is cut reaches it through a tunnel over another
//! daemon. Leases, fences and statements work as on a direct connection: the age of a probe result
//! or position sample is counted from the sending of its request, so the delay of the tunnel cannot
//! make it look newer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, emit};
use link::BufferedStream;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable, copy};
use monoio::net::{TcpListener, TcpStream};
use quick_error::quick_error;

use crate::state::sleep_ms;
use crate::{Proxy, config_push, handshake};

/// Timeout for opening a connection to a daemon, including the response to `CONNECT`, or to the
/// member behind a tunnel; also for sending a configuration and for each read of one.
const PEER_IO_TIMEOUT_MS: u64 = 250;
/// Longest HTTP head of a request or response.
const MAX_HEAD_BYTES: usize = 1024;
/// Ends an HTTP head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Maximum number of daemons that are tried for one tunnel.
const MAX_CANDIDATES: usize = 6;
/// Prefix of the target for a session hand-off; `VERSION.VM` follows, which is the version of the
/// configuration in force at the sender and the name of its VM.
const SESSION_PREFIX: &str = "session.";
/// Prefix of the target for a config push; the version follows. After the daemon has accepted it,
/// the sender transmits the encoded configuration.
const CONFIG_PREFIX: &str = "config.";
/// Longest encoded configuration.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Prefix of the target by which a VM announces that it stops; its name follows.
const STOP_PREFIX: &str = "stop.";
/// Attempts to announce the stop to one daemon.
const MAX_STOP_ATTEMPTS: usize = 8;
/// Delay between two attempts to announce the stop.
const STOP_RETRY_DELAY_MS: u64 = 250;
/// Time without bytes after which the reply to a handed-off caller counts as complete.
const REPLY_SILENCE_MS: u64 = 100;
/// Response to an accepted request.
const RESPONSE_OK: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
/// Response to a refused request.
const RESPONSE_REFUSED: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\n\r\n";
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the daemon's VM.
    pub name: Box<str>,
    /// Address at which it accepts connections from other daemons.
    pub addr: SocketAddr,
    pub data_center: Box<str>,
}

/// The other daemons of the fleet.
#[derive(Default)]
pub struct Peers {
    list: RefCell<Vec<Peer>>,
    /// Whether `set` has been called.
    is_known: Cell<bool>,
    /// Number of sessions handed off or being offered, by the address of the other daemon; an
    /// absent address means none.
    handed_off: RefCell<HashMap<SocketAddr, usize>>,
}

impl Peers {
    /// Replaces the list.
    pub fn set(&self, peers: Vec<Peer>) {
        self.list.replace(peers);
        self.is_known.set(true);
    }

    /// Whether the list has been set, even to an empty one.
    pub fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// All other daemons.
    pub fn all(&self) -> Vec<Peer> {
        self.list.borrow().clone()
    }

    /// Listed daemons that serve sessions handed off by this one, or are being offered one.
    pub fn hand_off_targets(&self) -> Vec<Peer> {
        let handed_off = self.handed_off.borrow();
        let peers = self.list.borrow();
        let serving = peers.iter().filter(|p| handed_off.contains_key(&p.addr));
        serving.cloned().collect()
    }

    fn add_handed_off(&self, addr: SocketAddr) {
        *self.handed_off.borrow_mut().entry(addr).or_default() += 1;
    }

    fn remove_handed_off(&self, addr: SocketAddr) {
        let mut handed_off = self.handed_off.borrow_mut();
        let Some(count) = handed_off.get_mut(&addr) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            handed_off.remove(&addr);
        }
    }

    /// Up to `MAX_CANDIDATES` daemons to tunnel through to a member of a data centre: in random
    /// order, those in that data centre first.
    pub fn tunnel_candidates(&self, data_center: &str) -> Vec<Peer> {
        let mut peers = self.list.borrow().clone();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|p| &*p.data_center != data_center);
        peers.truncate(MAX_CANDIDATES);
        peers
    }
}

async fn with_peer_timeout<T>(operation: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let result = monoio::time::timeout(Duration::from_millis(PEER_IO_TIMEOUT_MS), operation).await;
    result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

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
        /// The daemon answered that it does not serve this target.
        Refused { display("refused by the daemon") }
    }
}

impl From<PeerError> for io::Error {
    fn from(e: PeerError) -> io::Error {
        match e {
            PeerError::Io(e) => e,
            PeerError::Refused => io::Error::new(io::ErrorKind::ConnectionRefused, e.to_string()),
        }
    }
}

/// Opens a connection to a daemon for a target, with HTTP `CONNECT`.
///
/// # Errors
/// `PeerError::Refused` when the daemon refuses; `PeerError::Io` with `InvalidData` when the
/// response head is too long or cut off, with `TimedOut` when it does not arrive in time, otherwise
/// with the error of the connection.
async fn connect_to_peer(peer: SocketAddr, target: &str) -> Result<BufferedStream, PeerError> {
    let timeout = Duration::from_millis(PEER_IO_TIMEOUT_MS);
    let result = monoio::time::timeout(timeout, request_target(peer, target)).await;
    result.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
}

async fn request_target(peer: SocketAddr, target: &str) -> Result<BufferedStream, PeerError> {
    let mut link = BufferedStream::new(TcpStream::connect_addr(peer).await?)?;
    let head = format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n\r\n");
    link.send(head.as_bytes()).await?;
    while !link.input.ends_with(HEAD_END) {
        if link.input.len() > MAX_HEAD_BYTES || link.read_more().await? == 0 {
            return Err(io::Error::from(io::ErrorKind::InvalidData).into());
        }
    }
    if !link.input.starts_with(b"HTTP/1.1 200") {
        return Err(PeerError::Refused);
    }
    link.input.clear();
    Ok(link)
}

/// Hands a session off to the first of several daemons that accepts it, and forwards bytes both
/// ways until it ends. Input that is already buffered is forwarded first.
///
/// # Errors
/// Returns the caller's connection when no daemon accepts.
pub async fn hand_off(
    proxy: &Proxy,
    peers: &[Peer],
    mut caller: BufferedStream,
) -> Result<(), BufferedStream> {
    for peer in peers {
        let target = format!(
            "{SESSION_PREFIX}{}.{}",
            proxy.config_version.get(),
            proxy.settings.name
        );
        // Counted before the attempt, so that a configuration that comes into force meanwhile is
        // pushed to this peer too.
        proxy.peers.add_handed_off(peer.addr);
        let owner = connect_to_peer(peer.addr, &target).await;
        let accepted = owner.is_ok();
        if let Ok(mut owner) = owner {
            // The error is dropped: both connections are closed, and a byte stream has no room for
            // an error message.
            let _ = copy_both_ways(proxy, &mut caller, &mut owner).await;
        }
        proxy.peers.remove_handed_off(peer.addr);
        if accepted {
            return Ok(());
        }
    }
    Err(caller)
}

/// Pushes a configuration to a daemon, which accepts it only if its own is older.
///
/// # Errors
/// Connection errors and timeouts; a refusal is no error.
pub(crate) async fn push_config(peer: &Peer, version: u64, bytes: &[u8]) -> io::Result<()> {
    let target = format!("{CONFIG_PREFIX}{version}");
    let mut link = match connect_to_peer(peer.addr, &target).await {
        Ok(link) => link,
        Err(PeerError::Refused) => return Ok(()),
        Err(PeerError::Io(e)) => return Err(e),
    };
    with_peer_timeout(async {
        link.send(bytes).await?;
        link.shut_down().await
    })
    .await
}

/// Completes after `REPLY_SILENCE_MS` if `enabled`, never otherwise.
async fn reply_silence(enabled: bool) {
    if enabled {
        sleep_ms(REPLY_SILENCE_MS).await;
    } else {
        std::future::pending::<()>().await;
    }
}

/// Copies both ways until one side closes. Once `Proxy::force_end` is set and no reply is due, it
/// also ends after `REPLY_SILENCE_MS` without bytes.
///
/// A reply is due at the start, and from the arrival of bytes from the caller until bytes from the
/// owner arrive.
async fn copy_both_ways(
    proxy: &Proxy,
    caller: &mut BufferedStream,
    owner: &mut BufferedStream,
) -> io::Result<()> {
    let mut reply_due = true;
    loop {
        let bytes = caller.input.split();
        reply_due |= !bytes.is_empty();
        owner.send(&bytes).await?;
        let bytes = owner.input.split();
        reply_due &= bytes.is_empty();
        caller.send(&bytes).await?;
        caller.release_buffer();
        owner.release_buffer();
        let generation = proxy.stop_signal.generation();
        let bytes_read = monoio::select! {
            bytes_read = caller.read_more() => bytes_read?,
            bytes_read = owner.read_more() => bytes_read?,
            () = proxy.stop_signal.wait_past(generation) => continue,
            () = reply_silence(proxy.force_end.get() && !reply_due) => return Ok(()),
        };
        if bytes_read == 0 {
            let bytes = owner.input.split();
            return caller.send(&bytes).await;
        }
    }
}

/// Requests daemons, each in a background task, to end the sessions that this VM handed off to
/// them, each session once it is outside a transaction.
pub fn announce_stop(peers: Vec<Peer>, vm: &str) {
    for peer in peers {
        let target = format!("{STOP_PREFIX}{vm}");
        monoio::spawn(async move {
            for _ in 0..MAX_STOP_ATTEMPTS {
                match connect_to_peer(peer.addr, &target).await {
                    Ok(_) => return,
                    Err(e) => emit(Event::TunnelFailed, &[("peer", &peer.name), ("cause", &e)]),
                }
                sleep_ms(STOP_RETRY_DELAY_MS).await;
            }
        });
    }
}

/// Accepts connections from other daemons until the process ends.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve_conn(proxy.clone(), stream));
        } else {
            // `accept` fails, for example, when no file descriptor is free; the listener stays
            // usable.
            monoio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
        }
    }
}

async fn serve_conn(proxy: Rc<Proxy>, mut stream: TcpStream) {
    let result = match read_head(&mut stream).await {
        Ok(head) => handle_request(&proxy, stream, &head).await,
        Err(e) => Err(e),
    };
    if let Err(e) = result {
        emit(Event::TunnelFailed, &[("cause", &e)]);
    }
}

/// Handles a `CONNECT` request of another daemon according to its target.
async fn handle_request(proxy: &Rc<Proxy>, mut stream: TcpStream, head: &str) -> io::Result<()> {
    let target = head.split(' ').nth(1).unwrap_or("");
    if let Some(vm) = target.strip_prefix(STOP_PREFIX) {
        proxy.drain_sessions_from(vm);
        return write_response(&mut stream, RESPONSE_OK).await;
    }
    if let Some(version) = target.strip_prefix(CONFIG_PREFIX) {
        return receive_config(proxy, stream, version).await;
    }
    let Some(version_and_vm) = target.strip_prefix(SESSION_PREFIX) else {
        return tunnel_to_member(proxy, stream, target).await;
    };
    let (version, vm) = version_and_vm.split_once('.').unwrap_or(("", ""));
    // Refused while the sender's configuration is newer: the session would be served by an older
    // one than is in force at the sender.
    if version
        .parse()
        .is_ok_and(|version: u64| version > proxy.config_version.get())
    {
        return write_response(&mut stream, RESPONSE_REFUSED).await;
    }
    write_response(&mut stream, RESPONSE_OK).await?;
    let origin = Some(Box::from(vm));
    handshake::serve_session(proxy.clone(), BufferedStream::new(stream)?, origin).await;
    Ok(())
}

/// Accepts a config push that is newer than the configuration in force.
async fn receive_config(proxy: &Rc<Proxy>, mut stream: TcpStream, version: &str) -> io::Result<()> {
    let newer = version
        .parse()
        .is_ok_and(|v: u64| v > proxy.config_version.get());
    if !newer {
        return write_response(&mut stream, RESPONSE_REFUSED).await;
    }
    write_response(&mut stream, RESPONSE_OK).await?;
    let mut link = BufferedStream::new(stream)?;
    while with_peer_timeout(link.read_more()).await? > 0 {
        if link.input.len() > MAX_CONFIG_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    config_push::receive(proxy, &link.input).map_err(io::Error::other)
}

async fn write_response(stream: &mut TcpStream, head: &'static [u8]) -> io::Result<()> {
    let (result, _) = stream.write_all(head).await;
    result.map(|_| ())
}

/// Forwards a connection to a member if `Proxy::may_tunnel_to` allows its address.
async fn tunnel_to_member(proxy: &Proxy, mut stream: TcpStream, target: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let target = target.parse().ok();
    let Some(target) = target.filter(|addr| proxy.may_tunnel_to(*addr)) else {
        return write_response(&mut stream, RESPONSE_REFUSED).await;
    };
    let member = match with_peer_timeout(TcpStream::connect_addr(target)).await {
        Ok(member) => member,
        Err(e) => {
            write_response(&mut stream, RESPONSE_REFUSED).await?;
            return Err(e);
        }
    };
    member.set_nodelay(true)?;
    write_response(&mut stream, RESPONSE_OK).await?;
    let (mut from_peer, mut to_peer) = stream.into_split();
    let (mut from_member, mut to_member) = member.into_split();
    // When one side closes, both connections are closed.
    monoio::select! {
        result = copy(&mut from_peer, &mut to_member) => result,
        result = copy(&mut from_member, &mut to_peer) => result,
    }
    .map(|_| ())
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut buf = vec![0; MAX_HEAD_BYTES];
    while !head.ends_with(HEAD_END) {
        let (result, returned_buf) = stream.read(buf).await;
        let n = result?;
        buf = returned_buf;
        head.extend_from_slice(&buf[..n]);
        if n == 0 || head.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
