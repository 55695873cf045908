//! Frames between a daemon and a keeper: a big-endian length, then a `MessagePack` value.

use std::io;

use link::BufferedStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest encoded value.
pub const MAX_FRAME_BYTES: usize = 64 << 10;
const LENGTH_BYTES: usize = 4;

/// Sends a value.
///
/// # Errors
/// `InvalidData` when it is too long; the errors of the connection.
pub async fn send_frame(link: &mut BufferedStream, value: &impl Serialize) -> io::Result<()> {
    let bytes = rmp_serde::to_vec(value).map_err(io::Error::other)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let length = u32::try_from(bytes.len()).expect("checked above");
    let mut frame = Vec::with_capacity(LENGTH_BYTES + bytes.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&bytes);
    link.send(&frame).await
}

/// Reads a value; `None` at the end of the connection between two frames.
///
/// # Errors
/// `InvalidData` when the frame is too long or no such value, `UnexpectedEof` when it is cut off; the
/// errors of the connection.
pub async fn read_frame<T: DeserializeOwned>(link: &mut BufferedStream) -> io::Result<Option<T>> {
    if !fill(link, LENGTH_BYTES).await? {
        return Ok(None);
    }
    let length = [link.input[0], link.input[1], link.input[2], link.input[3]];
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    if !fill(link, LENGTH_BYTES + length).await? {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let frame = link.input.split_to(LENGTH_BYTES + length);
    let value = rmp_serde::from_slice(&frame[LENGTH_BYTES..]);
    link.release_buffer();
    value
        .map(Some)
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

/// Reads until the buffer holds `count` bytes; false if the connection ends before the first.
async fn fill(link: &mut BufferedStream, count: usize) -> io::Result<bool> {
    while link.input.len() < count {
        if link.read_more().await? == 0 {
            return if link.input.is_empty() {
                Ok(false)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
    Ok(true)
}
