//! Shared state of one daemon.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use base::{Ms, Signal, sleep_ms};

use crate::owner_set::{OwnerBasis, OwnerSet};
use crate::shutdown::Shutdown;
use crate::stop_notice::StopNotice;
use crate::stop_schedule::Phase;
use crate::{
    AccountKey, Accounts, Candidate, Codec, FailoverApi, Group, MemberRecord, Peer, Peers,
    Placement, Quota, QuotaApi, Route, Settings, Stats, tunnel,
};

/// A member whose group is in no configuration yet.
pub(crate) struct PendingMember {
    pub(crate) record: MemberRecord,
    /// Instant after which the record was written, if known.
    pub(crate) earliest: Option<Ms>,
}

/// One daemon.
pub struct Proxy {
    pub settings: Settings,
    /// Wire protocol of callers and members.
    pub codec: Codec,
    /// Calls by which primary changes are ordered.
    pub failover_api: FailoverApi,
    /// Version of the configuration in force; never decreases.
    pub config_version: Cell<u64>,
    /// Newest version that the store or another daemon has named. No older configuration comes into
    /// force, so that a daemon that starts does not bring back what a newer one has withdrawn.
    pub newest_heard: Cell<u64>,
    /// The configuration in force, as it is sent to other daemons; empty before the first one.
    pub(crate) config_bytes: RefCell<Rc<[u8]>>,
    /// Daemons to which the configuration is being pushed because they have named an older version.
    pub(crate) push_targets: RefCell<HashSet<SocketAddr>>,
    /// Whether another daemon is sending a configuration.
    pub(crate) is_receiving_config: Cell<bool>,
    /// Routes by database.
    pub routes: RefCell<HashMap<Box<str>, Rc<Route>>>,
    /// Groups by name.
    pub groups: RefCell<HashMap<Box<str>, Rc<Group>>>,
    /// Client accounts of the configuration in force.
    pub accounts: Rc<Accounts>,
    /// Rate limits of the client accounts.
    pub quota: Quota,
    /// Time after which an idle transaction is rolled back, in ms.
    pub tx_idle_ms: Cell<u64>,
    /// The other daemons.
    pub peers: Rc<Peers>,
    pub stats: Stats,
    /// Number of open sessions, from the arrival of the connection on, including those that this
    /// daemon has handed off.
    pub sessions: Cell<u64>,
    /// The planned stop of this daemon.
    pub(crate) shutdown: Shutdown,
    /// VMs that have announced that they are stopping. What they hand off later is of another process,
    /// or announced again.
    stopping_vms: RefCell<HashMap<Box<str>, StopNotice>>,
    /// Notified when sessions must check whether they are to end.
    pub stop_signal: Signal,
    /// Members whose group is in no configuration yet, by identifier.
    pub(crate) pending_members: RefCell<HashMap<Box<str>, PendingMember>>,
}

impl Proxy {
    /// Creates a daemon without configuration, members or peers.
    pub fn new(
        settings: Settings,
        codec: Codec,
        failover_api: FailoverApi,
        quota_api: QuotaApi,
    ) -> Rc<Proxy> {
        Rc::new(Proxy {
            quota: Quota::new(settings.quota, quota_api),
            settings,
            codec,
            failover_api,
            config_version: Cell::new(0),
            newest_heard: Cell::new(0),
            config_bytes: RefCell::new(Rc::default()),
            push_targets: RefCell::default(),
            is_receiving_config: Cell::new(false),
            routes: RefCell::default(),
            groups: RefCell::default(),
            accounts: Rc::default(),
            tx_idle_ms: Cell::new(u64::MAX),
            peers: Rc::default(),
            stats: Stats::default(),
            sessions: Cell::new(0),
            shutdown: Shutdown::default(),
            stopping_vms: RefCell::default(),
            stop_signal: Signal::default(),
            pending_members: RefCell::default(),
        })
    }

    /// Adds a member, or updates its record, which was written after `earliest`; `None` if that is
    /// unknown.
    pub fn add_member(&self, record: &MemberRecord, earliest: impl Into<Option<Ms>>) {
        let earliest = earliest.into();
        let group = self.groups.borrow().get(&record.group).cloned();
        match group {
            Some(group) => group.update_member(&record.id, Some(record), earliest),
            None => {
                self.pending_members.borrow_mut().insert(
                    record.id.clone(),
                    PendingMember {
                        record: record.clone(),
                        earliest,
                    },
                );
            }
        }
    }

