//! Reaches a member through another daemon when the own path to it is cut.
//!
//! The other daemon only passes bytes on, after an HTTP `CONNECT`. Leases, fences and statements
//! work as on a direct connection, since their ages count from the first sending.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, emit};
use link::Link;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable, copy};
use monoio::net::{TcpListener, TcpStream};

use crate::Proxy;

/// Time to open one leg of a tunnel, in ms.
const LEG_MS: u64 = 250;
/// Longest head of a request or an answer, in bytes.
const HEAD_MAX: usize = 1024;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Daemons that are tried for one tunnel.
const TRIES: usize = 6;
/// Pause after a failed accept, in ms.
const AGAIN_MS: u64 = 20;

/// Another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of its VM.
    pub name: Box<str>,
    /// Address for other daemons.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_center: Box<str>,
}

/// The daemons that are known.
#[derive(Default)]
pub struct Peers(RefCell<Vec<Peer>>);

impl Peers {
    /// Takes over a new list.
    pub fn set(&self, peers: Vec<Peer>) {
        self.0.replace(peers);
    }

    /// Daemons to try for a member of a data centre: those beside it first.
    pub fn order(&self, data_center: &str) -> Vec<Peer> {
        let mut peers = self.0.borrow().clone();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|p| &*p.data_center != data_center);
        peers.truncate(TRIES);
        peers
    }
}

async fn within<T>(leg: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let result = monoio::time::timeout(Duration::from_millis(LEG_MS), leg).await;
    result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Opens a tunnel to a member through the first daemon that can reach it.
///
/// # Errors
/// The last failure, when none can.
pub async fn open(peers: &[Peer], member: SocketAddr) -> io::Result<Link> {
    let mut last = io::ErrorKind::NotFound.into();
    for peer in peers {
        match within(through(peer.addr, member)).await {
            Ok(link) => return Ok(link),
            Err(e) => last = e,
        }
    }
    Err(last)
}

async fn through(peer: SocketAddr, member: SocketAddr) -> io::Result<Link> {
    let mut link = Link::new(TcpStream::connect_addr(peer).await?)?;
    let head = format!("CONNECT {member} HTTP/1.1\r\nhost: {member}\r\n\r\n");
    link.send(head.as_bytes()).await?;
    while !link.input.ends_with(HEAD_END) {
        if link.input.len() > HEAD_MAX || link.fill().await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    if !link.input.starts_with(b"HTTP/1.1 200") {
        return Err(io::ErrorKind::HostUnreachable.into());
    }
    link.input.clear();
    Ok(link)
}

/// Passes bytes on for other daemons until the process ends.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(pass_on(proxy.clone(), stream));
        } else {
            // Out of descriptors or the like: the listener itself is sound.
            monoio::time::sleep(Duration::from_millis(AGAIN_MS)).await;
        }
    }
}

async fn pass_on(proxy: Rc<Proxy>, stream: TcpStream) {
    if let Err(e) = try_pass_on(&proxy, stream).await {
        emit(Event::TunnelFailed, &[("cause", &e)]);
    }
}

async fn try_pass_on(proxy: &Proxy, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let head = read_head(&mut stream).await?;
    let target = head.split(' ').nth(1).and_then(|addr| addr.parse().ok());
    let Some(target) = target.filter(|addr| proxy.hears(*addr)) else {
        let (result, _) = stream.write_all(b"HTTP/1.1 502 Bad Gateway\r\n\r\n").await;
        return result.map(|_| ());
    };
    let member = match within(TcpStream::connect_addr(target)).await {
        Ok(member) => member,
        Err(e) => {
            let (result, _) = stream.write_all(b"HTTP/1.1 502 Bad Gateway\r\n\r\n").await;
            return result.and(Err(e));
        }
    };
    member.set_nodelay(true)?;
    let (result, _) = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
    result?;
    let (mut from_peer, mut to_peer) = stream.into_split();
    let (mut from_member, mut to_member) = member.into_split();
    // When one side ends, both connections are closed.
    monoio::select! {
        result = copy(&mut from_peer, &mut to_member) => result,
        result = copy(&mut from_member, &mut to_peer) => result,
    }
    .map(|_| ())
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut space = vec![0; HEAD_MAX];
    while !head.ends_with(HEAD_END) {
        let (result, back) = stream.read(space).await;
        let n = result?;
        space = back;
        head.extend_from_slice(&space[..n]);
        if n == 0 || head.len() > HEAD_MAX {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
