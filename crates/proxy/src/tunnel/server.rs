//! Answers the requests of other daemons.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, emit};
use link::BufferedStream;
use monoio::io::{AsyncWriteRentExt, Splitable, copy};
use monoio::net::{TcpListener, TcpStream};

use super::{
    CONFIG_PREFIX, RESPONSE_OK, SESSION_PREFIX, STOP_PREFIX, head, read_head, with_peer_timeout,
};
use crate::{Proxy, config_push, handshake};

/// Longest encoded configuration.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Response to a refused request.
const RESPONSE_REFUSED: &[u8] = b"HTTP/1.1 502 Bad Gateway\r\n\r\n";
/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

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
    let target = head::target(head).unwrap_or_default();
    if let Some(vm) = target.strip_prefix(STOP_PREFIX) {
        proxy.drain_sessions_from(vm);
        return write_response(&mut stream, RESPONSE_OK).await;
    }
    if let Some(version) = target.strip_prefix(CONFIG_PREFIX) {
        return receive_config(proxy, stream, version).await;
    }
    if target.starts_with(SESSION_PREFIX) {
        return receive_session(proxy, stream, head).await;
    }
    tunnel_to_member(proxy, stream, target).await
}

/// Serves a session that another daemon hands off.
async fn receive_session(proxy: &Rc<Proxy>, mut stream: TcpStream, head: &str) -> io::Result<()> {
    let Some((version, request)) = head::decode_hand_off(head) else {
        write_response(&mut stream, RESPONSE_REFUSED).await?;
        return Err(io::ErrorKind::InvalidData.into());
    };
    // Refused while the sender's configuration is newer: the session would be served by an older
    // one than is in force at the sender.
    if version > proxy.config_version.get() {
        return write_response(&mut stream, RESPONSE_REFUSED).await;
    }
    write_response(&mut stream, RESPONSE_OK).await?;
    handshake::serve_handed_off(proxy, BufferedStream::new(stream)?, &request).await;
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
