//! What the parts of a daemon share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::Signal;
use fleet::{Holdings, Roster, Store};
use group::Shape;
use peer::Client;
use schema::Settings;

use crate::cluster::GroupState;
use crate::frontend::Sessions;
use crate::stats::Stats;
use crate::upstream::{Cancels, Leases};

/// One daemon.
pub struct Daemon {
    /// Settings, checked before anything was opened.
    pub settings: Settings,
    /// The VMs known.
    pub roster: Roster,
    /// Configuration in force.
    pub holdings: Holdings,
    /// Groups in force, by qualified name.
    pub groups: RefCell<HashMap<Box<str>, Rc<GroupState>>>,
    /// Connections to other daemons.
    pub peers: Rc<Client>,
    /// The platform.
    pub store: Store,
    /// How members are controlled.
    pub shape: Shape,
    /// Open transactions on connections of this daemon.
    pub leases: Leases,
    /// Batches that run on upstreams now, for cancelling.
    pub cancels: Cancels,
    /// Callers' sessions.
    pub sessions: Sessions,
    /// Counts for reports.
    pub stats: Stats,
    /// Set once the balancer has had its time to notice a stop; sessions end after an answer.
    pub closing: Cell<bool>,
    /// Set when idle sessions have to end as well.
    pub ending: Cell<bool>,
    /// Notified when `ending` is set.
    pub stop: Signal,
    /// Batches that this daemon runs as a home now.
    pub running: Cell<u64>,
    next_id: Cell<u64>,
}

impl Daemon {
    /// Puts the parts together; nothing is opened yet.
    pub fn new(settings: Settings) -> Result<Daemon, String> {
        let peers = Rc::new(Client::new(&settings.secret, settings.timing.connect_ms));
        let platform = settings
            .platform
            .parse()
            .map_err(|e| format!("platform: {e}"))?;
        Ok(Daemon {
            roster: Roster::new(&settings),
            holdings: Holdings::default(),
            groups: RefCell::default(),
            store: Store::new(peers.clone(), platform),
            peers,
            shape: group::sql_functions(),
            leases: Leases::default(),
            cancels: Cancels::default(),
            sessions: Sessions::default(),
            stats: Stats::new(settings.statsd.as_deref()),
            closing: Cell::new(false),
            ending: Cell::new(false),
            stop: Signal::default(),
            running: Cell::new(0),
            next_id: Cell::new(fastrand::u64(1..u64::MAX / 2)),
            settings,
        })
    }

    /// A number that no other request of this daemon has.
    pub fn fresh_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// The group of a qualified name.
    pub fn group(&self, name: &str) -> Option<Rc<GroupState>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Whether the daemon takes new callers.
    pub fn is_ready(&self) -> bool {
        !self.roster.stopping.get()
            && self
                .holdings
                .versions()
                .iter()
                .any(|k| !k.name.starts_with('@'))
    }
}
