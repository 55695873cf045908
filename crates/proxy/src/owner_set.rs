//! The owners of one group, kept until the list of daemons or the configuration changes.

use crate::{Candidate, Peer, Placement, Ranking, rank_owners};

/// Weight of every owner. Larger VMs do not get more accounts yet.
const WEIGHT: f64 = 1.0;

/// What the owners of a group are computed from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OwnerBasis {
    /// `Peers::generation`.
    pub(crate) peers: u64,
    /// Connections that a member of the group accepts.
    pub(crate) conns: u64,
    pub(crate) placement: Placement,
}

/// The daemon that stands in for the owners of a group.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Successor {
    ThisDaemon,
    Other(Peer),
}

/// An owner of a group, or a daemon that may stand in for one.
struct Owner {
    name: Box<str>,
    /// `None` for this daemon.
    peer: Option<Peer>,
}

/// The owners of one group.
pub(crate) struct OwnerSet {
    pub(crate) basis: OwnerBasis,
    /// `None` when every daemon serves the group.
    owners: Option<Vec<Owner>>,
    /// Those that may stand in for the owners, by their rank.
    substitutes: Vec<Owner>,
    /// Number of daemons that serve the group.
    pub(crate) count: u64,
}

impl OwnerSet {
    /// Computes the owners of a group; `this_daemon` is not among `peers`.
    pub(crate) fn new(
        group: &str,
        basis: OwnerBasis,
        this_daemon: &Candidate<'_>,
        peers: &[Peer],
    ) -> OwnerSet {
        let others = peers.iter().map(|p| Candidate {
            name: &p.name,
            data_center: &p.data_center,
        });
        let fleet: Vec<Candidate> = others.chain([this_daemon.clone()]).collect();
        let to_owner = |c: Candidate| Owner {
            name: c.name.into(),
            peer: peers.iter().find(|p| *p.name == *c.name).cloned(),
        };
        let to_owners = |selected: Vec<Candidate>| selected.into_iter().map(to_owner).collect();
        let ranking = Ranking::new(group, basis.conns, basis.placement, &fleet);
        let (owners, substitutes): (Option<Vec<Owner>>, Vec<Owner>) = match ranking {
            Some(ranking) => (
                Some(to_owners(ranking.owners)),
                to_owners(ranking.substitutes),
            ),
            None => (None, Vec::new()),
        };
        let count = owners.as_ref().map_or(fleet.len(), Vec::len);
        OwnerSet {
            basis,
            owners,
            substitutes,
            count: u64::try_from(count).unwrap_or(u64::MAX),
        }
    }

    /// Whether this daemon is an owner.
    pub(crate) fn is_owner(&self) -> bool {
        let owners = self.owners.as_ref();
        owners.is_none_or(|owners| owners.iter().any(|o| o.peer.is_none()))
    }

    /// The owners but for this daemon; none when every daemon serves the group.
    pub(crate) fn others(&self) -> Vec<Peer> {
        let owners = self.owners.iter().flatten();
        owners.filter_map(|o| o.peer.clone()).collect()
    }

    /// The daemons that may stand in for the owners, but for this one.
    pub(crate) fn substitutes(&self) -> Vec<Peer> {
        let others = self.substitutes.iter().filter_map(|s| s.peer.clone());
        others.collect()
    }

    /// The first daemon behind the owners that is not silent; this one if there is none.
    pub(crate) fn first_successor(&self, is_silent: impl Fn(&Peer) -> bool) -> Successor {
        let is_usable = |s: &&Owner| s.peer.as_ref().is_none_or(|p| !is_silent(p));
        let first = self.substitutes.iter().find(is_usable);
        match first.and_then(|s| s.peer.clone()) {
            Some(peer) => Successor::Other(peer),
            None => Successor::ThisDaemon,
        }
    }

    /// The owners and the daemons behind them that rank before this one.
    pub(crate) fn before_this_daemon(&self) -> Vec<Peer> {
        let owners = self.owners.iter().flatten();
        let ranked = owners.chain(&self.substitutes);
        ranked.map_while(|o| o.peer.clone()).collect()
    }

    /// The owners in random order, those in a data centre first; `None` if this daemon is one.
    pub(crate) fn any_remote(&self, data_center: &str) -> Option<Vec<Peer>> {
        if self.is_owner() {
            return None;
        }
        let mut remote = self.others();
        fastrand::shuffle(&mut remote);
        remote.sort_by_key(|p| *p.data_center != *data_center);
        Some(remote)
    }

    /// The owners that rank before this daemon for an account, the first one first; `None` if there
    /// are none. If this daemon is no owner, they are all owners.
    pub(crate) fn remote_before(&self, group: &str, account: &str) -> Option<Vec<Peer>> {
        let owners = self.owners.as_ref()?;
        let names: Vec<(&str, f64)> = owners.iter().map(|o| (&*o.name, WEIGHT)).collect();
        let ranked = rank_owners(group, account, &names);
        let before = ranked.into_iter().map_while(|i| owners[i].peer.clone());
        let before: Vec<Peer> = before.collect();
        (!before.is_empty()).then_some(before)
    }
}
