//! Accepts connections.

use std::time::Duration;

use monoio::net::{TcpListener, TcpStream};

/// Delay after a failed `accept`, in ms.
const RETRY_DELAY_MS: u64 = 20;

/// Returns the next connection. `accept` fails at once, for example, while no file descriptor is free;
/// the listener stays usable, and other tasks run meanwhile, which may free some.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => monoio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await,
        }
    }
}
