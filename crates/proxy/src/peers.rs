//! The other daemons of the fleet, as this one knows them.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use base::Ms;

use crate::Reachability;

/// Maximum number of daemons that are tried for one tunnel.
const MAX_CANDIDATES: usize = 6;

/// Another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the daemon's VM.
    pub name: Box<str>,
    /// Address at which it accepts connections from other daemons.
    pub addr: SocketAddr,
    pub data_center: Box<str>,
}

/// The other daemons of the fleet.
#[derive(Default)]
pub struct Peers {
    list: RefCell<Vec<Peer>>,
    /// Number of changes of the list.
    generation: Cell<u64>,
    /// Whether `set` has been called.
    is_known: Cell<bool>,
    /// Number of sessions handed off or being offered, by the address of the other daemon; an
    /// absent address means none.
    handed_off: RefCell<HashMap<SocketAddr, usize>>,
    /// Which of them answer.
    pub reachability: Reachability,
}

impl Peers {
    /// Replaces the list.
    pub fn set(&self, mut peers: Vec<Peer>) {
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        if peers != *self.list.borrow() {
            let addrs: HashSet<SocketAddr> = peers.iter().map(|p| p.addr).collect();
            self.reachability.retain(|addr| addrs.contains(&addr));
            self.list.replace(peers);
            self.generation.set(self.generation.get() + 1);
        }
        self.is_known.set(true);
    }

    /// Changes whenever the list does.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    pub(crate) fn list(&self) -> Ref<'_, Vec<Peer>> {
        self.list.borrow()
    }

    /// Whether the list has been set, even to an empty one.
    pub fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// All other daemons.
    pub fn all(&self) -> Vec<Peer> {
        self.list.borrow().clone()
    }

    /// The daemon on a VM.
    pub fn find(&self, name: &str) -> Option<Peer> {
        let peers = self.list.borrow();
        peers.iter().find(|p| *p.name == *name).cloned()
    }

    /// Whether a daemon is known not to answer.
    pub fn is_silent(&self, peer: &Peer) -> bool {
        let silent_ms = self.reachability.silent_for_ms(peer.addr, Ms::now());
        silent_ms.is_some()
    }

    /// Listed daemons that serve sessions handed off by this one, or are being offered one.
    pub fn hand_off_targets(&self) -> Vec<Peer> {
        let handed_off = self.handed_off.borrow();
        let peers = self.list.borrow();
        let serving = peers.iter().filter(|p| handed_off.contains_key(&p.addr));
        serving.cloned().collect()
    }

    pub(crate) fn add_handed_off(&self, addr: SocketAddr) {
        *self.handed_off.borrow_mut().entry(addr).or_default() += 1;
    }

    pub(crate) fn remove_handed_off(&self, addr: SocketAddr) {
        let mut handed_off = self.handed_off.borrow_mut();
        let Some(count) = handed_off.get_mut(&addr) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            handed_off.remove(&addr);
        }
    }

    /// Up to `MAX_CANDIDATES` daemons to tunnel through to a member of a data centre: in random
    /// order, those in that data centre first.
    pub fn tunnel_candidates(&self, data_center: &str) -> Vec<Peer> {
        let mut peers = self.list.borrow().clone();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|p| &*p.data_center != data_center);
        peers.truncate(MAX_CANDIDATES);
        peers
    }
}
