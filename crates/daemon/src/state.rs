//! What the parts of a daemon share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::Signal;
use fleet::{ConfigStore, Membership, PlatformStore};
use group::MemberControl;
use peer::Client;
use schema::Settings;

use crate::cluster::GroupState;
use crate::frontend::Sessions;
use crate::stats::Stats;
use crate::upstream::{CancelRegistry, PinnedConns};

/// One daemon.
pub struct Daemon {
    /// Settings, checked before anything was opened.
    pub settings: Settings,
    /// The VMs known.
    pub membership: Membership,
    /// Configuration in force.
    pub config_store: ConfigStore,
    /// Groups in force, by qualified name.
    pub groups: RefCell<HashMap<Box<str>, Rc<GroupState>>>,
    /// Connections to other daemons.
    pub peers: Rc<Client>,
    /// The platform.
    pub platform: PlatformStore,
    /// How members are controlled.
    pub member_control: MemberControl,
    /// Open transactions on connections of this daemon.
    pub pinned: PinnedConns,
    /// Batches that run on upstreams now, for cancelling.
    pub cancels: CancelRegistry,
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
    /// Batches that this daemon runs as an owner now.
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
            membership: Membership::new(&settings),
            config_store: ConfigStore::default(),
            groups: RefCell::default(),
            platform: PlatformStore::new(peers.clone(), platform),
            peers,
            member_control: group::sql_functions(),
            pinned: PinnedConns::default(),
            cancels: CancelRegistry::default(),
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
    pub fn new_request_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// The group of a qualified name.
    pub fn group(&self, name: &str) -> Option<Rc<GroupState>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Whether the daemon takes new callers.
    pub fn is_ready(&self) -> bool {
        !self.membership.stopping.get()
            && self
                .config_store
                .versions()
                .iter()
                .any(|k| !k.name.starts_with('@'))
    }
}
