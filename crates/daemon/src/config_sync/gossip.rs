//! Pushes of objects and stop announcements along a tree, and gossip with random peers.

use std::rc::Rc;

use fleet::{OfferOutcome, branches};
use schema::{Diff, Digest, Fetch, Item, Items, OrderResponse, Push};

use crate::join::sleep;
use crate::state::Daemon;

/// Timeout of one call to a peer, in ms.
const CALL_TIMEOUT_MS: u64 = 1000;
/// On average, one gossip exchange in this many chooses its peer from all data centres, this
/// daemon's own included; the others choose it from the own one.
const GLOBAL_EXCHANGE_PERIOD: u32 = 4;

impl Daemon {
    /// Pushes an item to all other daemons of this data centre.
    pub(super) fn push_to_data_center(self: &Rc<Self>, item: Item) {
        let push = self.new_push(vec![item]);
        self.push_branches(
            &push,
            &self.other_daemons(Some(&self.membership.data_center)),
        );
    }

    /// Announces to all daemons that this one is stopping, so that they prefer other daemons.
    pub fn announce_stopping(self: &Rc<Self>) {
        let push = Push {
            leaving: vec![self.membership.own_name.clone()],
            ..self.new_push(Vec::new())
        };
        self.push_branches(&push, &self.other_daemons(None));
    }

    fn new_push(&self, items: Vec<Item>) -> Push {
        Push {
            sender: self.membership.own_name.clone(),
            items,
            leaving: Vec::new(),
            below: Vec::new(),
        }
    }

    fn other_daemons(&self, data_center: Option<&str>) -> Vec<Box<str>> {
        let mut names = self.membership.live_daemons(data_center);
        names.retain(|n| *n != self.membership.own_name);
        names
    }

    /// Sends a push to the first daemon of each branch that acknowledges it, which forwards it to
    /// the daemons after it.
    ///
    /// A daemon whose acknowledgement is lost forwards the push as well, so some daemons may get it
    /// twice; a second delivery has no effect.
    fn push_branches(self: &Rc<Self>, push: &Push, recipients: &[Box<str>]) {
        for branch in branches(recipients) {
            let (daemon, push) = (self.clone(), push.clone());
            monoio::spawn(async move {
                for index in 0..branch.len() {
                    let push = Push {
                        sender: daemon.membership.own_name.clone(),
                        below: branch[index + 1..].to_vec(),
                        ..push.clone()
                    };
                    let Some(addr) = daemon.membership.daemon_addr(&branch[index]) else {
                        continue;
                    };
                    let sent: Result<OrderResponse, _> = daemon
                        .peers
                        .call(addr, "/v1/push", &push, CALL_TIMEOUT_MS)
                        .await;
                    if sent.is_ok() {
                        return;
                    }
                }
            });
        }
    }

    /// Forwards a push down the tree and applies its items.
    pub fn apply_push(self: &Rc<Self>, push: Push) -> OrderResponse {
        self.push_branches(&push, &push.below);
        push.leaving
            .iter()
            .for_each(|name| self.mark_stopping(name));
        let mut missing = Vec::new();
        for item in &push.items {
            if self.apply_item(item, false) == OfferOutcome::NeedsFullObject {
                missing.push(item.name.clone());
            }
        }
        if !missing.is_empty() {
            let daemon = self.clone();
            monoio::spawn(async move { daemon.fetch(&push.sender, missing).await });
        }
        OrderResponse {
            ok: true,
            text: "".into(),
        }
    }

    /// Makes requests prefer other daemons to one that is stopping, and closes the idle connections
    /// to it.
    pub fn mark_stopping(&self, name: &str) {
        self.membership.mark_stopping(name);
        if let Some(addr) = self.membership.daemon_addr(name) {
            self.peers.close_idle(addr);
        }
    }

    /// Fetches full objects from a daemon and applies them.
    async fn fetch(self: &Rc<Self>, from: &str, names: Vec<Box<str>>) {
        let Some(addr) = self.membership.daemon_addr(from) else {
            return;
        };
        let items: Result<Items, _> = self
            .peers
            .call(addr, "/v1/fetch", &Fetch { names }, CALL_TIMEOUT_MS)
            .await;
        for item in items.map(|i| i.items).unwrap_or_default() {
            self.apply_item(&item, false);
        }
    }

    /// Handles a request for full objects.
    pub fn handle_fetch(&self, fetch: &Fetch) -> Items {
        Items {
            items: fetch
                .names
                .iter()
                .filter_map(|n| self.config_store.item(n, None))
                .collect(),
        }
    }

    /// Handles the digest of a peer: a hash-only one is compared as a whole, a full one version by
    /// version.
    pub fn handle_digest(&self, digest: &Digest) -> Diff {
        if digest.versions.is_empty() {
            let same = digest.hash == self.config_store.digest(false).hash;
            return Diff {
                same,
                items: Vec::new(),
                wanted: Vec::new(),
            };
        }
        let (items, wanted) = self.config_store.compare(&digest.versions);
        Diff {
            same: false,
            items,
            wanted,
        }
    }

    /// Exchanges versions with a peer, so that each side gets the newer version of every object; a
    /// failed exchange is repaired by a later one.
    async fn exchange_versions(self: &Rc<Self>, peer: &str) -> Option<()> {
        let addr = self.membership.daemon_addr(peer)?;
        let hash_only_digest = self.config_store.digest(false);
        let diff: Diff = self
            .peers
            .call(addr, "/v1/digest", &hash_only_digest, CALL_TIMEOUT_MS)
            .await
            .ok()?;
        if diff.same {
            return Some(());
        }
        let mut full_digest = self.config_store.digest(true);
        if full_digest.versions.is_empty() {
            // Without versions the peer would take this for a hash-only digest.
            full_digest.versions.push(schema::KnownVersion {
                name: "".into(),
                version: 0,
            });
        }
        let diff: Diff = self
            .peers
            .call(addr, "/v1/digest", &full_digest, CALL_TIMEOUT_MS)
            .await
            .ok()?;
        for item in &diff.items {
            self.apply_item(item, false);
        }
        let items: Vec<Item> = diff
            .wanted
            .iter()
            .filter_map(|n| self.config_store.item(n, None))
            .collect();
        if !items.is_empty() {
            let push = self.new_push(items);
            let _: Result<OrderResponse, _> = self
                .peers
                .call(addr, "/v1/push", &push, CALL_TIMEOUT_MS)
                .await;
        }
        Some(())
    }
}

/// Exchanges versions with a random peer periodically, and more often until the daemon is ready.
///
/// The delay is random between 0.5 and 1.5 times the interval, so that the daemons do not
/// synchronize.
pub(super) async fn run_gossip(daemon: Rc<Daemon>) {
    loop {
        let any_data_center = fastrand::u32(..GLOBAL_EXCHANGE_PERIOD) == 0;
        let data_center = if any_data_center {
            None
        } else {
            Some(&*daemon.membership.data_center)
        };
        let mut names = daemon.membership.live_daemons(data_center);
        names.retain(|n| *n != daemon.membership.own_name);
        if let Some(peer) = fastrand::choice(&names) {
            let _ = daemon.exchange_versions(peer).await;
        }
        let interval_ms = if daemon.is_ready() {
            daemon.settings.timing.gossip_ms
        } else {
            50
        };
        sleep(interval_ms / 2 + fastrand::u64(..=interval_ms)).await;
    }
}
