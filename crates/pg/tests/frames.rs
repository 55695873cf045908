//! Framing of messages: any input yields complete frames or an error.

// Properties take generated values, which are owned.
#![allow(clippy::needless_pass_by_value)]

use bytes::BytesMut;
use pg::{Frame, FrameError, frames, put_frame};
use property::check_property;

fn check(bytes: &[u8], max_len: usize, expected: Result<Option<u8>, FrameError>) {
    let mut input = BytesMut::from(bytes);
    assert_eq!(
        Frame::take(&mut input, max_len).map(|f| f.map(|f| f.tag)),
        expected,
        "{bytes:?}"
    );
}

/// A frame must not be taken before all its bytes have arrived, and an impossible or excessive
/// length must be refused before its body is awaited.
#[test]
fn frames_are_whole_or_refused() {
    // Incomplete: nothing, part of the header, and a header without its body.
    check(b"", 100, Ok(None));
    check(b"Q\0\0\0", 100, Ok(None));
    check(b"Q\0\0\0\x05", 100, Ok(None));
    // Complete.
    check(b"Q\0\0\0\x05\0", 100, Ok(Some(b'Q')));
    // A length below that of the length word, and two above the limit.
    check(b"Q\0\0\0\x03", 100, Err(FrameError::Malformed));
    check(b"Q\0\0\0\x65", 100, Err(FrameError::TooLarge));
    check(b"Q\xff\xff\xff\xff", 100, Err(FrameError::TooLarge));
}

/// Bytes that are lost or read twice would shift the boundaries of all later frames.
#[test]
fn arbitrary_bytes_are_neither_lost_nor_duplicated() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut input = BytesMut::from(bytes.as_slice());
        let mut taken = 0;
        while let Ok(Some(frame)) = Frame::take(&mut input, 1000) {
            taken += frame.raw.len();
        }
        taken + input.len() == bytes.len()
    }
    check_property(property as fn(Vec<u8>) -> bool);
}

/// Frames are read back as written when the bytes arrive in two parts.
#[test]
fn frames_round_trip_across_a_cut() {
    fn property(bodies: Vec<Vec<u8>>, cut: usize) -> bool {
        let mut all = BytesMut::new();
        for body in &bodies {
            put_frame(&mut all, b'D', body);
        }
        let cut = if all.is_empty() { 0 } else { cut % all.len() };
        let mut input = BytesMut::from(&all[..cut]);
        let mut read_back = Vec::new();
        while let Ok(Some(frame)) = Frame::take(&mut input, usize::MAX) {
            read_back.push(frame.body().to_vec());
        }
        input.extend_from_slice(&all[cut..]);
        while let Ok(Some(frame)) = Frame::take(&mut input, usize::MAX) {
            read_back.push(frame.body().to_vec());
        }
        read_back == bodies && frames(&all).len() == bodies.len()
    }
    check_property(property as fn(Vec<Vec<u8>>, usize) -> bool);
}
