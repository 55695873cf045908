//! Accepts callers' connections: reads the first message, then serves the session, hands it off to
//! an owner of its group, or refuses it.

use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit, sleep_ms};
use bytes::BytesMut;
use link::BufferedStream;

use crate::session::{Session, SessionEvent, read_request};
use crate::{ErrorKind, Proxy, Reply, Request, tunnel};

/// Timeout of one wait for the caller's first message. A caller that sends none is waited for
/// twice, before the hand-off and before the session is served here.
const HANDSHAKE_TIMEOUT_MS: u64 = 10_000;
/// How long a new session waits for the first configuration, the list of daemons, and an owner that
/// accepts it.
/// After a start, the daemon and the owners may not be ready yet.
const STARTUP_WAIT_MS: u64 = 1500;
/// Delay before the owners of a group are tried again.
const HAND_OFF_RETRY_DELAY_MS: u64 = 50;

/// Serves one caller until it disconnects or the daemon stops, here or at an owner of its group.
pub async fn serve(proxy: Rc<Proxy>, link: BufferedStream) {
    serve_session(proxy, link, None).await;
}

/// Serves a caller. If another daemon handed the session off, `origin` is the VM of that daemon,
/// and the session is not handed off again.
pub async fn serve_session(proxy: Rc<Proxy>, mut link: BufferedStream, origin: Option<Box<str>>) {
    proxy.sessions.set(proxy.sessions.get() + 1);
    let result = if origin.is_none() {
        try_hand_off(&proxy, link).await
    } else {
        Err(link)
    };
    if let Err(returned) = result {
        link = returned;
        serve_locally(&proxy, &mut link, origin).await;
    }
    proxy.sessions.set(proxy.sessions.get() - 1);
}

/// Hands a session off to an owner of its group.
///
/// # Errors
/// Returns the connection when the session is to be served or refused here: this daemon is an
/// owner, the first message is invalid or missing, the database is unknown, or no owner accepted in
/// time.
async fn try_hand_off(proxy: &Rc<Proxy>, mut link: BufferedStream) -> Result<(), BufferedStream> {
    let wait = Duration::from_millis(HANDSHAKE_TIMEOUT_MS);
    let request = monoio::time::timeout(wait, async {
        // The message is decoded from a copy, because the daemon that serves the session reads it
        // again.
        loop {
            let mut peeked = link.input.clone();
            match (proxy.codec.request)(&mut peeked) {
                Ok(None) => {}
                other => return other.ok().flatten(),
            }
            if !matches!(link.read_more().await, Ok(n) if n > 0) {
                return None;
            }
        }
    });
    let Ok(Some(Request::Connect { database, .. })) = request.await else {
        return Err(link);
    };
    let deadline = Ms::now().plus(STARTUP_WAIT_MS);
    proxy.wait_for_config(deadline).await;
    proxy.wait_for_peers(deadline).await;
    loop {
        let Some((_, group)) = proxy.route(&database) else {
            return Err(link);
        };
        let Some(owners) = proxy.remote_owners(&group, None) else {
            return Err(link);
        };
        match tunnel::hand_off(proxy, &owners, link).await {
            Ok(()) => return Ok(()),
            // The owners that rank before this one for the account do not accept.
            Err(returned) if group.is_owner.get() => return Err(returned),
            Err(returned) if deadline.left() == 0 => return Err(returned),
            Err(returned) => link = returned,
        }
        sleep_ms(HAND_OFF_RETRY_DELAY_MS).await;
    }
}

async fn serve_locally(proxy: &Rc<Proxy>, link: &mut BufferedStream, origin: Option<Box<str>>) {
    if let Some(mut session) = handshake(proxy, link, origin).await {
        let served = proxy.route(session.database()).map(|(_, group)| group);
        if let Some(group) = &served {
            group.sessions.set(group.sessions.get() + 1);
        }
        session.run(proxy, link).await;
        if let Some(group) = &served {
            group.sessions.set(group.sessions.get() - 1);
        }
        session.discard_transaction(proxy).await;
    }
}

/// Reads the first message and answers it; `None` when the session was refused, or the caller has
/// disconnected.
async fn handshake(
    proxy: &Rc<Proxy>,
    link: &mut BufferedStream,
    origin: Option<Box<str>>,
) -> Option<Session> {
    let wait = Duration::from_millis(HANDSHAKE_TIMEOUT_MS);
    let request = monoio::time::timeout(wait, read_request(proxy.codec, link));
    let Ok(SessionEvent::Request(Request::Connect { database, .. })) = request.await else {
        return refuse(
            proxy,
            link,
            ErrorKind::Malformed,
            "a session begins with its database",
        )
        .await;
    };
    if proxy.sessions.get() > proxy.settings.max_callers {
        return refuse(proxy, link, ErrorKind::TooMany, "too many sessions").await;
    }
    if !proxy.wait_for_config(Ms::now().plus(STARTUP_WAIT_MS)).await {
        return refuse(proxy, link, ErrorKind::Busy, "no configuration yet").await;
    }
    if proxy.route(&database).is_none() {
        return refuse(proxy, link, ErrorKind::NoDatabase, &database).await;
    }
    let session = Session::new(origin, database, None);
    let mut out = BytesMut::new();
    (proxy.codec.reply)(&Reply::handshake_ok(), &mut out);
    link.send(&out).await.ok()?;
    Some(session)
}

/// Logs the refusal of a session, sends the error reply and closes the connection.
async fn refuse(
    proxy: &Rc<Proxy>,
    link: &mut BufferedStream,
    kind: ErrorKind,
    text: &str,
) -> Option<Session> {
    emit(
        Event::SessionRefused,
        &[("kind", &format!("{kind:?}")), ("cause", &text)],
    );
    let mut out = BytesMut::new();
    (proxy.codec.reply)(&Reply::refusal(kind, text), &mut out);
    // Send errors are ignored: the caller may have disconnected already.
    let _ = link.send(&out).await;
    let _ = link.shut_down().await;
    None
}
