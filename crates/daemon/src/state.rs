//! State shared by the modules of a daemon.

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

/// State of a daemon.
pub struct Daemon {
    /// Validated settings.
    pub settings: Settings,
    /// Known VMs and daemons.
    pub membership: Membership,
    /// Configuration in force.
    pub config_store: ConfigStore,
    /// Configured groups, by qualified name.
    pub groups: RefCell<HashMap<Box<str>, Rc<GroupState>>>,
    /// Connections to other daemons.
    pub peers: Rc<Client>,
    pub platform: PlatformStore,
    /// Control statements of members.
    pub member_control: MemberControl,
    /// Open transactions on this daemon's connections to members.
    pub pinned: PinnedConns,
    /// Requests in progress, for cancellation.
    pub cancels: CancelRegistry,
    /// Sessions of callers.
    pub sessions: Sessions,
    /// Counts for reports and metrics.
    pub stats: Stats,
    /// Set during shutdown, once load balancers have had time to notice: new sessions are refused,
    /// and open ones are closed after their next answer outside a transaction.
    pub close_after_answer: Cell<bool>,
    /// Set later during shutdown: idle sessions are closed without waiting for a request.
    pub close_when_idle: Cell<bool>,
    /// Notified when `close_when_idle` is set.
    pub shutdown_signal: Signal,
    /// Number of batches that this daemon is running as an owner.
    pub running_batches: Cell<u64>,
    next_id: Cell<u64>,
}

impl Daemon {
    /// Creates the state without opening connections or listeners.
    ///
    /// # Errors
    /// Names the setting that is invalid.
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
            close_after_answer: Cell::new(false),
            close_when_idle: Cell::new(false),
            shutdown_signal: Signal::default(),
            running_batches: Cell::new(0),
            next_id: Cell::new(fastrand::u64(1..u64::MAX / 2)),
            settings,
        })
    }

    /// Returns an id that no other request of this daemon has; ids of different daemons start at
    /// random values.
    pub fn new_request_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// Looks up a group by its qualified name.
    pub fn group(&self, name: &str) -> Option<Rc<GroupState>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Whether the daemon accepts callers: it has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.membership.stopping.get()
            && self
                .config_store
                .versions()
                .iter()
                .any(|k| !k.name.starts_with('@'))
    }
}
