//! Hands sessions off to other daemons.

use std::io;
use std::rc::Rc;

use base::{Event, emit, sleep_ms};
use bytes::BytesMut;
use link::BufferedStream;

use super::PEER_IO_TIMEOUT_MS;
use super::connect::{PeerError, announce_stop, send_head_within};
use super::due::Due;
use super::exchange::Exchange;
use super::head::encode_hand_off;
use crate::closing::{close_after_reply, read_arrived};
use crate::key_check::KeyCheck;
use crate::session::ENDED;
use crate::stop_schedule::Phase;
use crate::{ErrorKind, Identity, Peer, Proxy, Reply, ReplyEnd, ReplyPart, SessionRequest};

/// Time without bytes after which the reply to a handed-off caller counts as complete.
const REPLY_SILENCE_MS: u64 = 100;
/// Timeout for a daemon that is asked to stand in, in ms. It checks those that rank before it first.
const STAND_IN_TIMEOUT_MS: u64 = 600;

/// Hands a caller's session off to the first of several daemons that accepts it, and forwards bytes
/// both ways until it ends. Input that is already buffered is forwarded first.
///
/// # Errors
/// Returns the caller's connection when its key is not valid, or no daemon accepts.
pub async fn hand_off(
    proxy: &Rc<Proxy>,
    peers: &[Peer],
    request: &SessionRequest,
    mut caller: BufferedStream,
) -> Result<(), BufferedStream> {
    let Ok(identity) = request.identify(proxy) else {
        return Err(caller);
    };
    let key = KeyCheck::new(proxy, request.credential);
    let account = identity.map(|i| proxy.accounts.name(i.account));
    let head = encode_hand_off(
        proxy.config_version.get(),
        &request.for_owner(proxy, account.as_deref()),
    );
    let timeout_ms = if request.is_stand_in {
        STAND_IN_TIMEOUT_MS
    } else {
        PEER_IO_TIMEOUT_MS
    };
    for peer in peers {
        // Counted before the attempt, so that a configuration that comes into force meanwhile is
        // pushed to this peer too.
        proxy.peers.add_handed_off(peer.addr);
        let answer = send_head_within(peer.addr, &head, timeout_ms).await;
        match &answer {
            Err(PeerError::Io(_)) => proxy.on_peer_silence(peer),
            _ => proxy.on_peer_answer(peer),
        }
        if let Ok((_, Some(version))) | Err(PeerError::Refused(Some(version))) = &answer {
            proxy.hear_version(*version, &peer.name);
        }
        if answer.is_ok() && proxy.shutdown.phase() >= Phase::Draining {
            let answer_by = proxy.shutdown.answer_by();
            announce_stop(vec![peer.clone()], &proxy.settings.name, answer_by);
        }
        // An answer without a version is from an earlier release, which would wait for the first
        // message.
        if let Ok((mut owner, Some(_))) = answer {
            let mut forwarder = Forwarder {
                proxy,
                database: &request.database,
                identity,
                key,
                exchange: Exchange::new(proxy.codec),
            };
            // The error is dropped: both connections are closed, and a byte stream has no room for
            // an error message.
            let _ = forwarder.run(&mut caller, &mut owner).await;
            proxy.peers.remove_handed_off(peer.addr);
            return Ok(());
        }
        proxy.peers.remove_handed_off(peer.addr);
    }
    Err(caller)
}

/// Completes after `REPLY_SILENCE_MS` if `enabled`, never otherwise.
async fn reply_silence(enabled: bool) {
    if enabled {
        sleep_ms(REPLY_SILENCE_MS).await;
    } else {
        std::future::pending::<()>().await;
    }
}

/// Reads from a connection if `enabled`, never completes otherwise.
async fn read_if(enabled: bool, link: &mut BufferedStream) -> io::Result<usize> {
    if enabled {
        link.read_more().await
    } else {
        std::future::pending().await
    }
}

/// Forwards the bytes of one handed-off session.
struct Forwarder<'a> {
    proxy: &'a Proxy,
    database: &'a str,
    identity: Option<Identity>,
    key: KeyCheck,
    exchange: Exchange,
}

