//! Groups and members in force on this daemon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};

use base::{Event, Ms, Signal, emit};
use group::MemberReport;
use pg::Login;
use schema::{Group, Member, Report, qualified};

use crate::state::Daemon;
use crate::upstream::{AdmissionQueue, ControlConn, MemberProbe, Pool, PositionSamples};

/// One member of a group.
pub struct MemberState {
    /// Its configuration.
    pub config: Member,
    /// How to log in.
    pub login: Login,
    /// Connections for statements.
    pub pool: Pool,
    /// Statements let through at once.
    pub admission: AdmissionQueue,
    /// What it reports.
    pub probe: MemberProbe,
    /// Connection for control statements.
    pub control: ControlConn,
    /// While this daemon works as its owner; dropping it ends the heartbeat task.
    pub heartbeat: RefCell<Option<Rc<()>>>,
}

/// The newest leader known of a group.
#[derive(Clone, Debug, Default)]
pub struct KnownLeader {
    /// Its term; never falls.
    pub term: u64,
    /// The leader, or empty while none is known.
    pub leader: Box<str>,
    /// Since when no leader has been found.
    pub lost: Option<Ms>,
}

/// One group.
pub struct GroupState {
    /// Qualified name.
    pub name: Box<str>,
    /// Its configuration.
    pub config: Group,
    /// Its members, in the order of the configuration.
    pub members: Vec<Rc<MemberState>>,
    /// The newest leader known.
    pub known_leader: RefCell<KnownLeader>,
    /// Notified when a member's report or the route changes.
    pub changed: Rc<Signal>,
    /// Positions of the primary with the instant at which they were asked for.
    pub samples: PositionSamples,
    /// Whether this daemon examines or changes the primary now.
    pub change_running: Cell<bool>,
    /// Until when new work for the primary is held back, during a switchover.
    pub paused_until: Cell<Ms>,
}

impl GroupState {
    /// A member by name.
    pub fn member(&self, name: &str) -> Option<&Rc<MemberState>> {
        self.members.iter().find(|m| *m.config.name == *name)
    }

    /// Newest reports of the members.
    pub fn reports(&self) -> Vec<MemberReport> {
        self.members
            .iter()
            .filter_map(|m| m.probe.report())
            .collect()
    }

    /// Newest reports as they are told to others.
    pub fn peer_reports(&self) -> Vec<Report> {
        let told = |m: &Rc<MemberState>| {
            let r = m.probe.report()?;
            Some(Report {
                member: m.config.name.clone(),
                term: r.term,
                leads: r.leads,
                last: r.last,
                contact_ms: r.contact_ms,
                heard_ms: r.requested_at.elapsed(),
            })
        };
        self.members.iter().filter_map(told).collect()
    }

    /// Notes a leader if its term is not older than the one known.
    pub fn record_leader(&self, term: u64, leader: &str) {
        let mut route = self.known_leader.borrow_mut();
        let newer = term > route.term || (term == route.term && *route.leader != *leader);
        if !newer || leader.is_empty() {
            return;
        }
        *route = KnownLeader {
            term,
            leader: leader.into(),
            lost: None,
        };
        drop(route);
        self.changed.notify();
    }

    /// Notes what another daemon believes; it may be late, so only a newer term counts.
    pub fn record_hint(&self, term: u64, leader: &str) {
        if term > self.known_leader.borrow().term {
            self.record_leader(term, leader);
        }
    }

    /// Notes a member's report.
    pub fn record_report(&self, member: &MemberState, report: MemberReport) {
        if report.leads {
            self.record_leader(report.term, &member.config.name);
        }
        member.probe.record(report);
        self.changed.notify();
    }

    /// Forgets the leader of a term after it could not be reached.
    pub fn clear_leader(&self, term: u64) {
        let mut route = self.known_leader.borrow_mut();
        if route.term == term && !route.leader.is_empty() {
            route.leader = "".into();
            route.lost = Some(Ms::now());
        }
    }

    /// Notes that no leader was found, and how long members have not heard one, in ms.
    pub fn record_no_leader(&self, silent_ms: u64) {
        let since = Ms(Ms::now().0.saturating_sub(silent_ms));
        let mut route = self.known_leader.borrow_mut();
        route.lost = Some(route.lost.map_or(since, |at| at.min(since)));
    }

