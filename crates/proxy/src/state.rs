//! Shared state of one daemon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use base::{Event, Ms, Signal, emit};

use schema::Pos;

use crate::exec::{StatementContext, StatementTask};
use crate::stats::StatementLabels;
use crate::tunnel::{self, Peer, Peers};
use crate::{
    Candidate, Codec, Config, ErrorKind, Group, MemberRecord, Outcome, Reply, Route, Stats,
    config_push, failover, health_check, owners,
};

/// Number that grows with every claim to change the primary of a group.
pub type FencingToken = u64;
/// Boxed future of the answer to an asynchronous call.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Asynchronous call to something outside this crate.
pub type AsyncCall<Q, A> = Box<dyn Fn(Q) -> BoxFuture<A>>;

/// Order to promote a member.
pub struct Promotion {
    pub group: Box<str>,
    pub member: Box<str>,
    /// Fencing token of the claim under which the promotion is ordered.
    pub token: FencingToken,
}

/// What the holders of a group's claim leave for each other when a change fails.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeRecord {
    /// Identifiers of members that have left and may have taken acknowledged commits along.
    pub departed: Vec<Box<str>>,
    /// The last primary, if it was seen demoted.
    pub last_primary: Option<LastPrimary>,
}

/// A demoted primary, whose log contains every commit that was confirmed to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LastPrimary {
    pub id: Box<str>,
    /// End of its log when it was seen demoted.
    pub pos: Pos,
}

/// The right to change the primary of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    pub token: FencingToken,
    /// As the former holder of the claim has left it.
    pub record: ChangeRecord,
}

/// The end of a claim.
pub struct Release {
    pub group: Box<str>,
    /// What the next holder finds in `Claim::record`.
    pub record: ChangeRecord,
}

/// Calls by which a primary change is claimed and ordered.
pub struct FailoverApi {
    /// Claims the right to change the primary of a group; `None` when another daemon holds it, or
    /// the claim failed.
    pub claim: AsyncCall<Box<str>, Option<Claim>>,
    /// Releases the claim on a group after a primary change.
    pub release: AsyncCall<Release, ()>,
    /// Orders a promotion; false if it was certainly not accepted.
    pub promote: AsyncCall<Promotion, bool>,
    /// Reads the members of a group that the platform lists at the time of the call; `None` when
    /// they cannot be read.
    pub list_members: AsyncCall<Box<str>, Option<Vec<MemberRecord>>>,
}

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of its VM.
    pub name: Box<str>,
    /// Data centre of its VM.
    pub data_center: Box<str>,
    /// Number of open sessions beyond which this daemon refuses to serve a further one.
    pub max_callers: u64,
    /// Time for which a member takes new statements after it has announced that it leaves, in ms.
    pub drain_ms: u64,
    /// Longest time from when a member joins its group until the platform lists it, in ms.
    pub listing_delay_ms: u64,
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
    /// Routes by database.
    pub routes: RefCell<HashMap<Box<str>, Rc<Route>>>,
    /// Groups by name.
    pub groups: RefCell<HashMap<Box<str>, Rc<Group>>>,
    /// Time after which an idle transaction is rolled back, in ms.
    pub tx_idle_ms: Cell<u64>,
    /// The other daemons.
    pub peers: Rc<Peers>,
    pub stats: Stats,
    /// Number of open sessions, from the arrival of the connection on, including those that this
    /// daemon has handed off.
    pub sessions: Cell<u64>,
    /// Whether all sessions end as soon as they are between transactions.
    pub draining: Cell<bool>,
    /// Whether all sessions end even inside transactions, unless an answer is outstanding.
    pub force_end: Cell<bool>,
    /// VMs that have announced that they are stopping, and when.
    stopping_vms: RefCell<HashMap<Box<str>, Ms>>,
    /// Notified when sessions must check whether they are to end.
    pub stop_signal: Signal,
    /// Records of members whose group is in no configuration yet, and the instant after which each
    /// was written, by member identifier.
    pending_members: RefCell<HashMap<Box<str>, (MemberRecord, Ms)>>,
}

impl Proxy {
    /// Creates a daemon without configuration, members or peers.
    pub fn new(settings: Settings, codec: Codec, failover_api: FailoverApi) -> Rc<Proxy> {
        Rc::new(Proxy {
            settings,
            codec,
            failover_api,
            config_version: Cell::new(0),
            routes: RefCell::default(),
            groups: RefCell::default(),
            tx_idle_ms: Cell::new(u64::MAX),
            peers: Rc::default(),
            stats: Stats::default(),
            sessions: Cell::new(0),
            draining: Cell::new(false),
            force_end: Cell::new(false),
            stopping_vms: RefCell::default(),
            stop_signal: Signal::default(),
            pending_members: RefCell::default(),
        })
    }

