//! Accepts callers' connections: reads the first message, then serves the session, hands it off to
//! an owner of its group, or refuses it.

use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit, sleep_ms};
use bytes::BytesMut;
use link::BufferedStream;

use crate::key_check::KeyCheck;
use crate::owner_set::Successor;
use crate::session::{Session, SessionEvent, read_request};
use crate::{
    Credential, Denial, ErrorKind, Group, Peer, Proxy, Reply, Request, SessionRequest, tunnel,
};

/// Timeout of the wait for the caller's first message, in ms. A caller sends it when it connects, and
/// waits for the answer for 2 s.
const HANDSHAKE_TIMEOUT_MS: u64 = 5000;
/// How long a new session waits for the first configuration, the list of daemons, and an owner that
/// accepts it.
/// After a start, the daemon and the owners may not be ready yet.
const STARTUP_WAIT_MS: u64 = 1500;
/// Delay before the owners of a group are tried again.
const HAND_OFF_RETRY_DELAY_MS: u64 = 50;

/// Serves one caller until it disconnects or the daemon stops, here or at an owner of its group.
pub async fn serve(proxy: Rc<Proxy>, link: BufferedStream) {
    proxy.sessions.set(proxy.sessions.get() + 1);
    serve_caller(&proxy, link).await;
    proxy.sessions.set(proxy.sessions.get() - 1);
}

/// Serves a caller whose session another daemon has handed off; the session is not handed off
/// again.
pub async fn serve_handed_off(
    proxy: &Rc<Proxy>,
    mut link: BufferedStream,
    request: &SessionRequest,
) {
    proxy.sessions.set(proxy.sessions.get() + 1);
    serve_locally(proxy, &mut link, request).await;
    proxy.sessions.set(proxy.sessions.get() - 1);
}

async fn serve_caller(proxy: &Rc<Proxy>, mut link: BufferedStream) {
    let wait = Duration::from_millis(HANDSHAKE_TIMEOUT_MS);
    let first = monoio::time::timeout(wait, read_request(proxy.codec, &mut link)).await;
    let Ok(SessionEvent::Request(Request::Connect {
        database,
        credential,
    })) = first
    else {
        let text = "a session begins with its database";
        refuse(proxy, &mut link, ErrorKind::Malformed, text).await;
        return;
    };
    let request = SessionRequest::of_caller(database, credential);
    match try_hand_off(proxy, &request, link).await {
        Ok(()) => {}
        Err(Kept::Here(mut link)) => serve_locally(proxy, &mut link, &request).await,
        Err(Kept::NoOwner(mut link)) => {
            let text = "no owner of the group can be reached";
            refuse(proxy, &mut link, ErrorKind::Busy, text).await;
        }
    }
}

/// The connection of a session that was not handed off.
enum Kept {
    /// The session is served or refused here.
    Here(BufferedStream),
    /// This daemon is no owner, and none has accepted the session in time. With client accounts it is
    /// not served here: the connections of a member suffice for its owners only, and sessions are
    /// long. After a restart of all daemons, each would else keep connections to all members.
    NoOwner(BufferedStream),
}

/// What became of a session that no owner has accepted.
enum StandInResult {
    /// It was served by the daemon that stands in for the owners.
    Served,
    /// This daemon stands in for them.
    Here(BufferedStream),
    /// An owner may answer, or the daemon that is to stand in has refused.
    Nobody(BufferedStream),
}

/// Hands a session off to an owner of its group, or to the daemon that stands in for the owners.
///
/// # Errors
/// Returns the connection when the session is to be served or refused here: this daemon is an
/// owner, the database is unknown, the caller is denied, or no owner accepted in time.
async fn try_hand_off(
    proxy: &Rc<Proxy>,
    request: &SessionRequest,
    mut link: BufferedStream,
) -> Result<(), Kept> {
    let deadline = Ms::now().plus(STARTUP_WAIT_MS);
    proxy.wait_for_config(deadline).await;
    proxy.wait_for_peers(deadline).await;
    let is_over = || deadline.left() == 0 || proxy.shutdown.is_answering();
    loop {
        let Some((_, group)) = proxy.route(&request.database) else {
            return Err(Kept::Here(link));
        };
        let Ok(identity) = request.identify(proxy) else {
            return Err(Kept::Here(link));
        };
        let account = identity.map(|identity| identity.account);
        if account.is_some() && !proxy.peers.is_known() {
            // Every daemon would take itself for the only owner.
            return Err(Kept::NoOwner(link));
        }
        let Some(owners) = proxy.remote_owners(&group, account) else {
            return Err(Kept::Here(link));
        };
        // One that does not answer is checked in the background.
        let is_asked = |p: &&Peer| !proxy.peers.is_silent(p);
        let asked: Vec<Peer> = owners.iter().filter(is_asked).cloned().collect();
        match tunnel::hand_off(proxy, &asked, request, link).await {
            Ok(()) => return Ok(()),
            // The owners that rank before this one for the account do not accept.
            Err(returned) if group.is_owner.get() => return Err(Kept::Here(returned)),
            Err(returned) => link = returned,
        }
        match hand_to_stand_in(proxy, &group, &owners, request, link).await {
            StandInResult::Served => return Ok(()),
            StandInResult::Here(returned) => return Err(Kept::Here(returned)),
            StandInResult::Nobody(returned) => link = returned,
        }
        if is_over() {
            return Err(if account.is_some() {
                Kept::NoOwner(link)
            } else {
                Kept::Here(link)
            });
        }
        sleep_ms(HAND_OFF_RETRY_DELAY_MS).await;
    }
}

