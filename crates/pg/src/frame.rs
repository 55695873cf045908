//! Frames: a tag, a length and a body.

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

/// Tag and length word.
const HEAD: usize = 5;
/// Length word alone.
const WORD: usize = 4;

/// One tagged message, undecoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Message type.
    pub tag: u8,
    /// Tag, length and body as they came.
    pub raw: Bytes,
}

quick_error! {
    /// Why no frame could be taken.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub enum FrameError {
        /// The length is below the length of the length word.
        Malformed { display("malformed length") }
        /// The frame is longer than allowed.
        TooLarge { display("message too large") }
    }
}

impl Frame {
    /// The body without tag and length.
    pub fn body(&self) -> &[u8] {
        &self.raw[HEAD..]
    }

    /// Takes one frame from the front of a buffer; `None` when it is not complete yet.
    ///
    /// # Errors
    /// Fails on a length that cannot be or that is above `limit`.
    pub fn take(input: &mut BytesMut, limit: usize) -> Result<Option<Frame>, FrameError> {
        let Some(head) = input.get(..HEAD) else {
            return Ok(None);
        };
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if len < WORD {
            return Err(FrameError::Malformed);
        }
        if len > limit {
            return Err(FrameError::TooLarge);
        }
        if input.len() < len + 1 {
            return Ok(None);
        }
        let tag = head[0];
        Ok(Some(Frame {
            tag,
            raw: input.split_to(len + 1).freeze(),
        }))
    }
}

/// Appends one frame.
pub fn put_frame(out: &mut BytesMut, tag: u8, body: &[u8]) {
    let len = u32::try_from(body.len() + WORD).expect("bodies are far below 4 GiB");
    out.extend_from_slice(&[tag]);
    out.extend_from_slice(&len.to_be_bytes());
    out.extend_from_slice(body);
}

/// Splits whole frames, as an answer holds them.
pub fn frames(body: &[u8]) -> Vec<Frame> {
    let mut input = BytesMut::from(body);
    let mut out = Vec::new();
    while let Ok(Some(frame)) = Frame::take(&mut input, usize::MAX) {
        out.push(frame);
    }
    out
}

/// Reads a zero-terminated string from the front.
pub(crate) fn cstr(body: &mut &[u8]) -> Option<Box<str>> {
    let end = body.iter().position(|b| *b == 0)?;
    let text = std::str::from_utf8(&body[..end]).ok()?.into();
    body.advance(end + 1);
    Some(text)
}