    /// Puts a configuration in force, unless this version or a newer one already is.
    pub fn configure(self: &Rc<Self>, config: Config) {
        if config.version <= self.config_version.get() {
            return;
        }
        for rule in &config.groups {
            self.add_group(rule);
        }
        config_push::push_to_peers(self, &config);
        let routes: HashMap<_, _> = config
            .routes
            .into_iter()
            .map(|r| (r.database.clone(), Rc::new(r)))
            .collect();
        emit(
            Event::GatewayConfigInForce,
            &[
                ("version", &config.version),
                ("before", &self.config_version.get()),
                ("routes", &routes.len()),
            ],
        );
        self.routes.replace(routes);
        self.update_ownership();
        self.tx_idle_ms.set(config.tx_idle);
        self.config_version.set(config.version);
    }

    fn add_group(self: &Rc<Self>, rule: &crate::GroupRule) {
        let known = self.groups.borrow().get(&rule.name).cloned();
        if let Some(group) = known {
            group.rule.replace(rule.clone());
            return;
        }
        let group = Group::new(rule.clone(), &self.settings, self.codec, &self.peers);
        self.groups
            .borrow_mut()
            .insert(rule.name.clone(), group.clone());
        let mut pending = self.pending_members.borrow_mut();
        for (record, earliest) in pending.values().filter(|(r, _)| r.group == rule.name) {
            group.update_member(&record.id, Some(record), *earliest);
        }
        pending.retain(|_, (r, _)| r.group != rule.name);
        monoio::spawn(health_check::run(group.clone()));
        monoio::spawn(failover::run(self.clone(), group));
    }