    /// The leader known, if any, with its term.
    pub fn leader(&self) -> Option<(u64, Box<str>)> {
        let route = self.known_leader.borrow();
        (!route.leader.is_empty()).then(|| (route.term, route.leader.clone()))
    }
}

impl Daemon {
    /// Brings the groups in line with the configuration in force.
    pub fn rebuild_groups(self: &Rc<Self>) {
        let mut next: HashMap<Box<str>, Rc<GroupState>> = HashMap::new();
        for institution in self.config_store.institutions() {
            for config in &institution.groups {
                let name = qualified(&institution.name, &config.name);
                let group = self.group_for(&name, config);
                next.insert(name, group);
            }
        }
        *self.groups.borrow_mut() = next;
        self.update_ownership();
    }

    fn group_for(&self, name: &str, config: &Group) -> Rc<GroupState> {
        let old = self.group(name);
        if let Some(old) = old.as_ref().filter(|o| o.config == *config) {
            return old.clone();
        }
        let members = config.members.iter().filter_map(|m| {
            let kept = old
                .as_ref()
                .and_then(|o| o.member(&m.name))
                .filter(|k| k.config == *m);
            let login = self.login(config, m)?;
            if let Some(kept) =
                kept.filter(|k| k.login.user == login.user && k.login.addr == login.addr)
            {
                self.limit(config, kept);
                return Some(kept.clone());
            }
            let member = Rc::new(MemberState {
                config: m.clone(),
                login,
                pool: Pool::default(),
                admission: AdmissionQueue::default(),
                probe: MemberProbe::default(),
                control: ControlConn::default(),
                heartbeat: RefCell::default(),
            });
            self.limit(config, &member);
            Some(member)
        });
        Rc::new(GroupState {
            name: name.into(),
            config: config.clone(),
            members: members.collect(),
            known_leader: RefCell::new(
                old.map(|o| o.known_leader.borrow().clone())
                    .unwrap_or_default(),
            ),
            changed: Rc::default(),
            samples: PositionSamples::default(),
            change_running: Cell::new(false),
            paused_until: Cell::default(),
        })
    }

    fn login(&self, group: &Group, member: &Member) -> Option<Login> {
        Some(Login {
            addr: self.membership.address(&member.addr)?,
            user: group.user.clone(),
            password: group.password.clone(),
            database: group.database.clone(),
        })
    }

    /// Sets this daemon's share of a member's connections and slots.
    fn limit(&self, group: &Group, member: &MemberState) {
        let limits = &self.settings.limits;
        let shared = group
            .connections
            .saturating_sub(limits.reserve)
            .max(limits.homes);
        member.pool.set_max(shared / limits.homes);
        member
            .admission
            .set_limit(group.slots.div_ceil(limits.homes) + 1, limits.queue);
    }

    /// Starts and ends the heartbeats of members, as the list of VMs demands.
    pub fn update_ownership(self: &Rc<Self>) {
        let groups: Vec<_> = self.groups.borrow().values().cloned().collect();
        for group in groups {
            for member in &group.members {
                let owner = self
                    .membership
                    .is_owner(&member.config, self.settings.limits.homes);
                let beating = member.heartbeat.borrow().is_some();
                if owner && !beating {
                    let alive = Rc::new(());
                    *member.heartbeat.borrow_mut() = Some(alive.clone());
                    let handle = MemberHandle::new(&group, member);
                    monoio::spawn(crate::upstream::heartbeat(
                        self.clone(),
                        handle,
                        Rc::downgrade(&alive),
                    ));
                } else if !owner && beating {
                    member.heartbeat.take();
                }
                if self.membership.is_leaving(&member.config.name) {
                    emit(
                        Event::MemberLeaving,
                        &[("group", &group.name), ("member", &member.config.name)],
                    );
                }
            }
        }
    }
}

/// A member with its group, held weakly, so that a task ends when either is gone.
#[derive(Clone)]
pub struct MemberHandle {
    group: Weak<GroupState>,
    member: Weak<MemberState>,
}

impl MemberHandle {
    /// Makes a weak handle.
    pub fn new(group: &Rc<GroupState>, member: &Rc<MemberState>) -> MemberHandle {
        MemberHandle {
            group: Rc::downgrade(group),
            member: Rc::downgrade(member),
        }
    }

    /// The member and its group, while both are in force.
    pub fn get(&self) -> Option<(Rc<GroupState>, Rc<MemberState>)> {
        Some((self.group.upgrade()?, self.member.upgrade()?))
    }
}
