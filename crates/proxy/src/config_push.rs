//! Passes the configuration on to daemons that serve sessions of this one.
//!
//! Such a daemon may be cut off from the store while this one is not; callers of this one would
//! then be served by an older configuration than the one in force here.

use std::rc::Rc;

use base::{Event, emit};
use schema::Config;

use crate::state::sleep_ms;
use crate::tunnel::{self, Peer};
use crate::{Proxy, WireError};

/// Time in which most daemons have heard of a configuration by themselves, in ms.
const SPREAD_MS: u64 = 400;
/// Attempts for one daemon.
const TRIES: usize = 5;
/// Pause between two attempts, in ms.
const AGAIN_MS: u64 = 300;

/// Offers a configuration that has just come into force to the daemons that serve sessions of this
/// one.
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
        sleep_ms(SPREAD_MS).await;
        for peer in proxy.peers.hand_off_targets() {
            monoio::spawn(offer(proxy.clone(), peer, version, bytes.clone()));
        }
    });
}

async fn offer(proxy: Rc<Proxy>, peer: Peer, version: u64, bytes: Rc<[u8]>) {
    for _ in 0..TRIES {
        // The newer configuration is offered by itself.
        if proxy.version.get() > version {
            return;
        }
        match tunnel::offer_config(&peer, version, &bytes).await {
            Ok(()) => return,
            Err(e) => emit(
                Event::ConfigPushFailed,
                &[("version", &version), ("peer", &peer.name), ("cause", &e)],
            ),
        }
        sleep_ms(AGAIN_MS).await;
    }
}

/// Puts in force what another daemon has passed on.
///
/// # Errors
/// When the bytes are no configuration.
pub(crate) fn receive(proxy: &Rc<Proxy>, bytes: &[u8]) -> Result<(), WireError> {
    let config: Config = rmp_serde::from_slice(bytes).map_err(|_| WireError::Malformed)?;
    emit(
        Event::ConfigReceived,
        &[
            ("version", &config.version),
            ("before", &proxy.version.get()),
        ],
    );
    proxy.configure(config);
    Ok(())
}
