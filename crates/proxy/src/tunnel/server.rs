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
    CONFIG_PREFIX, RESPONSE_OK, SESSION_PREFIX, STOP_PREFIX, read_head, with_peer_timeout,
};
use crate::{Proxy, config_push, handshake};

/// Longest encoded configuration.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Response to a refused request.
const RESPONSE_REFUSED: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\n\r\n";
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// Accepts connections from other daemons until the process ends. Refuses `GET` requests.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    serve_with(proxy, listener, get::refuse_all()).await;
}

/// As `serve`, with `GET` requests passed on to `handler`.
pub async fn serve_with(proxy: Rc<Proxy>, listener: TcpListener, handler: GetHandler) {
    let handler = Rc::new(handler);
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve_conn(proxy.clone(), stream, handler.clone()));
        } else {
            // `accept` fails, for example, when no file descriptor is free; the listener stays
            // usable.
            monoio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
        }
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
