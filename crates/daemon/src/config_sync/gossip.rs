//! The tree push and the exchange with random peers.

use std::rc::Rc;

use fleet::{OfferOutcome, branches};
use schema::{Diff, Digest, Fetch, Item, Items, OrderResponse, Push};

use crate::join::sleep;
use crate::state::Daemon;

/// Time for one call, in ms.
const CALL_MS: u64 = 1000;
/// One exchange in so many goes to another data centre.
const FAR_ONE_IN: u32 = 4;

impl Daemon {
    /// Pushes an item to all daemons of this data centre.
    pub(super) fn push_to_data_center(self: &Rc<Self>, item: Item) {
        let push = self.push_of(vec![item]);
        self.push_branches(&push, &self.others(Some(&self.membership.data_center)));
    }

    /// Tells all daemons that this one is stopping, so that none sends it a request as it ends.
    pub fn announce_stopping(self: &Rc<Self>) {
        let push = Push {
            leaving: vec![self.membership.me.clone()],
            ..self.push_of(Vec::new())
        };
        self.push_branches(&push, &self.others(None));
    }

    fn push_of(&self, items: Vec<Item>) -> Push {
        Push {
            sender: self.membership.me.clone(),
            items,
            leaving: Vec::new(),
            below: Vec::new(),
        }
    }

    fn others(&self, center: Option<&str>) -> Vec<Box<str>> {
        let mut names = self.membership.daemons(center);
        names.retain(|n| *n != self.membership.me);
        names
    }

    /// Sends a push to the head of each branch; a head that cannot be reached is passed over.
    fn push_branches(self: &Rc<Self>, push: &Push, below: &[Box<str>]) {
        for branch in branches(below) {
            let (daemon, push) = (self.clone(), push.clone());
            monoio::spawn(async move {
                for at in 0..branch.len() {
                    let push = Push {
                        sender: daemon.membership.me.clone(),
                        below: branch[at + 1..].to_vec(),
                        ..push.clone()
                    };
                    let Some(addr) = daemon.membership.daemon(&branch[at]) else {
                        continue;
                    };
                    let sent: Result<OrderResponse, _> =
                        daemon.peers.call(addr, "/v1/push", &push, CALL_MS).await;
                    if sent.is_ok() {
                        return;
                    }
                }
            });
        }
    }

    /// Takes pushed items and passes them on.
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

    /// Sends nothing more to a daemon that is stopping.
    pub fn avoid_stopping(&self, name: &str) {
        self.membership.avoid_stopping(name);
        if let Some(addr) = self.membership.daemon(name) {
            self.peers.forget(addr);
        }
    }

    /// Fetches whole objects from a daemon.
    async fn fetch(self: &Rc<Self>, from: &str, names: Vec<Box<str>>) {
        let Some(addr) = self.membership.daemon(from) else {
            return;
        };
        let items: Result<Items, _> = self
            .peers
            .call(addr, "/v1/fetch", &Fetch { names }, CALL_MS)
            .await;
        for item in items.map(|i| i.items).unwrap_or_default() {
            self.apply_item(&item, false);
        }
    }

    /// Whole objects for a daemon that asks.
    pub fn handle_fetch(&self, fetch: &Fetch) -> Items {
        Items {
            items: fetch
                .names
                .iter()
                .filter_map(|n| self.config_store.item(n, None))
                .collect(),
        }
    }

    /// Answers a peer's digest.
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

    /// One exchange with one peer; both sides are level afterwards.
    async fn exchange(self: &Rc<Self>, peer: &str) -> Option<()> {
        let addr = self.membership.daemon(peer)?;
        let short = self.config_store.digest(false);
        let diff: Diff = self
            .peers
            .call(addr, "/v1/digest", &short, CALL_MS)
            .await
            .ok()?;
        if diff.same {
            return Some(());
        }
        let mut whole = self.config_store.digest(true);
        if whole.versions.is_empty() {
            // A daemon that holds nothing still has to be told apart from a short digest.
            whole.versions.push(schema::KnownVersion {
                name: "".into(),
                version: 0,
            });
        }
        let diff: Diff = self
            .peers
            .call(addr, "/v1/digest", &whole, CALL_MS)
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
            let push = self.push_of(items);
            let _: Result<OrderResponse, _> =
                self.peers.call(addr, "/v1/push", &push, CALL_MS).await;
        }
        Some(())
    }
}

/// Exchanges versions with a random peer, again and again.
pub(super) async fn gossip(daemon: Rc<Daemon>) {
    loop {
        let far = fastrand::u32(..FAR_ONE_IN) == 0;
        let center = if far {
            None
        } else {
            Some(&*daemon.membership.data_center)
        };
        let mut names = daemon.membership.daemons(center);
        names.retain(|n| *n != daemon.membership.me);
        if let Some(peer) = fastrand::choice(&names) {
            let _ = daemon.exchange(peer).await;
        }
        let period = if daemon.is_ready() {
            daemon.settings.timing.gossip_ms
        } else {
            50
        };
        sleep(period / 2 + fastrand::u64(..=period)).await;
    }
}
