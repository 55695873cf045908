//! Hands sessions off to other daemons.

use std::io;

use base::sleep_ms;
use link::BufferedStream;

use super::SESSION_PREFIX;
use super::connect::{announce_stop, connect_to_peer};
use crate::{Peer, Proxy};

/// Time without bytes after which the reply to a handed-off caller counts as complete.
const REPLY_SILENCE_MS: u64 = 100;

/// Hands a session off to the first of several daemons that accepts it, and forwards bytes both
/// ways until it ends. Input that is already buffered is forwarded first.
///
/// # Errors
/// Returns the caller's connection when no daemon accepts.
pub async fn hand_off(
    proxy: &Proxy,
    peers: &[Peer],
    mut caller: BufferedStream,
) -> Result<(), BufferedStream> {
    for peer in peers {
        let target = format!(
            "{SESSION_PREFIX}{}.{}",
            proxy.config_version.get(),
            proxy.settings.name
        );
        // Counted before the attempt, so that a configuration that comes into force meanwhile is
        // pushed to this peer too.
        proxy.peers.add_handed_off(peer.addr);
        let owner = connect_to_peer(peer.addr, &target).await;
        let accepted = owner.is_ok();
        if accepted && proxy.draining.get() {
            announce_stop(vec![peer.clone()], &proxy.settings.name);
        }
        if let Ok(mut owner) = owner {
            // The error is dropped: both connections are closed, and a byte stream has no room for
            // an error message.
            let _ = copy_both_ways(proxy, &mut caller, &mut owner).await;
        }
        proxy.peers.remove_handed_off(peer.addr);
        if accepted {
            return Ok(());
        }
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

/// Copies both ways until one side closes. Once `Proxy::force_end` is set and no reply is due, it
/// also ends after `REPLY_SILENCE_MS` without bytes.
///
/// A reply is due at the start, and from the arrival of bytes from the caller until bytes from the
/// owner arrive.
async fn copy_both_ways(
    proxy: &Proxy,
    caller: &mut BufferedStream,
    owner: &mut BufferedStream,
) -> io::Result<()> {
    let mut reply_due = true;
    loop {
        let bytes = caller.input.split();
        reply_due |= !bytes.is_empty();
        owner.send(&bytes).await?;
        let bytes = owner.input.split();
        reply_due &= bytes.is_empty();
        caller.send(&bytes).await?;
        caller.release_buffer();
        owner.release_buffer();
        let generation = proxy.stop_signal.generation();
        let bytes_read = monoio::select! {
            bytes_read = caller.read_more() => bytes_read?,
            bytes_read = owner.read_more() => bytes_read?,
            () = proxy.stop_signal.wait_past(generation) => continue,
            () = reply_silence(proxy.force_end.get() && !reply_due) => return Ok(()),
        };
        if bytes_read == 0 {
            let bytes = owner.input.split();
            return caller.send(&bytes).await;
        }
    }
}
