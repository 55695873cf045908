//! Connections between daemons. Each is opened with an HTTP `CONNECT` and carries raw bytes after
//! the response head.
//!
//! A daemon whose own network path to a member is cut reaches it through a tunnel over another
//! daemon. Leases, fences and statements work as on a direct connection, since ages are counted
//! from when the request was sent. Other connections hand a caller's session off to an owner of its
//! group, push a configuration, or announce that a VM stops.

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

use crate::state::sleep_ms;
use crate::{Proxy, config_push, handshake};

/// Timeout for opening one connection, including the response to `CONNECT`, and for each step of a
/// config push.
const HOP_TIMEOUT_MS: u64 = 250;
/// Longest HTTP head of a request or response.
const MAX_HEAD_BYTES: usize = 1024;
/// Ends an HTTP head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Number of daemons that are tried for one tunnel.
const MAX_CANDIDATES: usize = 6;
/// Prefix of the target for a session hand-off; the configuration version in force and the name of
/// the sending VM follow.
const SESSION_PREFIX: &str = "session.";
/// Prefix of the target for a config push; the version follows. A daemon that accepts it is sent
/// the encoded configuration.
const CONFIG_PREFIX: &str = "config.";
/// Longest encoded configuration.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Prefix of the target by which a VM announces that it stops; its name follows.
const STOP_PREFIX: &str = "stop.";
/// Attempts to announce the stop to one daemon.
const MAX_STOP_ATTEMPTS: usize = 8;
/// Delay between two attempts to announce the stop.
const STOP_RETRY_DELAY_MS: u64 = 250;
/// Silence after which the reply to a handed-off caller counts as complete.
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
    /// Whether the list has been read at least once.
    is_known: Cell<bool>,
    /// Number of sessions handed off, by the address of the daemon that serves them; no entry is 0.
    handed_off: RefCell<HashMap<SocketAddr, usize>>,
}

impl Peers {
    /// Replaces the list.
    pub fn set(&self, peers: Vec<Peer>) {
        self.list.replace(peers);
        self.is_known.set(true);
    }

    /// Whether the list has been read at least once.
    pub fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// All other daemons.
    pub fn all(&self) -> Vec<Peer> {
        self.list.borrow().clone()
    }

    /// Daemons that serve sessions handed off by this one, or are being offered one.
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

    /// Daemons to tunnel through to a member, in random order, those in its data centre first.
    pub fn tunnel_candidates(&self, data_center: &str) -> Vec<Peer> {
        let mut peers = self.list.borrow().clone();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|p| &*p.data_center != data_center);
        peers.truncate(MAX_CANDIDATES);
        peers
    }
}

async fn with_hop_timeout<T>(hop: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let result = monoio::time::timeout(Duration::from_millis(HOP_TIMEOUT_MS), hop).await;
    result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Opens a tunnel to a member through the first daemon that can reach it.
///
/// # Errors
/// The error of the last attempt when every daemon fails, `NotFound` when `peers` is empty.
pub async fn open(peers: &[Peer], member: SocketAddr) -> io::Result<BufferedStream> {
    let mut last_error = io::ErrorKind::NotFound.into();
    for peer in peers {
        match with_hop_timeout(connect_via(peer.addr, &member.to_string())).await {
            Ok(link) => return Ok(link),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

/// Connects to a daemon and requests a target with HTTP `CONNECT`.
///
/// # Errors
/// `HostUnreachable` when the daemon refuses, `InvalidData` when the response head is too long or
/// cut off.
async fn connect_via(peer: SocketAddr, target: &str) -> io::Result<BufferedStream> {
    let mut link = BufferedStream::new(TcpStream::connect_addr(peer).await?)?;
    let head = format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n\r\n");
    link.send(head.as_bytes()).await?;
    while !link.input.ends_with(HEAD_END) {
        if link.input.len() > MAX_HEAD_BYTES || link.read_more().await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    if !link.input.starts_with(b"HTTP/1.1 200") {
        return Err(io::ErrorKind::HostUnreachable.into());
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
        let owner = with_hop_timeout(connect_via(peer.addr, &target)).await;
        let accepted = owner.is_ok();
        if let Ok(mut owner) = owner {
            // On an error both connections are closed, which is all that either end can be told.
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
    let mut link = match with_hop_timeout(connect_via(
        peer.addr,
        &format!("{CONFIG_PREFIX}{version}"),
    ))
    .await
    {
        Ok(link) => link,
        Err(e) if e.kind() == io::ErrorKind::HostUnreachable => return Ok(()),
        Err(e) => return Err(e),
    };
    with_hop_timeout(async {
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

/// Copies both ways until one side closes, or until `Proxy::force_end` is set and no reply is due.
///
/// A reply is due from the arrival of bytes from the caller until bytes from the owner arrive.
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

/// Tells daemons to end the sessions that this VM handed off to them, once they are between
/// transactions.
pub fn announce_stop(peers: Vec<Peer>, vm: &str) {
    for peer in peers {
        let target = format!("{STOP_PREFIX}{vm}");
        monoio::spawn(async move {
            for _ in 0..MAX_STOP_ATTEMPTS {
                match with_hop_timeout(connect_via(peer.addr, &target)).await {
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
            // For example out of file descriptors; the listener itself stays usable.
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
    let Some(session) = target.strip_prefix(SESSION_PREFIX) else {
        return tunnel_to_member(proxy, stream, target).await;
    };
    let (version, vm) = session.split_once('.').unwrap_or(("", ""));
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
    while with_hop_timeout(link.read_more()).await? > 0 {
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

/// Forwards a connection to a member, if it is listed and has been heard from lately.
async fn tunnel_to_member(proxy: &Proxy, mut stream: TcpStream, target: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let target = target.parse().ok();
    let Some(target) = target.filter(|addr| proxy.may_tunnel_to(*addr)) else {
        return write_response(&mut stream, RESPONSE_REFUSED).await;
    };
    let member = match with_hop_timeout(TcpStream::connect_addr(target)).await {
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
