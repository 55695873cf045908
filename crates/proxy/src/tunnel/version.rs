//! Compares the configuration with those of other daemons.

use std::rc::Rc;

use base::sleep_ms;

use super::VERSION_PREFIX;
use super::connect::{PeerError, send_head};
use super::head::encode_request;
use crate::{Peer, Proxy};

/// Interval between two comparisons, in ms. A daemon that is cut off from the store, hands no
/// session off and asks for no rate must learn of a withdrawn key within 5,000 ms.
const INTERVAL_MS: u64 = 2000;

/// Compares versions with a random daemon at intervals, until the process ends. Of the two, the one
/// with the newer configuration pushes it to the other. Without client accounts, nothing is sent.
pub(super) async fn compare_periodically(proxy: Rc<Proxy>) {
    loop {
        sleep_ms(INTERVAL_MS).await;
        if !proxy.accounts.in_force() {
            continue;
        }
        if let Some(peer) = fastrand::choice(proxy.peers.all()) {
            // A failure needs no action: the next comparison is with another daemon.
            let _ = compare(&proxy, &peer).await;
        }
    }
}

/// Compares versions with a daemon; returns whether it has answered.
pub(crate) async fn compare(proxy: &Rc<Proxy>, peer: &Peer) -> bool {
    let version = proxy.config_version.get();
    let target = format!("{VERSION_PREFIX}{version}.{}", proxy.settings.name);
    let answer = send_head(peer.addr, &encode_request(&target)).await;
    match &answer {
        Err(PeerError::Io(_)) => proxy.on_peer_silence(peer),
        _ => proxy.on_peer_answer(peer),
    }
    let (Ok((_, Some(theirs))) | Err(PeerError::Refused(Some(theirs)))) = answer else {
        return false;
    };
    proxy.hear_version(theirs, &peer.name);
    true
}
