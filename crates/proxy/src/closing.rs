//! Closes connections after a last reply.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use link::BufferedStream;

/// Time to read on after the last reply, in ms. Bytes that arrive at a closed connection make the
/// system reset it, and the caller may lose the reply.
const LINGER_MS: u64 = 250;

/// Time for which a statement that is just arriving is waited for before a session ends, in ms.
const ARRIVAL_WAIT_MS: u64 = 2;

/// Reads what is just arriving.
pub async fn read_arriving(link: &mut BufferedStream) {
    let wait = Duration::from_millis(ARRIVAL_WAIT_MS);
    // The result is dropped: bytes are in the input, and an error shows again on sending.
    let _ = monoio::time::timeout(wait, link.read_more()).await;
}

/// Reads what has already arrived, without waiting.
pub async fn read_arrived(link: &mut BufferedStream) {
    let mut read = pin!(link.read_more());
    poll_fn(|cx| {
        // The result is dropped: bytes are in the input, and an error shows again on sending.
        let _ = read.as_mut().poll(cx);
        Poll::Ready(())
    })
    .await;
}

/// Sends the end of the stream, and reads until the peer closes or `LINGER_MS` are over.
pub async fn close_after_reply(link: &mut BufferedStream) {
    // Errors are ignored: the peer may have disconnected already.
    let _ = link.shut_down().await;
    let drain = async {
        while matches!(link.read_more().await, Ok(n) if n > 0) {
            link.input.clear();
        }
    };
    let _ = monoio::time::timeout(Duration::from_millis(LINGER_MS), drain).await;
}