    /// Removes a member that the platform no longer lists.
    pub fn remove_member(&self, id: &str) {
        self.pending_members.borrow_mut().remove(id);
        for group in self.groups.borrow().values() {
            group.update_member(id, None, Ms::now());
        }
    }

    /// Identifiers of members that are on record and that this daemon does not know.
    pub fn unknown_on_record(&self) -> Vec<Box<str>> {
        let groups = self.groups.borrow();
        groups
            .values()
            .flat_map(|g| g.unknown_on_record())
            .collect()
    }

    /// Whether this daemon can serve callers: a configuration is in force, the other daemons are
    /// known, the primaries of at least three quarters of the served groups are usable or expected
    /// to be soon, and the VM is not isolated.
    pub fn is_ready(&self) -> bool {
        let groups = self.groups.borrow();
        let served: Vec<_> = groups.values().filter(|g| g.is_served()).collect();
        let usable = served
            .iter()
            .filter(|g| !g.is_primary_unavailable())
            .count();
        let known = self.config_version.get() > 0 && self.peers.is_known();
        known && usable * 4 >= served.len() * 3 && !self.is_isolated()
    }

    /// Whether more than half of the listed members of all served groups are unreachable from this
    /// VM.
    pub fn is_isolated(&self) -> bool {
        let (all, unreachable) = self.count_unreachable();
        unreachable * 2 > all
    }

    /// Number of listed members of all served groups, and how many of them are unreachable from
    /// this VM.
    pub fn count_unreachable(&self) -> (usize, usize) {
        let groups = self.groups.borrow();
        let sums = groups
            .values()
            .filter(|g| g.is_served())
            .map(|g| g.count_unreachable());
        sums.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }

    /// Whether other daemons may tunnel to an address: it is that of a listed member from which
    /// this VM has received input lately.
    pub fn may_tunnel_to(&self, addr: SocketAddr) -> bool {
        let groups = self.groups.borrow();
        let mut members = groups.values().flat_map(|g| g.listed());
        members.any(|m| m.addr == addr && m.last_heard.get().elapsed() <= MAX_TUNNEL_SILENCE_MS)
    }

