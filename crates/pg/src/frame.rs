//! Framing of tagged messages: a tag byte, a length word and a body.

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

/// Size of the tag and the length word.
const HEADER_BYTES: usize = 5;
/// Size of the length word, which counts itself but not the tag.
const LENGTH_BYTES: usize = 4;

/// One tagged message, with its body undecoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Message type.
    pub tag: u8,
    /// Tag, length word and body as received.
    pub raw: Bytes,
}

quick_error! {
    /// Why no frame could be parsed.
    #[derive(Clone, Copy, Debug, PartialEq)]
    pub enum FrameError {
        /// The length is below the size of the length word itself.
        Malformed { display("malformed length") }
        /// The frame exceeds the size limit.
        TooLarge { display("message too large") }
    }
}

impl Frame {
    /// The body without tag and length.
    pub fn body(&self) -> &[u8] {
        &self.raw[HEADER_BYTES..]
    }

    /// Takes one frame from the front of `input`; `None` when it is not complete yet.
    ///
    /// # Errors
    /// `Malformed` for a length below that of the length word, `TooLarge` for one above `max_len`.
    pub fn take(input: &mut BytesMut, max_len: usize) -> Result<Option<Frame>, FrameError> {
        let Some(header) = input.get(..HEADER_BYTES) else {
            return Ok(None);
        };
        let len = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
        if len < LENGTH_BYTES {
            return Err(FrameError::Malformed);
        }
        if len > max_len {
            return Err(FrameError::TooLarge);
        }
        if input.len() < len + 1 {
            return Ok(None);
        }
        let tag = header[0];
        Ok(Some(Frame {
            tag,
            raw: input.split_to(len + 1).freeze(),
        }))
    }
}

/// Appends one frame to `out`.
pub fn put_frame(out: &mut BytesMut, tag: u8, body: &[u8]) {
    let len = u32::try_from(body.len() + LENGTH_BYTES).expect("bodies are far below 4 GiB");
    out.extend_from_slice(&[tag]);
    out.extend_from_slice(&len.to_be_bytes());
    out.extend_from_slice(body);
}

/// Splits bytes into frames; stops at a malformed or incomplete one.
pub fn frames(bytes: &[u8]) -> Vec<Frame> {
    let mut input = BytesMut::from(bytes);
    let mut out = Vec::new();
    while let Ok(Some(frame)) = Frame::take(&mut input, usize::MAX) {
        out.push(frame);
    }
    out
}

/// Takes a NUL-terminated string from the front of `body`.
pub(crate) fn cstr(body: &mut &[u8]) -> Option<Box<str>> {
    let end = body.iter().position(|b| *b == 0)?;
    let text = std::str::from_utf8(&body[..end]).ok()?.into();
    body.advance(end + 1);
    Some(text)
}
