//! State that this daemon keeps for each configured group and member.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};

use base::{Event, Ms, Signal, emit};
use group::MemberReport;
use pg::Login;
use schema::{Group, Member, Report, qualified};

use crate::state::Daemon;
use crate::upstream::{AdmissionQueue, ControlConn, MemberProbe, Pool, PositionSamples};

/// State of a group member.
pub struct MemberState {
    pub config: Member,
    /// Address and credentials.
    pub login: Login,
    /// Connections for statements.
    pub pool: Pool,
    /// Bounds the number of statements that run at once.
    pub admission: AdmissionQueue,
    /// Newest status report.
    pub probe: MemberProbe,
    /// Connection for the control statements of a primary change or a step-down.
    pub control: ControlConn,
    /// Present while this daemon owns the member; dropping it ends the heartbeat task.
    pub heartbeat: RefCell<Option<Rc<()>>>,
}

/// Newest known primary of a group.
#[derive(Clone, Debug, Default)]
pub struct KnownPrimary {
    /// Term of the primary; never decreases.
    pub term: u64,
    /// Member name of the primary, or empty while none is known.
    pub name: Box<str>,
    /// Instant since which the group has had no primary, if known.
    pub no_primary_since: Option<Ms>,
}

/// State of a group.
pub struct GroupState {
    /// Name of the group, qualified by its institution.
    pub name: Box<str>,
    pub config: Group,
    /// Members, in the order of the configuration.
    pub members: Vec<Rc<MemberState>>,
    pub known_primary: RefCell<KnownPrimary>,
    /// Notified when a status report is recorded, when a member that does not answer loses its
    /// report, and when a primary is recorded; not when the primary is cleared.
    pub changed: Rc<Signal>,
    /// Position samples of the primary.
    pub samples: PositionSamples,
    /// Whether this daemon is evaluating the group, changing its primary or making it step down.
    pub change_running: Cell<bool>,
    /// Instant until which new work for the primary is paused, during a switchover.
    pub paused_until: Cell<Ms>,
}

impl GroupState {
    /// Looks up a member by name.
    pub fn member(&self, name: &str) -> Option<&Rc<MemberState>> {
        self.members.iter().find(|m| *m.config.name == *name)
    }

    /// Newest status reports of the members that have one.
    pub fn reports(&self) -> Vec<MemberReport> {
        self.members
            .iter()
            .filter_map(|m| m.probe.report())
            .collect()
    }

    /// Newest status reports, in the form sent to other daemons.
    pub fn peer_reports(&self) -> Vec<Report> {
        let to_report = |m: &Rc<MemberState>| {
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
        self.members.iter().filter_map(to_report).collect()
    }

    /// Records a primary, unless a newer term is known or the name is empty. In the same term, a
    /// different name replaces the known one.
    pub fn record_primary(&self, term: u64, name: &str) {
        let mut known = self.known_primary.borrow_mut();
        let newer = term > known.term || (term == known.term && *known.name != *name);
        if !newer || name.is_empty() {
            return;
        }
        *known = KnownPrimary {
            term,
            name: name.into(),
            no_primary_since: None,
        };
        drop(known);
        self.changed.notify();
    }

    /// Records a primary that another daemon reported. Its information may be outdated, so it
    /// counts only with a newer term.
    pub fn record_hint(&self, term: u64, name: &str) {
        if term > self.known_primary.borrow().term {
            self.record_primary(term, name);
        }
    }

    /// Records a status report, and the member as primary if it leads.
    pub fn record_report(&self, member: &MemberState, report: MemberReport) {
        if report.leads {
            self.record_primary(report.term, &member.config.name);
        }
        member.probe.record(report);
        self.changed.notify();
    }

    /// Clears the known primary after it could not be reached, if it is that of `term`.
    pub fn clear_primary(&self, term: u64) {
        let mut known = self.known_primary.borrow_mut();
        if known.term == term && !known.name.is_empty() {
            known.name = "".into();
            known.no_primary_since = Some(Ms::now());
        }
    }

    /// Records that no primary was found; `silent_ms` is the longest time for which a member has
    /// been without contact to one.
    pub fn record_no_primary(&self, silent_ms: u64) {
        let since = Ms(Ms::now().0.saturating_sub(silent_ms));
        let mut known = self.known_primary.borrow_mut();
        known.no_primary_since = Some(known.no_primary_since.map_or(since, |at| at.min(since)));
    }

    /// Term and member name of the known primary.
    pub fn primary(&self) -> Option<(u64, Box<str>)> {
        let known = self.known_primary.borrow();
        (!known.name.is_empty()).then(|| (known.term, known.name.clone()))
    }
}

impl Daemon {
    /// Rebuilds the groups from the configuration in force; unchanged groups and members keep
    /// their state, and a changed group keeps its known primary.
    pub fn rebuild_groups(self: &Rc<Self>) {
        let mut groups: HashMap<Box<str>, Rc<GroupState>> = HashMap::new();
        for institution in self.config_store.institutions() {
            for config in &institution.groups {
                let name = qualified(&institution.name, &config.name);
                let group = self.build_group(&name, config);
                groups.insert(name, group);
            }
        }
        *self.groups.borrow_mut() = groups;
        self.update_ownership();
    }