    /// Whether the daemon has been told to stop; it takes no session from other daemons any more.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.phase() > Phase::Serving
    }

    /// Ends all sessions once they are between transactions, including those handed off to other
    /// daemons; releases the locks of the rate limits.
    pub fn drain_sessions(&self) {
        self.enter_phase(Phase::Draining);
    }

    /// Ends all sessions, even inside transactions, as soon as no answer is outstanding.
    pub fn end_sessions(&self) {
        self.enter_phase(Phase::Ending);
    }

    /// Goes on to a phase of the stop, unless it has been reached.
    pub(crate) fn enter_phase(&self, phase: Phase) {
        let before = self.shutdown.advance(phase);
        if phase <= before || phase < Phase::Draining {
            return;
        }
        self.stop_signal.notify();
        if before < Phase::Draining {
            self.quota.stop();
            // Only these serve sessions of this daemon; a session handed off later announces the
            // stop itself.
            let (targets, answer_by) = (self.peers.hand_off_targets(), self.shutdown.answer_by());
            tunnel::announce_stop(targets, &self.settings.name, answer_by);
        }
    }

    /// Ends the sessions that a VM has handed off, once they are between transactions. It can pass on
    /// answers for `answer_within_ms` more, if it has told that.
    pub(crate) fn drain_sessions_from(&self, vm: &str, answer_within_ms: Option<u64>) {
        let mut stopping_vms = self.stopping_vms.borrow_mut();
        stopping_vms.retain(|_, notice| notice.at.elapsed() <= STOP_NOTICE_TTL_MS);
        stopping_vms.insert(vm.into(), StopNotice::new(answer_within_ms));
        self.stop_signal.notify();
    }

    /// Whether a session that was opened at `opened_at` ends once it is between transactions; `origin`
    /// is the VM that has handed it off, if any.
    pub(crate) fn is_draining(&self, origin: Option<&str>, opened_at: Ms) -> bool {
        self.shutdown.phase() >= Phase::Draining || self.stop_notice(origin, opened_at).is_some()
    }

    /// When the statements of a session must be answered at the latest, if this daemon or the `origin` of
    /// the session stops.
    pub(crate) fn answer_by(&self, origin: Option<&str>, opened_at: Ms) -> Option<Ms> {
        let notice = self.stop_notice(origin, opened_at);
        let at_origin = notice.and_then(|notice| notice.answer_by);
        [self.shutdown.answer_by(), at_origin]
            .into_iter()
            .flatten()
            .min()
    }

    /// The announcement that the VM which has handed a session off stops, made since `opened_at`.
    fn stop_notice(&self, origin: Option<&str>, opened_at: Ms) -> Option<StopNotice> {
        let notice = self.stopping_vms.borrow().get(origin?).copied();
        notice.filter(|notice| notice.at >= opened_at)
    }

    /// The owners of a group that may serve a session before this daemon does, in the order in which
    /// they are tried; `None` if this daemon serves it.
    ///
    /// Where client accounts are in force, the order is the account's. Otherwise, and for sessions
    /// without an account, it is random, with those in this daemon's data centre first, and an owner
    /// serves the sessions that it accepts.
    pub fn remote_owners(&self, group: &Group, account: Option<AccountKey>) -> Option<Vec<Peer>> {
        let owners = self.owner_set(group);
        match account.filter(|_| self.accounts.in_force()) {
            Some(account) => owners.remote_before(&group.name, &self.accounts.name(account)),
            None => owners.any_remote(&self.settings.data_center),
        }
    }

    /// The owners of a group but for this daemon.
    pub(crate) fn other_owners(&self, group: &Group) -> Vec<Peer> {
        self.owner_set(group).others()
    }

    /// The owners of a group, computed again if the list of daemons or the configuration has changed.
    pub(crate) fn owner_set(&self, group: &Group) -> Rc<OwnerSet> {
        let basis = OwnerBasis {
            peers: self.peers.generation(),
            conns: group.rule.borrow().conns,
            placement: if self.accounts.in_force() {
                Placement::ByAccount
            } else {
                Placement::AnyOwner
            },
        };
        let known = group.owner_set.borrow().clone();
        if let Some(known) = known.filter(|known| known.basis == basis) {
            return known;
        }
        let this_daemon = Candidate {
            name: &self.settings.name,
            data_center: &self.settings.data_center,
        };
        let peers = self.peers.list();
        let owners = Rc::new(OwnerSet::new(&group.name, basis, &this_daemon, &peers));
        group.owner_set.replace(Some(owners.clone()));
        owners
    }

    /// Updates which groups this daemon owns; does nothing before the other daemons are known.
    pub fn update_ownership(&self) {
        if !self.peers.is_known() {
            return;
        }
        for group in self.groups.borrow().values() {
            let is_owner = self.owner_set(group).is_owner();
            if is_owner {
                group.begin_service();
            }
            group.is_owner.set(is_owner);
        }
    }

    /// The route of a database, and its group.
    pub fn route(&self, database: &str) -> Option<(Rc<Route>, Rc<Group>)> {
        let route = self.routes.borrow().get(database).cloned()?;
        let group = self.groups.borrow().get(&route.group).cloned()?;
        Some((route, group))
    }

    /// Waits until a configuration is in force, `until` has passed or a stop requires the last answers;
    /// returns whether one is in force.
    pub async fn wait_for_config(&self, until: Ms) -> bool {
        let is_over = || until.left() == 0 || self.shutdown.is_answering();
        while self.config_version.get() == 0 && !is_over() {
            sleep_ms(STARTUP_POLL_INTERVAL_MS).await;
        }
        self.config_version.get() > 0
    }

    /// Waits until the list of other daemons is known, `until` has passed or a stop requires the last
    /// answers.
    pub async fn wait_for_peers(&self, until: Ms) {
        let is_over = || until.left() == 0 || self.shutdown.is_answering();
        while !self.peers.is_known() && !is_over() {
            sleep_ms(STARTUP_POLL_INTERVAL_MS).await;
        }
    }
}

/// Time for which the announcement of a stopping VM is kept, in ms; the longest grace period, so that it
/// outlasts the process that announced it.
const STOP_NOTICE_TTL_MS: u64 = 600_000;
/// Time without input from a member after which no tunnel to it is accepted, in ms. The members of
/// served groups are probed more often than that.
const MAX_TUNNEL_SILENCE_MS: u64 = 800;
/// Interval between two checks for the first configuration and the first list of peers, in ms.
const STARTUP_POLL_INTERVAL_MS: u64 = 20;
