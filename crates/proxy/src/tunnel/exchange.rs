//! Follows the messages of a handed-off session as their bytes pass.

use std::collections::VecDeque;

use bytes::BytesMut;

use super::due::Due;
use crate::{Codec, ReplyPart, TxState, WireError};

/// What is due in a handed-off session. Does no I/O.
pub struct Exchange {
    codec: Codec,
    /// Bytes passed to the owner that form no whole message yet.
    requests: BytesMut,
    /// Bytes from the owner that form no whole message yet.
    replies: BytesMut,
    /// Messages passed to the owner and not answered yet. The connect request, which the head of
    /// the hand-off stands for, is the first.
    due: VecDeque<Due>,
    /// Whether the success or error of the reply that is due was passed to the caller, which only the
    /// state of the transaction may follow.
    has_end: bool,
    /// Transaction state in the last reply.
    state: TxState,
    /// Whether the caller sent what cannot be decoded. The owner closes the connection after its
    /// reply to that.
    is_undecodable: bool,
}

impl Exchange {
    pub fn new(codec: Codec) -> Exchange {
        Exchange {
            codec,
            requests: BytesMut::new(),
            replies: BytesMut::new(),
            due: VecDeque::from([Due::Connect]),
            has_end: false,
            state: TxState::Idle,
            is_undecodable: false,
        }
    }

    /// Whether the owner may still send a reply to what was passed to it.
    pub fn is_reply_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Whether a message was passed to the owner in part.
    pub fn is_request_cut(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Whether every message is answered and no transaction is open.
    pub fn is_between_transactions(&self) -> bool {
        self.due.is_empty() && self.state == TxState::Idle
    }

    /// Whether a transaction is open that has failed.
    pub fn is_failed(&self) -> bool {
        self.state == TxState::Failed
    }

    /// Whether the reply that is due was passed to the caller up to a place at which no error can
    /// follow: the middle of a message, or its success or error.
    pub fn is_reply_cut(&self) -> bool {
        self.has_end || !self.replies.is_empty()
    }

    /// Takes the messages that are not answered, to be answered without the owner.
    pub fn take_due(&mut self) -> VecDeque<Due> {
        std::mem::take(&mut self.due)
    }

    /// State of a transaction in a reply that is made without the owner, which rolls the transaction
    /// back.
    pub fn state_without_owner(&self) -> TxState {
        match self.state {
            TxState::Idle => TxState::Idle,
            TxState::Open | TxState::Failed => TxState::Failed,
        }
    }

    /// Takes all bytes that the caller has sent, to be passed to the owner.
    pub fn take_requests(&mut self, input: &mut BytesMut) -> BytesMut {
        let bytes = input.split();
        if self.is_undecodable {
            return bytes;
        }
        self.requests.extend_from_slice(&bytes);
        loop {
            match (self.codec.request)(&mut self.requests) {
                Ok(Some(request)) => self.due.push_back(Due::of(&request)),
                Ok(None) => break,
                Err(_) => {
                    self.set_undecodable();
                    break;
                }
            }
        }
        release_if_empty(&mut self.requests);
        bytes
    }

    /// Takes the next whole message that the caller has sent, to be passed to the owner; nothing
    /// until it is complete.
    pub fn take_request(&mut self, input: &mut BytesMut) -> BytesMut {
        let mut whole = self.requests.clone();
        whole.extend_from_slice(input);
        let length = whole.len();
        match (self.codec.request)(&mut whole) {
            Ok(Some(request)) => {
                let passed = self.requests.len();
                self.requests = BytesMut::new();
                self.due.push_back(Due::of(&request));
                input.split_to((length - whole.len()).saturating_sub(passed))
            }
            Ok(None) => BytesMut::new(),
            Err(_) => {
                self.set_undecodable();
                input.split()
            }
        }
    }

    /// Takes the bytes from the owner that answer messages, to be passed to the caller; what no
    /// message has asked for stays in the input.
    ///
    /// # Errors
    /// When a reply cannot be decoded.
    pub fn take_replies(&mut self, input: &mut BytesMut) -> Result<BytesMut, WireError> {
        self.replies.extend_from_slice(input);
        while self.is_reply_due() {
            match (self.codec.reply_part)(&mut self.replies)? {
                Some(ReplyPart::Ready(state, _)) => {
                    self.due.pop_front();
                    self.has_end = false;
                    self.state = state;
                }
                Some(ReplyPart::Row(_)) => {}
                Some(ReplyPart::End(_)) => self.has_end = true,
                None => break,
            }
        }
        release_if_unused(&mut self.due);
        if self.is_reply_due() {
            release_if_empty(&mut self.replies);
            return Ok(input.split());
        }
        let unasked = self.replies.len();
        self.replies = BytesMut::new();
        Ok(input.split_to(input.len() - unasked))
    }

    fn set_undecodable(&mut self) {
        self.due.push_back(Due::Malformed);
        self.is_undecodable = true;
        self.requests = BytesMut::new();
    }
}

/// Frees the list of a session to which nothing is due; most sessions are idle.
fn release_if_unused(due: &mut VecDeque<Due>) {
    if due.is_empty() {
        *due = VecDeque::new();
    }
}

/// Frees the buffer of a session without pending bytes; most sessions are idle.
fn release_if_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() {
        *buffer = BytesMut::new();
    }
}