impl Forwarder<'_> {
    /// Forwards both ways until one side closes. It also ends
    /// - once the caller's key is withdrawn, between transactions;
    /// - once the stop is in `Phase::Ending` and no reply is due, after `REPLY_SILENCE_MS` without
    ///   bytes, and at last in `Phase::Answering`;
    /// - when the owner sends what no message has asked for, which it does only to end a session.
    async fn run(
        &mut self,
        caller: &mut BufferedStream,
        owner: &mut BufferedStream,
    ) -> io::Result<()> {
        loop {
            // Read before the key is checked, so that a configuration that comes into force while
            // bytes are sent ends the wait below.
            let generation = self.proxy.stop_signal.generation();
            self.pass_replies(caller, owner).await?;
            self.check_key();
            if self.is_over() || self.is_denied(&owner.input) {
                return self.deny(caller).await;
            }
            if !owner.input.is_empty() {
                return self.send_away(caller).await;
            }
            if self.proxy.shutdown.is_answering() {
                return self.give_up(caller, owner).await;
            }
            let requests = self.take_requests(caller);
            if owner.send(&requests).await.is_err() {
                return self.give_up(caller, owner).await;
            }
            caller.release_buffer();
            owner.release_buffer();
            let is_closing = self.proxy.shutdown.phase() >= Phase::Ending
                && !self.exchange.is_reply_due()
                && !self.exchange.is_request_cut();
            // Further statements of a withdrawn key are not read before their turn.
            let may_read = !self.key.is_withdrawn() || !self.exchange.is_reply_due();
            monoio::select! {
                bytes_read = read_if(may_read, caller) => if bytes_read? == 0 {
                    return self.pass_replies(caller, owner).await;
                },
                bytes_read = owner.read_more() => if !matches!(bytes_read, Ok(n) if n > 0) {
                    return self.give_up(caller, owner).await;
                },
                () = self.proxy.stop_signal.wait_past(generation) => {}
                () = reply_silence(is_closing) => return self.send_away(caller).await,
            }
        }
    }

    /// Passes what the owner has sent to the caller.
    async fn pass_replies(
        &mut self,
        caller: &mut BufferedStream,
        owner: &mut BufferedStream,
    ) -> io::Result<()> {
        let replies = self.exchange.take_replies(&mut owner.input);
        caller.send(&replies.map_err(io::Error::other)?).await
    }

    /// Ends the session where the owner's replies cannot be awaited: it has closed the connection, or
    /// this daemon sends its last answers. What was passed to it is answered without it.
    async fn give_up(
        &mut self,
        caller: &mut BufferedStream,
        owner: &mut BufferedStream,
    ) -> io::Result<()> {
        read_arrived(owner).await;
        self.pass_replies(caller, owner).await?;
        let is_cut = self.exchange.is_reply_cut();
        let mut out = BytesMut::new();
        for due in self.exchange.take_due() {
            let reply = due.reply_without_owner(self.exchange.state_without_owner(), ENDED);
            let Some(reply) = reply else { continue };
            if let Due::Statement { id, .. } = &due {
                self.log_given_up(id, &reply, is_cut);
            }
            (self.proxy.codec.reply)(&reply, &mut out);
        }
        // Nothing can follow a part of a message.
        if is_cut || out.is_empty() {
            return self.send_away(caller).await;
        }
        caller.send(&out).await?;
        self.send_away(caller).await?;
        close_after_reply(caller).await;
        Ok(())
    }

    fn log_given_up(&self, id: &str, reply: &Reply, is_cut: bool) {
        let stage = "HandedOff";
        if is_cut {
            emit(Event::StatementCut, &[("id", &id), ("stage", &stage)]);
            return;
        }
        self.proxy.stats.given_up.inc();
        let kind = format!("{:?}", reply.error_kind());
        emit(
            Event::StatementGivenUp,
            &[("id", &id), ("stage", &stage), ("kind", &kind)],
        );
    }

    fn check_key(&mut self) {
        self.key
            .update(self.proxy, self.database, &mut self.identity);
    }

    fn is_over(&self) -> bool {
        self.key.is_withdrawn() && self.exchange.is_between_transactions()
    }

    /// The caller's bytes that may be passed to the owner now. In the transaction that a withdrawn
    /// key may still end, statements pass one by one, so that none passes behind its end.
    fn take_requests(&mut self, caller: &mut BufferedStream) -> BytesMut {
        if !self.key.is_withdrawn() {
            return self.exchange.take_requests(&mut caller.input);
        }
        if self.exchange.is_reply_due() {
            return BytesMut::new();
        }
        self.exchange.take_request(&mut caller.input)
    }

    /// Whether the owner ends the session because it knows that the caller's key is withdrawn.
    fn is_denied(&self, unasked: &BytesMut) -> bool {
        let part = (self.proxy.codec.reply_part)(&mut unasked.clone());
        matches!(
            part,
            Ok(Some(ReplyPart::End(ReplyEnd::Error(ErrorKind::Denied, _))))
        )
    }

    /// Ends the session of a withdrawn key. A statement that has arrived and was not passed on
    /// gets the error.
    async fn deny(&self, caller: &mut BufferedStream) -> io::Result<()> {
        self.key.log_end(self.database, None);
        read_arrived(caller).await;
        if caller.input.is_empty() && !self.exchange.is_request_cut() {
            return Ok(());
        }
        self.send_last(caller, ErrorKind::Denied, KeyCheck::WITHDRAWN)
            .await
    }

    /// Ends the session. A statement that has arrived and was not passed on gets an error, since it is
    /// not run.
    async fn send_away(&self, caller: &mut BufferedStream) -> io::Result<()> {
        read_arrived(caller).await;
        let is_sent = !caller.input.is_empty() || self.exchange.is_request_cut();
        if !is_sent || self.exchange.is_reply_cut() {
            return Ok(());
        }
        // After a failed transaction, whose outcome may be unknown, nothing is promised.
        let kind = if self.exchange.is_failed() {
            ErrorKind::InDoubt
        } else {
            ErrorKind::Busy
        };
        self.send_last(caller, kind, ENDED).await
    }

    async fn send_last(
        &self,
        caller: &mut BufferedStream,
        kind: ErrorKind,
        text: &str,
    ) -> io::Result<()> {
        let mut out = BytesMut::new();
        (self.proxy.codec.reply)(&Reply::error(kind, text), &mut out);
        caller.send(&out).await?;
        close_after_reply(caller).await;
        Ok(())
    }
}
