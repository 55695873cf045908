//! Connections between daemons, each opened by an HTTP `CONNECT` and raw bytes from then on.
//!
//! A member is reached through another daemon when the own path to it is cut; leases, fences and
//! statements work as on a direct connection, since their ages count from the first sending. In a
//! large fleet, a caller's whole session is handed to a daemon that serves its group.

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
/// Begins the target by which a configuration is offered; its version follows. Whoever takes it is
/// sent its bytes.
const CONFIG: &str = "config.";
/// Longest configuration, in bytes.
const CONFIG_MAX: usize = 8 << 20;
/// Begins the target by which a VM says that it stops.
const STOP: &str = "stop.";
/// Attempts to tell a daemon that this one stops.
const STOP_TRIES: usize = 8;
/// Pause between two of them, in ms.
const STOP_AGAIN_MS: u64 = 250;
/// Silence after which an answer counts as whole, in ms.
const QUIET_MS: u64 = 100;
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
    /// Sessions of this daemon that others serve, by their address; never 0.
    handed_off: RefCell<HashMap<SocketAddr, usize>>,
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

    /// Daemons that serve sessions of this one.
    pub fn hand_off_targets(&self) -> Vec<Peer> {
        let handed = self.handed_off.borrow();
        let peers = self.list.borrow();
        let serving = peers.iter().filter(|p| handed.contains_key(&p.addr));
        serving.cloned().collect()
    }

    fn add_handed_off(&self, addr: SocketAddr) {
        *self.handed_off.borrow_mut().entry(addr).or_default() += 1;
    }

    fn remove_handed_off(&self, addr: SocketAddr) {
        let mut handed = self.handed_off.borrow_mut();
        let Some(count) = handed.get_mut(&addr) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            handed.remove(&addr);
        }
    }

    /// Daemons to try for a member of a data centre: those beside it first.
    pub fn tunnel_candidates(&self, data_center: &str) -> Vec<Peer> {
        let mut peers = self.list.borrow().clone();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|p| &*p.data_center != data_center);
        peers.truncate(TRIES);
        peers
    }
}

async fn with_hop_timeout<T>(leg: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let result = monoio::time::timeout(Duration::from_millis(LEG_MS), leg).await;
    result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Opens a tunnel to a member through the first daemon that can reach it.
///
/// # Errors
/// The last failure, when none can.
pub async fn open(peers: &[Peer], member: SocketAddr) -> io::Result<BufferedStream> {
    let mut last = io::ErrorKind::NotFound.into();
    for peer in peers {
        match with_hop_timeout(through(peer.addr, &member.to_string())).await {
            Ok(link) => return Ok(link),
            Err(e) => last = e,
        }
    }
    Err(last)
}

async fn through(peer: SocketAddr, target: &str) -> io::Result<BufferedStream> {
    let mut link = BufferedStream::new(TcpStream::connect_addr(peer).await?)?;
    let head = format!("CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n\r\n");
    link.send(head.as_bytes()).await?;
    while !link.input.ends_with(HEAD_END) {
        if link.input.len() > HEAD_MAX || link.read_more().await? == 0 {
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
pub async fn hand_off(
    proxy: &Proxy,
    peers: &[Peer],
    mut caller: BufferedStream,
) -> Result<(), BufferedStream> {
    for peer in peers {
        let target = format!("{SESSION}{}.{}", proxy.version.get(), proxy.settings.name);
        // Counted before the attempt, so that no configuration is missed in between.
        proxy.peers.add_handed_off(peer.addr);
        let home = with_hop_timeout(through(peer.addr, &target)).await;
        let taken = home.is_ok();
        if let Ok(mut home) = home {
            // Nobody but the two ends is told of an error between them: both connections close.
            let _ = copy_both_ways(proxy, &mut caller, &mut home).await;
        }
        proxy.peers.remove_handed_off(peer.addr);
        if taken {
            return Ok(());
        }
    }
    Err(caller)
}

/// Offers a configuration to a daemon, which takes it if it knows only older ones.
pub(crate) async fn offer_config(peer: &Peer, version: u64, bytes: &[u8]) -> io::Result<()> {
    let mut link = match with_hop_timeout(through(peer.addr, &format!("{CONFIG}{version}"))).await {
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

/// Waits until nothing more of an answer is to be expected; for ever unless asked to.
async fn quiet(wanted: bool) {
    if wanted {
        sleep_ms(QUIET_MS).await;
    } else {
        std::future::pending::<()>().await;
    }
}

/// Copies both ways until one side ends, or until the daemon ends and no answer is due.
async fn copy_both_ways(
    proxy: &Proxy,
    caller: &mut BufferedStream,
    home: &mut BufferedStream,
) -> io::Result<()> {
    let mut due = true;
    loop {
        let bytes = caller.input.split();
        due |= !bytes.is_empty();
        home.send(&bytes).await?;
        let bytes = home.input.split();
        due &= bytes.is_empty();
        caller.send(&bytes).await?;
        caller.release_buffer();
        home.release_buffer();
        let seen = proxy.stop.generation();
        let read = monoio::select! {
            read = caller.read_more() => read?,
            read = home.read_more() => read?,
            () = proxy.stop.wait_past(seen) => continue,
            () = quiet(proxy.ending.get() && !due) => return Ok(()),
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
            for _ in 0..STOP_TRIES {
                match with_hop_timeout(through(peer.addr, &target)).await {
                    Ok(_) => return,
                    Err(e) => emit(Event::TunnelFailed, &[("peer", &peer.name), ("cause", &e)]),
                }
                sleep_ms(STOP_AGAIN_MS).await;
            }
        });
    }
}

/// Passes bytes on for other daemons until the process ends.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(handle(proxy.clone(), stream));
        } else {
            // Out of descriptors or the like: the listener itself is sound.
            monoio::time::sleep(Duration::from_millis(AGAIN_MS)).await;
        }
    }
}

async fn handle(proxy: Rc<Proxy>, mut stream: TcpStream) {
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
        proxy.stop_sessions_from(vm);
        return write(&mut stream, TAKEN).await;
    }
    if let Some(version) = target.strip_prefix(CONFIG) {
        return take_config(proxy, stream, version).await;
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
    handshake::serve_handed_off(proxy.clone(), BufferedStream::new(stream)?, origin).await;
    Ok(())
}

async fn take_config(proxy: &Rc<Proxy>, mut stream: TcpStream, version: &str) -> io::Result<()> {
    let newer = version.parse().is_ok_and(|v: u64| v > proxy.version.get());
    if !newer {
        return write(&mut stream, REFUSED).await;
    }
    write(&mut stream, TAKEN).await?;
    let mut link = BufferedStream::new(stream)?;
    while with_hop_timeout(link.read_more()).await? > 0 {
        if link.input.len() > CONFIG_MAX {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    config_push::receive(proxy, &link.input).map_err(io::Error::other)
}

async fn write(stream: &mut TcpStream, head: &'static [u8]) -> io::Result<()> {
    let (result, _) = stream.write_all(head).await;
    result.map(|_| ())
}

async fn pass_to_member(proxy: &Proxy, mut stream: TcpStream, target: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let target = target.parse().ok();
    let Some(target) = target.filter(|addr| proxy.hears_member(*addr)) else {
        return write(&mut stream, REFUSED).await;
    };
    let member = match with_hop_timeout(TcpStream::connect_addr(target)).await {
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