    /// Adds a member, or updates its record, which was written after `earliest`.
    pub fn add_member(&self, record: &MemberRecord, earliest: Ms) {
        let group = self.groups.borrow().get(&record.group).cloned();
        match group {
            Some(group) => group.update_member(&record.id, Some(record), earliest),
            None => {
                self.pending_members
                    .borrow_mut()
                    .insert(record.id.clone(), (record.clone(), earliest));
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

    /// Logs the outcome of a statement and updates the metrics.
    pub(crate) fn record_outcome(
        &self,
        cx: &StatementContext,
        task: &StatementTask,
        reply: &Reply,
    ) {
        let took = task.arrival.elapsed();
        let outcome = match reply.error_kind() {
            None => Outcome::Served,
            Some(ErrorKind::InDoubt) => Outcome::InDoubt,
            Some(kind) if kind.is_not_run() || kind == ErrorKind::Aborted => Outcome::NotRun,
            Some(_) => Outcome::Failed,
        };
        let labels = StatementLabels {
            group: cx.group.name.to_string(),
            outcome,
            write: if task.write { "true" } else { "false" },
        };
        self.stats.statements.get_or_create(&labels).inc();
        self.stats.latency.observe(histogram_sample(took));
        self.stats.wait.observe(histogram_sample(cx.wait_ms.get()));
        self.stats.retries.inc_by(cx.retries.get());
        let labels = cx.read_labels.borrow();
        if let Some(labels) = labels.as_ref()
            && outcome == Outcome::Served
            && !task.write
        {
            self.stats.reads.get_or_create(labels).inc();
        }
        emit(
            if outcome == Outcome::Served {
                Event::StatementServed
            } else {
                Event::StatementNotServed
            },
            &[
                ("id", &task.statement.id),
                ("database", &cx.route.database),
                ("outcome", &format!("{outcome:?}")),
                (
                    "kind",
                    &reply
                        .error_kind()
                        .map_or(String::new(), |k| format!("{k:?}")),
                ),
                ("member", &cx.member.borrow()),
                ("pos", &reply.pos.unwrap_or(Pos::ZERO)),
                ("config", &self.config_version.get()),
                ("waited_ms", &cx.wait_ms.get()),
                ("took_ms", &took),
            ],
        );
    }

    /// Whether other daemons may tunnel to an address: it is that of a listed member from which
    /// this VM has received input lately.
    pub fn may_tunnel_to(&self, addr: SocketAddr) -> bool {
        let groups = self.groups.borrow();
        let mut members = groups.values().flat_map(|g| g.listed());
        members.any(|m| m.addr == addr && m.last_heard.get().elapsed() <= MAX_TUNNEL_SILENCE_MS)
    }

    /// Ends all sessions once they are between transactions, including those handed off to other
    /// daemons.
    pub fn drain_sessions(&self) {
        self.draining.set(true);
        self.stop_signal.notify();
        tunnel::announce_stop(self.peers.all(), &self.settings.name);
    }

    /// Ends all sessions, even inside transactions, as soon as no answer is outstanding.
    pub fn end_sessions(&self) {
        self.force_end.set(true);
        self.stop_signal.notify();
    }

    /// Ends the sessions that a VM has handed off, once they are between transactions.
    pub(crate) fn drain_sessions_from(&self, vm: &str) {
        self.stopping_vms.borrow_mut().insert(vm.into(), Ms::now());
        self.stop_signal.notify();
    }

    /// Whether a session ends once it is between transactions; `origin` is the VM that has handed
    /// it off, if any.
    pub(crate) fn is_draining(&self, origin: Option<&str>) -> bool {
        let stopping_vms = self.stopping_vms.borrow();
        let recent = |vm| {
            stopping_vms
                .get(vm)
                .is_some_and(|at: &Ms| at.elapsed() <= STOP_NOTICE_TTL_MS)
        };
        self.draining.get() || origin.is_some_and(recent)
    }

    /// The owners of a group in random order, those in this daemon's data centre first; `None` if
    /// this daemon is an owner, as every daemon of a small fleet is.
    pub fn remote_owners(&self, group: &Group) -> Option<Vec<Peer>> {
        let peers = self.peers.all();
        let this_daemon = Candidate {
            name: &self.settings.name,
            data_center: &self.settings.data_center,
        };
        let others = peers.iter().map(|p| Candidate {
            name: &p.name,
            data_center: &p.data_center,
        });
        let fleet: Vec<Candidate> = others.chain([this_daemon.clone()]).collect();
        let conns = group.rule.borrow().conns;
        let selected = owners(&group.name, conns, &fleet)?;
        if selected.contains(&this_daemon) {
            return None;
        }
        let mut remote: Vec<Peer> = peers
            .iter()
            .filter(|p| selected.iter().any(|c| *c.name == *p.name))
            .cloned()
            .collect();
        fastrand::shuffle(&mut remote);
        remote.sort_by_key(|p| p.data_center != self.settings.data_center);
        Some(remote)
    }

    /// Updates which groups this daemon owns; does nothing before the other daemons are known.
    pub fn update_ownership(&self) {
        if !self.peers.is_known() {
            return;
        }
        for group in self.groups.borrow().values() {
            group.is_owner.set(self.remote_owners(group).is_none());
        }
    }

    /// The route of a database, and its group.
    pub fn route(&self, database: &str) -> Option<(Rc<Route>, Rc<Group>)> {
        let route = self.routes.borrow().get(database).cloned()?;
        let group = self.groups.borrow().get(&route.group).cloned()?;
        Some((route, group))
    }

    /// Waits until a configuration is in force or `until` has passed; returns whether one is in
    /// force.
    pub async fn wait_for_config(&self, until: Ms) -> bool {
        while self.config_version.get() == 0 && until.left() > 0 {
            sleep_ms(STARTUP_POLL_INTERVAL_MS).await;
        }
        self.config_version.get() > 0
    }

    /// Waits until the list of other daemons is known or `until` has passed.
    pub async fn wait_for_peers(&self, until: Ms) {
        while !self.peers.is_known() && until.left() > 0 {
            sleep_ms(STARTUP_POLL_INTERVAL_MS).await;
        }
    }
}

/// Time for which the announcement of a stopping VM has effect, in ms; longer than any grace
/// period, so that it outlasts the process that announced it.
const STOP_NOTICE_TTL_MS: u64 = 8000;
/// Time without input from a member after which no tunnel to it is accepted, in ms. The members of
/// served groups are probed more often than that.
const MAX_TUNNEL_SILENCE_MS: u64 = 800;
/// Interval between two checks for the first configuration and the first list of peers, in ms.
const STARTUP_POLL_INTERVAL_MS: u64 = 20;

fn histogram_sample(ms: u64) -> f64 {
    f64::from(u32::try_from(ms).unwrap_or(u32::MAX))
}

pub(crate) async fn sleep_ms(ms: u64) {
    monoio::time::sleep(std::time::Duration::from_millis(ms)).await;
}
