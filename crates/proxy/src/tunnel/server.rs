//! Answers the requests of other daemons.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, emit};
use link::BufferedStream;
use monoio::io::{AsyncWriteRentExt, Splitable, copy};
use monoio::net::{TcpListener, TcpStream};

use super::get::{self, GetHandler};
use super::{
    CONFIG_PREFIX, QUOTA_PREFIX, SESSION_PREFIX, STOP_PREFIX, VERSION_HEADER, VERSION_PREFIX, head,
    read_head, version, with_peer_timeout,
};
use crate::{Proxy, config_push, handshake, quota, rehoming};

/// Longest encoded configuration.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Longest time for receiving a configuration; `MAX_CONFIG_BYTES` take 7 s at 10 Mbit/s. Pushes of
/// other daemons are refused meanwhile.
const CONFIG_TIMEOUT_MS: u64 = 10_000;
/// Status lines of responses to accepted and to refused requests.
const STATUS_OK: &str = "HTTP/1.1 200 OK\r\n";
const STATUS_REFUSED: &str = "HTTP/1.1 502 Bad Gateway\r\n";

/// Accepts connections from other daemons, and compares the configuration with theirs, until the
/// process ends. Refuses `GET` requests.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    serve_with(proxy, listener, get::refuse_all()).await;
}

/// As `serve`, with `GET` requests passed on to `handler`.
pub async fn serve_with(proxy: Rc<Proxy>, listener: TcpListener, handler: GetHandler) {
    monoio::spawn(version::compare_periodically(proxy.clone()));
    monoio::spawn(rehoming::run(proxy.clone()));
    let handler = Rc::new(handler);
    loop {
        let stream = link::accept(&listener).await;
        monoio::spawn(serve_conn(proxy.clone(), stream, handler.clone()));
    }
}

async fn serve_conn(proxy: Rc<Proxy>, mut stream: TcpStream, handler: Rc<GetHandler>) {
    let result = match read_head(&mut stream).await {
        Ok(head) if get::is_get(&head) => get::serve(stream, head, &handler).await,
        Ok(head) => handle_request(&proxy, stream, &head).await,
        Err(e) => Err(e),
    };
    if let Err(e) = result {
        emit(Event::TunnelFailed, &[("cause", &e)]);
    }
}

/// Handles a `CONNECT` request of another daemon according to its target.
async fn handle_request(proxy: &Rc<Proxy>, mut stream: TcpStream, head: &str) -> io::Result<()> {
    let target = head::target(head).unwrap_or_default();
    if let Some(vm) = target.strip_prefix(STOP_PREFIX) {
        proxy.drain_sessions_from(vm, head::decode_stop(head));
        return write_response(&mut stream, STATUS_OK).await;
    }
    if let Some(version) = target.strip_prefix(CONFIG_PREFIX) {
        return receive_config(proxy, stream, version).await;
    }
    if let Some(version_and_shard) = target.strip_prefix(QUOTA_PREFIX) {
        let (_, shard) = version_and_shard.split_once('.').unwrap_or_default();
        write_versioned_response(proxy, &mut stream, STATUS_OK).await?;
        return quota::serve(proxy, BufferedStream::new(stream)?, shard).await;
    }
    if let Some(version_and_vm) = target.strip_prefix(VERSION_PREFIX) {
        return receive_version(proxy, stream, version_and_vm).await;
    }
    if target.starts_with(SESSION_PREFIX) {
        return receive_session(proxy, stream, head).await;
    }
    tunnel_to_member(proxy, stream, target).await
}

/// Takes note of the version that another daemon tells, and tells its own.
async fn receive_version(
    proxy: &Rc<Proxy>,
    mut stream: TcpStream,
    version_and_vm: &str,
) -> io::Result<()> {
    let (version, vm) = version_and_vm.split_once('.').unwrap_or_default();
    let Ok(version) = version.parse() else {
        write_response(&mut stream, STATUS_REFUSED).await?;
        return Err(io::ErrorKind::InvalidData.into());
    };
    proxy.hear_version(version, vm);
    write_versioned_response(proxy, &mut stream, STATUS_OK).await
}