    fn build_group(&self, name: &str, config: &Group) -> Rc<GroupState> {
        let old = self.group(name);
        if let Some(old) = old.as_ref().filter(|o| o.config == *config) {
            return old.clone();
        }
        let members = config.members.iter().filter_map(|m| {
            let kept = old
                .as_ref()
                .and_then(|o| o.member(&m.name))
                .filter(|k| k.config == *m);
            let login = self.member_login(config, m)?;
            if let Some(kept) =
                kept.filter(|k| k.login.user == login.user && k.login.addr == login.addr)
            {
                self.set_limits(config, kept);
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
            self.set_limits(config, &member);
            Some(member)
        });
        Rc::new(GroupState {
            name: name.into(),
            config: config.clone(),
            members: members.collect(),
            known_primary: RefCell::new(
                old.map(|o| o.known_primary.borrow().clone())
                    .unwrap_or_default(),
            ),
            changed: Rc::default(),
            samples: PositionSamples::default(),
            change_running: Cell::new(false),
            paused_until: Cell::default(),
        })
    }

    fn member_login(&self, group: &Group, member: &Member) -> Option<Login> {
        Some(Login {
            addr: self.membership.rewrite_address(&member.addr)?,
            user: group.user.clone(),
            password: group.password.clone(),
            database: group.database.clone(),
        })
    }

    /// Limits the pool and the admission queue to this daemon's share of the connections and slots
    /// of a member.
    fn set_limits(&self, group: &Group, member: &MemberState) {
        let limits = &self.settings.limits;
        let available = group
            .connections
            .saturating_sub(limits.reserve)
            .max(limits.homes);
        member.pool.set_max(available / limits.homes);
        member
            .admission
            .set_limit(group.slots.div_ceil(limits.homes) + 1, limits.queue);
    }

    /// Starts and ends heartbeat tasks, so that they run for the members that this daemon owns by
    /// the current list of VMs, and logs the members whose VM is leaving.
    pub fn update_ownership(self: &Rc<Self>) {
        let groups: Vec<_> = self.groups.borrow().values().cloned().collect();
        for group in groups {
            for member in &group.members {
                let owner = self
                    .membership
                    .is_owner(&member.config, self.settings.limits.homes);
                let has_heartbeat = member.heartbeat.borrow().is_some();
                if owner && !has_heartbeat {
                    let alive = Rc::new(());
                    *member.heartbeat.borrow_mut() = Some(alive.clone());
                    let handle = MemberHandle::new(&group, member);
                    monoio::spawn(crate::upstream::heartbeat(
                        self.clone(),
                        handle,
                        Rc::downgrade(&alive),
                    ));
                } else if !owner && has_heartbeat {
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

/// Weak reference to a member, so that a task can notice its removal.
#[derive(Clone)]
pub struct MemberHandle {
    /// Name of the group: a changed configuration replaces the group and keeps the member.
    group: Box<str>,
    member: Weak<MemberState>,
}

impl MemberHandle {
    pub fn new(group: &GroupState, member: &Rc<MemberState>) -> MemberHandle {
        MemberHandle {
            group: group.name.clone(),
            member: Rc::downgrade(member),
        }
    }

    /// Returns the member and its present group while the group contains it.
    pub fn upgrade(&self, daemon: &Daemon) -> Option<(Rc<GroupState>, Rc<MemberState>)> {
        let member = self.member.upgrade()?;
        let group = daemon.group(&self.group)?;
        let is_member = group.members.iter().any(|m| Rc::ptr_eq(m, &member));
        is_member.then_some((group, member))
    }
}
