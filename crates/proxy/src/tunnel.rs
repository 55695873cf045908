//! Connections between daemons, each opened by an HTTP `CONNECT` and raw bytes from then on.
//!
//! A member is reached through another daemon when the own path to it is cut; leases, fences and
//! statements work as on a direct connection, since their ages count from the first sending. In a
//! large fleet, a caller's whole session is handed to a daemon that serves its group.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, emit};
use link::Link;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable, copy};
use monoio::net::{TcpListener, TcpStream};

use crate::{Proxy, session};

/// Time to open one leg of a tunnel, in ms.
const LEG_MS: u64 = 250;
/// Longest head of a request or an answer, in bytes.
const HEAD_MAX: usize = 1024;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Daemons that are tried for one tunnel.
const TRIES: usize = 6;
/// Begins the target of a session that is handed over; the configuration version in force and the
/// name of the VM that hands it over follow.
const SESSION: &str = "session.";
/// Begins the target by which a VM says that it stops.
const STOP: &str = "stop.";
/// Answer to what is taken.
const TAKEN: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";
/// Answer to what is not taken.
const REFUSED: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\n\r\n";
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
pub struct Peers {
    list: RefCell<Vec<Peer>>,
    /// Whether the list was read at least once.
    known: Cell<bool>,
}

impl Peers {
    /// Takes over a new list.
    pub fn set(&self, peers: Vec<Peer>) {
        self.list.replace(peers);
        self.known.set(true);
    }

    /// Whether the fleet is known.
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// All daemons that are known.
    pub fn all(&self) -> Vec<Peer> {
        self.list.borrow().clone()
    }

    /// Daemons to try for a member of a data centre: those beside it first.
    pub fn order(&self, data_center: &str) -> Vec<Peer> {
        let mut peers = self.list.borrow().clone();
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
        match within(through(peer.addr, &member.to_string())).await {
            Ok(link) => return Ok(link),
            Err(e) => last = e,
        }
    }
    Err(last)
}

async fn through(peer: SocketAddr, target: &str) -> io::Result<Link> {
    let mut link = Link::new(TcpStream::connect_addr(peer).await?)?;
    let head = format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n\r\n");
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

/// Hands a session to the first of several daemons that takes it; the bytes read so far go first.
///
/// # Errors
/// Gives the caller's connection back when none takes it.
pub async fn hand_over(
    peers: &[Peer],
    mut caller: Link,
    version: u64,
    vm: &str,
) -> Result<(), Link> {
    let target = format!("{SESSION}{version}.{vm}");
    for peer in peers {
        let Ok(mut home) = within(through(peer.addr, &target)).await else {
            continue;
        };
        // Nobody but the two ends is told of an error between them: both connections close.
        let _ = pump(&mut caller, &mut home).await;
        return Ok(());
    }
    Err(caller)
}

/// Copies both ways until one side ends.
async fn pump(caller: &mut Link, home: &mut Link) -> io::Result<()> {
    loop {
        let bytes = caller.input.split();
        home.send(&bytes).await?;
        let bytes = home.input.split();
        caller.send(&bytes).await?;
        caller.shrink();
        home.shrink();
        let read = monoio::select! {
            read = caller.fill() => read?,
            read = home.fill() => read?,
        };
        if read == 0 {
            let bytes = home.input.split();
            return caller.send(&bytes).await;
        }
    }
}

/// Tells daemons that sessions handed to them by this VM are to end between statements.
pub fn announce_stop(peers: Vec<Peer>, vm: &str) {
    for peer in peers {
        let target = format!("{STOP}{vm}");
        monoio::spawn(async move {
            // One that does not hear it ends the sessions when this process ends.
            let _ = within(through(peer.addr, &target)).await;
        });
    }
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

async fn pass_on(proxy: Rc<Proxy>, mut stream: TcpStream) {
    let result = match read_head(&mut stream).await {
        Ok(head) => answer(&proxy, stream, &head).await,
        Err(e) => Err(e),
    };
    if let Err(e) = result {
        emit(Event::TunnelFailed, &[("cause", &e)]);
    }
}

async fn answer(proxy: &Rc<Proxy>, mut stream: TcpStream, head: &str) -> io::Result<()> {
    let target = head.split(' ').nth(1).unwrap_or("");
    if let Some(vm) = target.strip_prefix(STOP) {
        proxy.stop_from(vm);
        return write(&mut stream, TAKEN).await;
    }
    let Some(handed) = target.strip_prefix(SESSION) else {
        return pass_to_member(proxy, stream, target).await;
    };
    let (version, vm) = handed.split_once('.').unwrap_or(("", ""));
    // A daemon that has not heard of the newest configuration would serve by an older one.
    if version
        .parse()
        .is_ok_and(|version: u64| version > proxy.version.get())
    {
        return write(&mut stream, REFUSED).await;
    }
    write(&mut stream, TAKEN).await?;
    let origin = Some(Box::from(vm));
    session::serve_handed(proxy.clone(), Link::new(stream)?, origin).await;
    Ok(())
}

async fn write(stream: &mut TcpStream, head: &'static [u8]) -> io::Result<()> {
    let (result, _) = stream.write_all(head).await;
    result.map(|_| ())
}

async fn pass_to_member(proxy: &Proxy, mut stream: TcpStream, target: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let target = target.parse().ok();
    let Some(target) = target.filter(|addr| proxy.hears(*addr)) else {
        return write(&mut stream, REFUSED).await;
    };
    let member = match within(TcpStream::connect_addr(target)).await {
        Ok(member) => member,
        Err(e) => {
            write(&mut stream, REFUSED).await?;
            return Err(e);
        }
    };
    member.set_nodelay(true)?;
    write(&mut stream, TAKEN).await?;
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
