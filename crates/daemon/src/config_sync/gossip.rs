//! Config push along a tree, and gossip with random peers.

use std::rc::Rc;

use fleet::{OfferOutcome, branches};
use schema::{Diff, Digest, Fetch, Item, Items, OrderResponse, Push};

use crate::join::sleep;
use crate::state::Daemon;

/// Timeout of one call to a peer, in ms.
const CALL_TIMEOUT_MS: u64 = 1000;
/// On average, one gossip exchange in this many chooses its peer from all data centres.
const REMOTE_EXCHANGE_ONE_IN: u32 = 4;

impl Daemon {
    /// Pushes an item to all other daemons of this data centre.
    pub(super) fn push_to_data_center(self: &Rc<Self>, item: Item) {
        let push = self.new_push(vec![item]);
        self.push_branches(
            &push,
            &self.other_daemons(Some(&self.membership.data_center)),
        );
    }

    /// Announces to all daemons that this one is stopping, so that they send it no more requests.
    pub fn announce_stopping(self: &Rc<Self>) {
        let push = Push {
            leaving: vec![self.membership.me.clone()],
            ..self.new_push(Vec::new())
        };
        self.push_branches(&push, &self.other_daemons(None));
    }

    fn new_push(&self, items: Vec<Item>) -> Push {
        Push {
            sender: self.membership.me.clone(),
            items,
            leaving: Vec::new(),
            below: Vec::new(),
        }
    }

    fn other_daemons(&self, data_center: Option<&str>) -> Vec<Box<str>> {
        let mut names = self.membership.daemons(data_center);
        names.retain(|n| *n != self.membership.me);
        names
    }

    /// Sends a push to the first reachable daemon of each branch, which forwards it to the daemons
    /// after it.
    fn push_branches(self: &Rc<Self>, push: &Push, recipients: &[Box<str>]) {
        for branch in branches(recipients) {
            let (daemon, push) = (self.clone(), push.clone());
            monoio::spawn(async move {
                for index in 0..branch.len() {
                    let push = Push {
                        sender: daemon.membership.me.clone(),
                        below: branch[index + 1..].to_vec(),
                        ..push.clone()
                    };
                    let Some(addr) = daemon.membership.daemon(&branch[index]) else {
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

    /// Applies the items of a push and forwards it down the tree.
    pub fn apply_push(self: &Rc<Self>, push: Push) -> OrderResponse {
        self.push_branches(&push, &push.below);
        push.leaving
            .iter()
            .for_each(|name| self.avoid_stopping(name));
        let mut missing = Vec::new();
        for item in &push.items {
            if self.apply_item(item, false) == OfferOutcome::NeedsWhole {
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

    /// Stops sending requests to a daemon that is stopping.
    pub fn avoid_stopping(&self, name: &str) {
        self.membership.avoid_stopping(name);
        if let Some(addr) = self.membership.daemon(name) {
            self.peers.forget(addr);
        }
    }

    /// Fetches complete objects from a daemon and applies them.
    async fn fetch(self: &Rc<Self>, from: &str, names: Vec<Box<str>>) {
        let Some(addr) = self.membership.daemon(from) else {
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

    /// Handles a request for complete objects.
    pub fn handle_fetch(&self, fetch: &Fetch) -> Items {
        Items {
            items: fetch
                .names
                .iter()
                .filter_map(|n| self.config_store.item(n, None))
                .collect(),
        }
    }

    /// Handles the digest of a peer: a short one has only the hash, a full one all versions.
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

    /// Exchanges versions with a peer; afterwards each side holds the newer version of every object.
    async fn exchange_versions(self: &Rc<Self>, peer: &str) -> Option<()> {
        let addr = self.membership.daemon(peer)?;
        let short_digest = self.config_store.digest(false);
        let diff: Diff = self
            .peers
            .call(addr, "/v1/digest", &short_digest, CALL_TIMEOUT_MS)
            .await
            .ok()?;
        if diff.same {
            return Some(());
        }
        let mut full_digest = self.config_store.digest(true);
        if full_digest.versions.is_empty() {
            // Without versions the peer would take this for a short digest.
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

/// Exchanges versions with a random peer periodically.
pub(super) async fn run_gossip(daemon: Rc<Daemon>) {
    loop {
        let any_data_center = fastrand::u32(..REMOTE_EXCHANGE_ONE_IN) == 0;
        let data_center = if any_data_center {
            None
        } else {
            Some(&*daemon.membership.data_center)
        };
        let mut names = daemon.membership.daemons(data_center);
        names.retain(|n| *n != daemon.membership.me);
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