/// Hands a session to the daemon that stands in for the owners of its group, if none of them answers.
async fn hand_to_stand_in(
    proxy: &Rc<Proxy>,
    group: &Group,
    owners: &[Peer],
    request: &SessionRequest,
    link: BufferedStream,
) -> StandInResult {
    match proxy.stand_in(group, owners) {
        None => StandInResult::Nobody(link),
        Some(Successor::ThisDaemon) => {
            proxy.on_stood_in(group);
            StandInResult::Here(link)
        }
        Some(Successor::Other(peer)) => {
            let request = request.for_stand_in();
            match tunnel::hand_off(proxy, &[peer], &request, link).await {
                Ok(()) => StandInResult::Served,
                Err(returned) => {
                    // An owner may answer again.
                    for owner in owners {
                        proxy.check_peer(owner);
                    }
                    StandInResult::Nobody(returned)
                }
            }
        }
    }
}

async fn serve_locally(proxy: &Rc<Proxy>, link: &mut BufferedStream, request: &SessionRequest) {
    if let Some(mut session) = handshake(proxy, link, request).await {
        let served = proxy.route(session.database()).map(|(_, group)| group);
        if let Some(group) = &served {
            group.begin_service();
            group.sessions.set(group.sessions.get() + 1);
        }
        session.run(proxy, link).await;
        if let Some(group) = &served {
            group.sessions.set(group.sessions.get() - 1);
        }
        session.discard_transaction(proxy).await;
    }
}

/// Answers the first message; `None` when the session was refused, or the caller has disconnected.
async fn handshake(
    proxy: &Rc<Proxy>,
    link: &mut BufferedStream,
    request: &SessionRequest,
) -> Option<Session> {
    if proxy.sessions.get() > proxy.settings.max_callers {
        refuse(proxy, link, ErrorKind::TooMany, "too many sessions").await;
        return None;
    }
    // Not waited for here: `try_hand_off` has, and a session that got past it could be served by a
    // daemon that is no owner once the configuration arrives.
    if proxy.config_version.get() == 0 {
        refuse(proxy, link, ErrorKind::Busy, "no configuration yet").await;
        return None;
    }
    if proxy.route(&request.database).is_none() {
        refuse(proxy, link, ErrorKind::NoDatabase, &request.database).await;
        return None;
    }
    let identity = match request.identify(proxy) {
        Ok(identity) => identity,
        Err(denial) => {
            deny(proxy, link, request, denial).await;
            return None;
        }
    };
    let session = Session::new(request, identity, KeyCheck::new(proxy, request.credential));
    let mut out = BytesMut::new();
    (proxy.codec.reply)(&Reply::handshake_ok(), &mut out);
    link.send(&out).await.ok()?;
    Some(session)
}

/// Refuses a session whose caller has no valid key.
async fn deny(proxy: &Proxy, link: &mut BufferedStream, request: &SessionRequest, denial: Denial) {
    let key = Credential::label_of(request.credential);
    emit(
        Event::KeyRefused,
        &[
            ("key", &key),
            ("database", &request.database),
            ("cause", &format!("{denial:?}")),
        ],
    );
    refuse(proxy, link, ErrorKind::Denied, "no valid key").await;
}

/// Logs the refusal of a session, sends the error reply and closes the connection.
async fn refuse(proxy: &Proxy, link: &mut BufferedStream, kind: ErrorKind, text: &str) {
    // A caller that leaves its database out sends its key in that place.
    let may_be_key = kind == ErrorKind::NoDatabase && proxy.accounts.in_force();
    let cause = if may_be_key { "no such database" } else { text };
    emit(
        Event::SessionRefused,
        &[("kind", &format!("{kind:?}")), ("cause", &cause)],
    );
    let mut out = BytesMut::new();
    (proxy.codec.reply)(&Reply::refusal(kind, text), &mut out);
    // Send errors are ignored: the caller may have disconnected already.
    let _ = link.send(&out).await;
    let _ = link.shut_down().await;
}
