//! Service of a group while none of its owners answers.
//!
//! The owners follow from the list of daemons, which names machines that are gone until their records
//! expire, and daemons behind a cut. While no owner answers, the first daemon in the ranking behind them that
//! does stands in for them: one daemon on each side of a cut, with few connections of its own (`ConnBudget`).
//! Both ends check it: the daemon of the caller, which asks, and the one that stands in, which refuses
//! while anyone that ranks before it answers. `rehoming` ends its sessions once an owner is back.

use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit, sleep_ms};

use crate::owner_set::Successor;
use crate::{Group, Peer, Proxy, Reachability, tunnel};

/// Time for which no owner has answered before another daemon is asked to stand in, in ms. After a loss of
/// power the owners may start later than this daemon.
const STAND_IN_DELAY_MS: u64 = 750;
/// Time for which a daemon that stands in serves the group after its last new session, in ms.
const STAND_IN_MS: u64 = 10_000;
/// Longest time for which a daemon that is asked to stand in checks those that rank before it, in ms.
const MAX_CHECK_MS: u64 = 300;

impl Proxy {
    /// Records that another daemon has answered an attempt to connect to it.
    pub(crate) fn on_peer_answer(&self, peer: &Peer) {
        let silent_ms = self.peers.reachability.on_answer(peer.addr, Ms::now());
        if let Some(silent_ms) = silent_ms {
            emit(
                Event::PeerAnswers,
                &[("peer", &peer.name), ("silent_ms", &silent_ms)],
            );
        }
    }

    /// Records that another daemon has not answered, and checks it until it does.
    pub(crate) fn on_peer_silence(self: &Rc<Self>, peer: &Peer) {
        if !self.peers.reachability.on_silence(peer.addr, Ms::now()) {
            return;
        }
        emit(
            Event::PeerSilent,
            &[("peer", &peer.name), ("addr", &peer.addr)],
        );
        monoio::spawn(check_until_answer(self.clone(), peer.clone()));
    }

    /// Checks the daemons of which it is not known whether they answer.
    fn check_unknown(self: &Rc<Self>, peers: &[Peer]) {
        let now = Ms::now();
        let is_unknown = |p: &&Peer| !self.peers.reachability.is_known(p.addr, now);
        for peer in peers.iter().filter(is_unknown) {
            self.check_peer(peer);
        }
    }

    /// Checks a daemon in the background, unless it is being checked.
    pub(crate) fn check_peer(self: &Rc<Self>, peer: &Peer) {
        if !self.peers.reachability.begin_check(peer.addr) {
            return;
        }
        let (proxy, peer) = (self.clone(), peer.clone());
        monoio::spawn(async move {
            tunnel::is_reachable(&proxy, &peer).await;
            proxy.peers.reachability.on_checked(peer.addr);
        });
    }

    /// Which daemon serves a session whose `owners` have not accepted it, if none of them has answered
    /// for some time; `None` if that is not so.
    pub(crate) fn stand_in(self: &Rc<Self>, group: &Group, owners: &[Peer]) -> Option<Successor> {
        let now = Ms::now();
        let silent_for_ms = |p: &Peer| self.peers.reachability.silent_for_ms(p.addr, now);
        if !owners.iter().any(|p| silent_for_ms(p).is_some()) {
            return None;
        }
        // All that may be asked are checked meanwhile, so that the wait is not that for each in turn.
        self.check_unknown(owners);
        let silent_ms = owners.iter().map(silent_for_ms).min().flatten()?;
        let owner_set = self.owner_set(group);
        self.check_unknown(&owner_set.substitutes());
        if silent_ms < STAND_IN_DELAY_MS {
            return None;
        }
        Some(owner_set.first_successor(|p| silent_for_ms(p).is_some()))
    }

    /// Logs and counts that this daemon serves a session because no owner of its group answers.
    pub(crate) fn on_stood_in(&self, group: &Group) {
        self.stats.stood_in.inc();
        let is_new = !group.is_served();
        group.set_stand_in_until(Ms::now().plus(STAND_IN_MS));
        if is_new {
            let owners = self.owner_set(group).count;
            emit(
                Event::StandInBegun,
                &[("group", &group.name), ("owners", &owners)],
            );
        }
    }

    /// Whether this daemon, which is no owner of a group, stands in for them: nobody that ranks before it
    /// answers.
    pub(crate) async fn stands_in(self: &Rc<Self>, group: &Group) -> bool {
        let before = self.owner_set(group).before_this_daemon();
        let deadline = Ms::now().plus(MAX_CHECK_MS);
        self.check_unknown(&before);
        loop {
            let generation = self.peers.reachability.changed.generation();
            let now = Ms::now();
            let silent_for_ms = |p: &Peer| self.peers.reachability.silent_for_ms(p.addr, now);
            if before.iter().all(|p| silent_for_ms(p).is_some()) {
                return true;
            }
            let has_answered = |p: &Peer| self.peers.reachability.is_answering(p.addr, now);
            if deadline.left() == 0 || before.iter().any(has_answered) {
                return false;
            }
            let changed = self.peers.reachability.changed.wait_past(generation);
            let _ = monoio::time::timeout(Duration::from_millis(deadline.left()), changed).await;
        }
    }
}

/// Checks a daemon that does not answer until it does, or is listed no longer.
async fn check_until_answer(proxy: Rc<Proxy>, peer: Peer) {
    let reachability = &proxy.peers.reachability;
    loop {
        let Some(silent_ms) = reachability.silent_for_ms(peer.addr, Ms::now()) else {
            return;
        };
        sleep_ms(Reachability::check_interval_ms(silent_ms)).await;
        tunnel::is_reachable(&proxy, &peer).await;
    }
}
