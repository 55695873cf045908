//! What one daemon holds.

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

/// A number that grows whenever the right to order changes of primary passes on.
pub type FencingToken = u64;
/// An answer that is waited for.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A call to something outside this crate.
pub type AsyncCall<Q, A> = Box<dyn Fn(Q) -> BoxFuture<A>>;

/// The promotion of a member.
pub struct Promotion {
    /// Its group.
    pub group: Box<str>,
    /// The member.
    pub member: Box<str>,
    /// The right under which it is ordered.
    pub token: FencingToken,
}

/// Calls by which a change of primary is ordered.
pub struct FailoverApi {
    /// Takes the right to change the primary of a group; `None` when another daemon holds it.
    pub claim: AsyncCall<Box<str>, Option<FencingToken>>,
    /// Says that a change of a group is over.
    pub release: AsyncCall<Box<str>, ()>,
    /// Orders a promotion; false when it was refused.
    pub promote: AsyncCall<Promotion, bool>,
}

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of its VM.
    pub name: Box<str>,
    /// Its data centre.
    pub data_center: Box<str>,
    /// Caller connections at once.
    pub callers: u64,
}

/// One daemon.
pub struct Proxy {
    /// Its settings.
    pub settings: Settings,
    /// The protocol of callers and members.
    pub codec: Codec,
    /// How changes of primary are ordered.
    pub failover_api: FailoverApi,
    /// Version of the configuration in force; it never falls.
    pub version: Cell<u64>,
    /// Rules by database.
    pub routes: RefCell<HashMap<Box<str>, Rc<Route>>>,
    /// Groups by name.
    pub groups: RefCell<HashMap<Box<str>, Rc<Group>>>,
    /// Time after which an idle transaction is ended, in ms.
    pub tx_idle_ms: Cell<u64>,
    /// The other daemons.
    pub peers: Rc<Peers>,
    /// What is counted and measured.
    pub stats: Stats,
    /// Open sessions.
    pub sessions: Cell<u64>,
    /// Whether sessions end at their next boundary.
    pub closing: Cell<bool>,
    /// Whether sessions end at once, unless an answer is due.
    pub ending: Cell<bool>,
    /// VMs that said that they stop, and when.
    stopped: RefCell<HashMap<Box<str>, Ms>>,
    /// Notified when `closing` is set.
    pub stop: Signal,
    /// Entries of groups that no configuration names yet.
    pending_members: RefCell<HashMap<Box<str>, MemberRecord>>,
}

impl Proxy {
    /// A daemon that knows nothing yet.
    pub fn new(settings: Settings, codec: Codec, orders: FailoverApi) -> Rc<Proxy> {
        Rc::new(Proxy {
            settings,
            codec,
            failover_api: orders,
            version: Cell::new(0),
            routes: RefCell::default(),
            groups: RefCell::default(),
            tx_idle_ms: Cell::new(u64::MAX),
            peers: Rc::default(),
            stats: Stats::default(),
            sessions: Cell::new(0),
            closing: Cell::new(false),
            ending: Cell::new(false),
            stopped: RefCell::default(),
            stop: Signal::default(),
            pending_members: RefCell::default(),
        })
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn configure(self: &Rc<Self>, config: Config) {
        if config.version <= self.version.get() {
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
                ("before", &self.version.get()),
                ("routes", &routes.len()),
            ],
        );
        self.routes.replace(routes);
        self.update_ownership();
        self.tx_idle_ms.set(config.tx_idle);
        self.version.set(config.version);
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
        let mut early = self.pending_members.borrow_mut();
        for entry in early.values().filter(|e| e.group == rule.name) {
            group.update_member(&entry.id, Some(entry));
        }
        early.retain(|_, e| e.group != rule.name);
        monoio::spawn(health_check::run(group.clone()));
        monoio::spawn(failover::run(self.clone(), group));
    }

    /// Takes over a member's entry.
    pub fn add_member(&self, entry: &MemberRecord) {
        let group = self.groups.borrow().get(&entry.group).cloned();
        match group {
            Some(group) => group.update_member(&entry.id, Some(entry)),
            None => {
                self.pending_members
                    .borrow_mut()
                    .insert(entry.id.clone(), entry.clone());
            }
        }
    }

    /// Takes over that the platform no longer lists a member.
    pub fn remove_member(&self, id: &str) {
        self.pending_members.borrow_mut().remove(id);
        for group in self.groups.borrow().values() {
            group.update_member(id, None);
        }
    }

    /// Whether callers are served well here: a configuration is in force, and the primaries of at
    /// least three quarters of the groups can be used, or will soon be.
    pub fn is_ready(&self) -> bool {
        let groups = self.groups.borrow();
        let served: Vec<_> = groups.values().filter(|g| g.is_served()).collect();
        let usable = served
            .iter()
            .filter(|g| !g.is_primary_unavailable())
            .count();
        let known = self.version.get() > 0 && self.peers.is_known();
        known && usable * 4 >= served.len() * 3 && !self.is_isolated()
    }

    /// Whether more than half of all members give no sign of life to this VM.
    pub fn is_isolated(&self) -> bool {
        let (all, silent) = self.count_silent();
        silent * 2 > all
    }

    /// Members of all groups, and how many of them give no sign of life to this VM.
    pub fn count_silent(&self) -> (usize, usize) {
        let groups = self.groups.borrow();
        let sums = groups
            .values()
            .filter(|g| g.is_served())
            .map(|g| g.count_silent());
        sums.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }

