//! Takes callers' connections: reads the greeting, then serves the session, hands it to a daemon of
//! its group, or refuses it.

use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit};
use bytes::BytesMut;
use link::BufferedStream;

use crate::session::{Input, Session, read_request};
use crate::state::sleep_ms;
use crate::{ErrorKind, Proxy, Reply, Request, tunnel};

/// Time a caller has for its greeting, in ms.
const GREETING_MS: u64 = 10_000;
/// Time a new session waits for the first configuration and for a daemon that serves its group, in
/// ms.
const CONFIG_MS: u64 = 1500;
/// Pause before the daemons of a group are tried again, in ms.
const HOMES_AGAIN_MS: u64 = 50;

/// Serves one caller until it leaves or the daemon stops, here or at a daemon of its group.
pub async fn serve(proxy: Rc<Proxy>, link: BufferedStream) {
    serve_handed_off(proxy, link, None).await;
}

/// As `serve`, for a session that the VM `origin` has handed over.
pub async fn serve_handed_off(
    proxy: Rc<Proxy>,
    mut link: BufferedStream,
    origin: Option<Box<str>>,
) {
    proxy.sessions.set(proxy.sessions.get() + 1);
    let handed = if origin.is_none() {
        hand_over(&proxy, link).await
    } else {
        Err(link)
    };
    if let Err(back) = handed {
        link = back;
        serve_here(&proxy, &mut link, origin).await;
    }
    proxy.sessions.set(proxy.sessions.get() - 1);
}

/// Hands a session to a daemon that serves its group; gives it back when that is this one.
async fn hand_over(proxy: &Rc<Proxy>, mut link: BufferedStream) -> Result<(), BufferedStream> {
    let wait = Duration::from_millis(GREETING_MS);
    let first = monoio::time::timeout(wait, async {
        // The greeting is only looked at here; whoever serves the session reads it again.
        loop {
            let mut look = link.input.clone();
            match (proxy.codec.request)(&mut look) {
                Ok(None) => {}
                other => return other.ok().flatten(),
            }
            if !matches!(link.read_more().await, Ok(n) if n > 0) {
                return None;
            }
        }
    });
    let Ok(Some(Request::Hello { database })) = first.await else {
        return Err(link);
    };
    let until = Ms::now().plus(CONFIG_MS);
    proxy.wait_for_config(until).await;
    proxy.wait_for_peers(until).await;
    loop {
        let Some((_, group)) = proxy.route(&database) else {
            return Err(link);
        };
        let Some(homes) = proxy.remote_owners(&group) else {
            return Err(link);
        };
        match tunnel::hand_off(proxy, &homes, link).await {
            Ok(()) => return Ok(()),
            Err(back) if until.left() == 0 => return Err(back),
            Err(back) => link = back,
        }
        sleep_ms(HOMES_AGAIN_MS).await;
    }
}

async fn serve_here(proxy: &Rc<Proxy>, link: &mut BufferedStream, origin: Option<Box<str>>) {
    if let Some(mut session) = greet(proxy, link, origin).await {
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

async fn greet(
    proxy: &Rc<Proxy>,
    link: &mut BufferedStream,
    origin: Option<Box<str>>,
) -> Option<Session> {
    let wait = Duration::from_millis(GREETING_MS);
    let first = monoio::time::timeout(wait, read_request(proxy.codec, link));
    let Ok(Input::Request(Request::Hello { database })) = first.await else {
        return refuse(
            proxy,
            link,
            ErrorKind::Malformed,
            "a session begins with its database",
        )
        .await;
    };
    if proxy.sessions.get() > proxy.settings.callers {
        return refuse(proxy, link, ErrorKind::TooMany, "too many sessions").await;
    }
    if !proxy.wait_for_config(Ms::now().plus(CONFIG_MS)).await {
        return refuse(proxy, link, ErrorKind::Busy, "no configuration yet").await;
    }
    if proxy.route(&database).is_none() {
        return refuse(proxy, link, ErrorKind::NoDatabase, &database).await;
    }
    let session = Session::new(origin, database);
    let mut out = BytesMut::new();
    (proxy.codec.reply)(&Reply::handshake_ok(), &mut out);
    link.send(&out).await.ok()?;
    Some(session)
}

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
    // The caller may be gone already; there is nobody else to tell.
    let _ = link.send(&out).await;
    let _ = link.shut_down().await;
    None
}
