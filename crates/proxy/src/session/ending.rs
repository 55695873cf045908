//! How a session ends that its caller has not ended.

use bytes::BytesMut;
use link::BufferedStream;

use super::{ENDED, Session};
use crate::closing::{close_after_reply, read_arrived};
use crate::key_check::KeyCheck;
use crate::{ErrorKind, Proxy, Reply, TxState, WireError};

impl Session {
    /// Ends the session before its next statement.
    pub(super) async fn end(&mut self, proxy: &Proxy, link: &mut BufferedStream) {
        if !self.key.is_withdrawn() {
            return self.send_away(proxy, link).await;
        }
        read_arrived(link).await;
        // A statement may be on its way from the daemon that handed the session off; this answers
        // it.
        if self.origin.is_some() || !link.input.is_empty() {
            self.deny(proxy, link).await;
            return;
        }
        self.key.log_end(&self.database, self.origin.as_deref());
    }

    /// Ends the session of a caller that has sent nothing further. The daemon that handed the session
    /// off gets an error, which answers a statement that is on its way from there. A caller's own
    /// connection is only closed: it may take an error for the answer to its next statement.
    async fn send_away(&mut self, proxy: &Proxy, link: &mut BufferedStream) {
        // In doubt, nothing may be promised about the transaction.
        if self.tx_in_doubt || self.origin.is_none() {
            if proxy.shutdown.is_answering() {
                // The last answer may still be on its way.
                close_after_reply(link).await;
            }
            return;
        }
        let kind = if self.tx_state == TxState::Open {
            self.tx_state = TxState::Failed;
            ErrorKind::Aborted
        } else {
            ErrorKind::Busy
        };
        self.send_last(proxy, link, Reply::error(kind, ENDED)).await;
    }

    /// Sends the error reply for a withdrawn key and closes the connection.
    pub(super) async fn deny(&self, proxy: &Proxy, link: &mut BufferedStream) {
        self.key.log_end(&self.database, self.origin.as_deref());
        let reply = Reply::error(ErrorKind::Denied, KeyCheck::WITHDRAWN);
        self.send_last(proxy, link, reply).await;
    }

    /// Sends an error reply, after which nothing is run, and closes the connection.
    async fn send_last(&self, proxy: &Proxy, link: &mut BufferedStream, reply: Reply) {
        let mut out = BytesMut::new();
        (proxy.codec.reply)(&self.with_session_state(reply), &mut out);
        // Send errors are ignored: the session ends in any case.
        let _ = link.send(&out).await;
        close_after_reply(link).await;
    }

    /// Sends the error reply for undecodable input and closes the connection.
    pub(super) async fn send_protocol_error(
        &self,
        proxy: &Proxy,
        link: &mut BufferedStream,
        e: WireError,
    ) {
        let kind = match e {
            WireError::TooLong => ErrorKind::TooLarge,
            WireError::Malformed => ErrorKind::Malformed,
        };
        let mut out = BytesMut::new();
        let reply = self.with_session_state(Reply::error(kind, &e.to_string()));
        (proxy.codec.reply)(&reply, &mut out);
        // Send errors are ignored: the session ends in any case.
        let _ = link.send(&out).await;
        let _ = link.shut_down().await;
    }
}
