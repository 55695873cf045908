//! Pushes the configuration to other daemons: to those that serve sessions handed off by this one,
//! and to those that name an older version in a message.
//!
//! Such a daemon may be cut off from the store while this one is not. Its callers would then be
//! served by an older configuration than the one in force here.

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

impl Proxy {
    /// Records the version that another daemon has named in a message, and pushes the configuration
    /// in force to it if its own is older.
    pub fn hear_version(self: &Rc<Self>, version: u64, peer: &str) {
        self.newest_heard.set(self.newest_heard.get().max(version));
        if version >= self.config_version.get() {
            return;
        }
        let Some(peer) = self.peers.find(peer) else {
            return;
        };
        if !self.push_targets.borrow_mut().insert(peer.addr) {
            return;
        }
        let proxy = self.clone();
        monoio::spawn(async move {
            sleep_ms(PUSH_DELAY_MS).await;
            let addr = peer.addr;
            push_with_retry(proxy.clone(), peer).await;
            proxy.push_targets.borrow_mut().remove(&addr);
        });
    }
}

/// Stores a configuration that is coming into force for pushes, and pushes it to the daemons that
/// serve sessions handed off by this one.
pub(crate) fn set_in_force(proxy: &Rc<Proxy>, config: &Config) {
    match rmp_serde::to_vec(config) {
        Ok(bytes) => proxy.config_bytes.replace(bytes.into()),
        Err(e) => {
            emit(
                Event::ConfigPushFailed,
                &[("version", &config.version), ("cause", &e)],
            );
            return;
        }
    };
    if proxy.peers.hand_off_targets().is_empty() {
        return;
    }
    let proxy = proxy.clone();
    monoio::spawn(async move {
        sleep_ms(PUSH_DELAY_MS).await;
        for peer in proxy.peers.hand_off_targets() {
            monoio::spawn(push_with_retry(proxy.clone(), peer));
        }
    });
}

/// Pushes the configuration in force, also one that comes into force meanwhile.
async fn push_with_retry(proxy: Rc<Proxy>, peer: Peer) {
    for _ in 0..MAX_ATTEMPTS {
        let version = proxy.config_version.get();
        let bytes = proxy.config_bytes.borrow().clone();
        match tunnel::push_config(&peer, version, &bytes).await {
            Ok(()) if proxy.config_version.get() == version => return,
            Ok(()) => {}
            Err(e) => emit(
                Event::ConfigPushFailed,
                &[("version", &version), ("peer", &peer.name), ("cause", &e)],
            ),
        }
        sleep_ms(RETRY_DELAY_MS).await;
    }
}

/// Puts a configuration in force that another daemon has pushed as `version`.
///
/// # Errors
/// `WireError::Malformed` when the bytes are no configuration, or one of another version.
pub(crate) fn receive(proxy: &Rc<Proxy>, version: u64, bytes: &[u8]) -> Result<(), WireError> {
    let config: Config = rmp_serde::from_slice(bytes).map_err(|_| WireError::Malformed)?;
    if config.version != version {
        return Err(WireError::Malformed);
    }
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