    /// Logs and counts the answer to a statement.
    pub(crate) fn record_outcome(
        &self,
        cx: &StatementContext,
        work: &StatementTask,
        reply: &Reply,
    ) {
        let took = work.arrival.elapsed();
        let outcome = match reply.error_kind() {
            None => Outcome::Served,
            Some(ErrorKind::InDoubt) => Outcome::InDoubt,
            Some(kind) if kind.is_not_run() || kind == ErrorKind::Aborted => Outcome::NotRun,
            Some(_) => Outcome::Failed,
        };
        let labels = StatementLabels {
            group: cx.group.name.to_string(),
            outcome,
            write: if work.write { "true" } else { "false" },
        };
        self.stats.statements.get_or_create(&labels).inc();
        self.stats.latency.observe(millis(took));
        self.stats.wait.observe(millis(cx.wait_ms.get()));
        self.stats.retries.inc_by(cx.retries.get());
        let place = cx.read_labels.borrow();
        if let Some(place) = place.as_ref()
            && outcome == Outcome::Served
            && !work.write
        {
            self.stats.reads.get_or_create(place).inc();
        }
        emit(
            if outcome == Outcome::Served {
                Event::StatementServed
            } else {
                Event::StatementNotServed
            },
            &[
                ("id", &work.statement.id),
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
                ("config", &self.version.get()),
                ("waited_ms", &cx.wait_ms.get()),
                ("took_ms", &took),
            ],
        );
    }

    /// Whether an address is that of a listed member which this VM hears.
    pub fn hears_member(&self, addr: SocketAddr) -> bool {
        let groups = self.groups.borrow();
        let mut members = groups.values().flat_map(|g| g.listed());
        members.any(|m| m.addr == addr && m.last_heard.get().elapsed() <= HEARD_MS)
    }

    /// Ends sessions at their next boundary, here and where they were handed to.
    pub fn drain_sessions(&self) {
        self.closing.set(true);
        self.stop.notify();
        tunnel::announce_stop(self.peers.all(), &self.settings.name);
    }

    /// Ends sessions that no answer is due to, also inside transactions.
    pub fn end_sessions(&self) {
        self.ending.set(true);
        self.stop.notify();
    }

    /// Ends the sessions that a VM has handed over, at their next boundary.
    pub(crate) fn stop_sessions_from(&self, vm: &str) {
        self.stopped.borrow_mut().insert(vm.into(), Ms::now());
        self.stop.notify();
    }

    /// Whether a session that came this way ends at its next boundary.
    pub(crate) fn is_closing(&self, origin: Option<&str>) -> bool {
        let stopped = self.stopped.borrow();
        let recent = |vm| {
            stopped
                .get(vm)
                .is_some_and(|at: &Ms| at.elapsed() <= STOP_MS)
        };
        self.closing.get() || origin.is_some_and(recent)
    }

    /// The other daemons that serve a group, nearest first; `None` when this one does.
    pub fn remote_owners(&self, group: &Group) -> Option<Vec<Peer>> {
        let peers = self.peers.all();
        let own = Candidate {
            name: &self.settings.name,
            data_center: &self.settings.data_center,
        };
        let others = peers.iter().map(|p| Candidate {
            name: &p.name,
            data_center: &p.data_center,
        });
        let fleet: Vec<Candidate> = others.chain([own.clone()]).collect();
        let conns = group.rule.borrow().conns;
        let chosen = owners(&group.name, conns, &fleet)?;
        if chosen.contains(&own) {
            return None;
        }
        let mut homes: Vec<Peer> = peers
            .iter()
            .filter(|p| chosen.iter().any(|c| *c.name == *p.name))
            .cloned()
            .collect();
        fastrand::shuffle(&mut homes);
        homes.sort_by_key(|p| p.data_center != self.settings.data_center);
        Some(homes)
    }

    /// Notes which groups this daemon serves.
    pub fn update_ownership(&self) {
        if !self.peers.is_known() {
            return;
        }
        for group in self.groups.borrow().values() {
            group.is_owner.set(self.remote_owners(group).is_none());
        }
    }

    /// The rule for a database, and its group.
    pub fn route(&self, database: &str) -> Option<(Rc<Route>, Rc<Group>)> {
        let route = self.routes.borrow().get(database).cloned()?;
        let group = self.groups.borrow().get(&route.group).cloned()?;
        Some((route, group))
    }

    /// Waits until a configuration is in force, or the time is over.
    pub async fn wait_for_config(&self, until: Ms) -> bool {
        while self.version.get() == 0 && until.left() > 0 {
            sleep_ms(CONFIG_LOOK_MS).await;
        }
        self.version.get() > 0
    }

    /// Waits until the other daemons are known, or the time is over.
    pub async fn wait_for_peers(&self, until: Ms) {
        while !self.peers.is_known() && until.left() > 0 {
            sleep_ms(CONFIG_LOOK_MS).await;
        }
    }
}

/// Time for which the word of a VM that stops counts, in ms; longer than any grace.
const STOP_MS: u64 = 8000;
/// Time since a member was heard after which no other daemon is passed on to it, in ms. Each member
/// is asked more often than that.
const HEARD_MS: u64 = 800;
/// Period of looks for the first configuration, in ms.
const CONFIG_LOOK_MS: u64 = 20;

/// A time as a sample of a histogram.
fn millis(ms: u64) -> f64 {
    f64::from(u32::try_from(ms).unwrap_or(u32::MAX))
}

/// Waits some milliseconds.
pub(crate) async fn sleep_ms(ms: u64) {
    monoio::time::sleep(std::time::Duration::from_millis(ms)).await;
}