/// Serves a session that another daemon hands off.
async fn receive_session(proxy: &Rc<Proxy>, mut stream: TcpStream, head: &str) -> io::Result<()> {
    let Some((version, request)) = head::decode_hand_off(head) else {
        write_response(&mut stream, STATUS_REFUSED).await?;
        return Err(io::ErrorKind::InvalidData.into());
    };
    proxy.hear_version(version, request.origin.as_deref().unwrap_or_default());
    // Refused while the sender's configuration is newer: the session would be served by an older
    // one than is in force at the sender.
    if version > proxy.config_version.get() {
        return write_versioned_response(proxy, &mut stream, STATUS_REFUSED).await;
    }
    // Refused also when this daemon is no owner: the sender knows others by an outdated list, and the
    // next owner that it asks accepts.
    // A daemon that stops would have to end the session again.
    let group = proxy.route(&request.database).map(|(_, group)| group);
    let is_served = match &group {
        Some(group) if proxy.peers.is_known() && !group.is_owner.get() => {
            let stands_in = request.is_stand_in && proxy.stands_in(group).await;
            if stands_in {
                proxy.on_stood_in(group);
            }
            stands_in
        }
        _ => true,
    };
    if proxy.is_stopping() || !is_served {
        return write_versioned_response(proxy, &mut stream, STATUS_REFUSED).await;
    }
    write_versioned_response(proxy, &mut stream, STATUS_OK).await?;
    handshake::serve_handed_off(proxy, BufferedStream::new(stream)?, &request).await;
    Ok(())
}

/// Accepts a config push that is newer than the configuration in force, and not older than the
/// newest version heard of.
///
/// Only one is accepted at a time: after a start, many daemons may push the same large one at once.
async fn receive_config(proxy: &Rc<Proxy>, mut stream: TcpStream, version: &str) -> io::Result<()> {
    let in_force = proxy.config_version.get();
    let heard = proxy.newest_heard.get();
    let version = version.parse().ok();
    let version = version.filter(|v: &u64| *v > in_force && *v >= heard);
    let Some(version) = version.filter(|_| !proxy.is_receiving_config.get()) else {
        return write_versioned_response(proxy, &mut stream, STATUS_REFUSED).await;
    };
    proxy.is_receiving_config.set(true);
    let wait = Duration::from_millis(CONFIG_TIMEOUT_MS);
    let received = monoio::time::timeout(wait, read_config(proxy, stream)).await;
    proxy.is_receiving_config.set(false);
    let received = received.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    config_push::receive(proxy, version, &received?.input).map_err(io::Error::other)
}

/// Accepts a config push and reads to the end of the stream.
async fn read_config(proxy: &Proxy, mut stream: TcpStream) -> io::Result<BufferedStream> {
    write_versioned_response(proxy, &mut stream, STATUS_OK).await?;
    let mut link = BufferedStream::new(stream)?;
    while with_peer_timeout(link.read_more()).await? > 0 {
        if link.input.len() > MAX_CONFIG_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    Ok(link)
}

async fn write_response(stream: &mut TcpStream, status: &str) -> io::Result<()> {
    let (result, _) = stream.write_all(format!("{status}\r\n").into_bytes()).await;
    result.map(|_| ())
}

/// Writes a response that names the version of the configuration in force.
async fn write_versioned_response(
    proxy: &Proxy,
    stream: &mut TcpStream,
    status: &str,
) -> io::Result<()> {
    let version = proxy.config_version.get();
    write_response(stream, &format!("{status}{VERSION_HEADER}: {version}\r\n")).await
}

/// Forwards a connection to a member if `Proxy::may_tunnel_to` allows its address.
async fn tunnel_to_member(proxy: &Proxy, mut stream: TcpStream, target: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let target = target.parse().ok();
    let Some(target) = target.filter(|addr| proxy.may_tunnel_to(*addr)) else {
        return write_response(&mut stream, STATUS_REFUSED).await;
    };
    let member = match with_peer_timeout(TcpStream::connect_addr(target)).await {
        Ok(member) => member,
        Err(e) => {
            write_response(&mut stream, STATUS_REFUSED).await?;
            return Err(e);
        }
    };
    member.set_nodelay(true)?;
    write_response(&mut stream, STATUS_OK).await?;
    let (mut from_peer, mut to_peer) = stream.into_split();
    let (mut from_member, mut to_member) = member.into_split();
    // When one side closes, both connections are closed.
    monoio::select! {
        result = copy(&mut from_peer, &mut to_member) => result,
        result = copy(&mut from_member, &mut to_peer) => result,
    }
    .map(|_| ())
}
