//! Which members are on record as possible holders of acknowledged commits, as far as this daemon
//! knows.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use base::{Event, Ms, emit};
use schema::Pos;

use super::Group;
use crate::{Leader, Member, MemberRecord, ReplicaRecord, Role, Status};

/// Address of a member that is only known from the record; connections to it fail at once.
const NO_ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The record of a group's replicas as last read or written.
#[derive(Default)]
pub(super) struct Recorded {
    /// Era of the store in which it was read; `None` before.
    era: Cell<Option<u64>>,
    /// Identifiers on record.
    members: RefCell<HashSet<Box<str>>>,
    /// The leader on record.
    leader: RefCell<Option<Leader>>,
    /// Those on record that matter no longer: the listed replicas were seen to hold what they may
    /// have confirmed, or another member has taken over their log.
    settled: RefCell<HashSet<Box<str>>>,
    /// Since when a member matters that is not on record; `None` while there is none.
    missing_since: Cell<Option<Ms>>,
}

/// What the identifiers of former starts of a member begin with.
fn former_prefix(id: &str) -> Box<str> {
    format!("{id}@").into()
}

/// Identifier that stands for a former start of a member.
fn former_start(id: &str, started_at: u64) -> Box<str> {
    format!("{}{started_at}", former_prefix(id)).into()
}

impl Recorded {
    /// Records that a member matters no longer.
    pub(super) fn settle(&self, id: &str) {
        if self.members.borrow().contains(id) {
            self.settled.borrow_mut().insert(id.into());
        }
    }

    /// Records that a member is listed.
    pub(super) fn unsettle(&self, id: &str) {
        self.settled.borrow_mut().remove(id);
    }
}

impl Group {
    /// Takes over the record, as read or written in an era of the store.
    pub fn set_recorded(&self, record: &ReplicaRecord, era: u64) {
        let recorded = &self.recorded;
        recorded.era.set(Some(era));
        recorded.leader.replace(record.leader.clone());
        self.drop_vanished(record);
        let members: HashSet<Box<str>> = record.members.iter().cloned().collect();
        recorded.members.replace(members.clone());
        let mut settled = recorded.settled.borrow_mut();
        settled
            .retain(|id| members.contains(id) || self.member(id).is_some_and(|m| m.removed.get()));
        drop(settled);
        self.update_missing();
    }

    /// Handles members that are on record no longer: another daemon has seen that they do not matter.
    pub(crate) fn drop_vanished(&self, record: &ReplicaRecord) {
        let on_record = self.recorded.members.borrow();
        let has_vanished =
            |id: &str| on_record.contains(id) && !record.members.iter().any(|m| **m == *id);
        // One that is listed here goes on record again.
        let is_listed = |id: &str| self.member(id).is_some_and(|m| !m.removed.get());
        let vanished = on_record
            .iter()
            .filter(|id| has_vanished(id) && !is_listed(id));
        self.recorded.settled.borrow_mut().extend(vanished.cloned());
        let is_dropped =
            |m: &Rc<Member>| m.removed.get() && m.addr == NO_ADDR && has_vanished(&m.id);
        self.members.borrow_mut().retain(|m| !is_dropped(m));
    }

    /// Whether the record was read in this era of the store.
    pub(crate) fn has_record_of(&self, era: u64) -> bool {
        self.recorded.era.get() == Some(era)
    }

    /// Forgets the record, because it may have been undone.
    pub(crate) fn forget_recorded(&self) {
        self.recorded.era.set(None);
        self.recorded.members.borrow_mut().clear();
        self.update_missing();
    }

    /// Identifiers of the members that matter and are not on record.
    pub fn unrecorded(&self) -> Vec<Box<str>> {
        let on_record = self.recorded.members.borrow();
        let members = self.members.borrow();
        let missing = members.iter().filter(|m| !on_record.contains(&m.id));
        let counted = missing.filter(|m| self.may_hold_commits(m));
        counted.map(|m| m.id.clone()).collect()
    }

    /// Whether a member is listed, or has left and may have confirmed what no listed replica holds. The
    /// last primary is none of these replicas, also once it is demoted: it has all that it has confirmed,
    /// whether or not a replica does.
    fn may_hold_commits(&self, member: &Member) -> bool {
        if !member.removed.get() {
            return true;
        }
        if self.recorded.settled.borrow().contains(&member.id) {
            return false;
        }
        let leader = self.primary().or_else(|| self.last_primary_member());
        let is_held = |pos| self.is_held(pos, leader.as_ref());
        !member.final_pos.get().is_some_and(is_held)
    }

    /// Identifiers on record that matter no longer.
    pub fn settled_on_record(&self) -> Vec<Box<str>> {
        let on_record = self.recorded.members.borrow();
        let settled = self.recorded.settled.borrow();
        let is_settled = |id: &str| {
            let member = self.member(id);
            settled.contains(id) || member.is_some_and(|m| !self.may_hold_commits(&m))
        };
        let gone = on_record.iter().filter(|id| is_settled(id));
        gone.cloned().collect()
    }

    /// Whether the record does not name the newest leader.
    pub(crate) fn is_leader_outdated(&self) -> bool {
        self.last_leader()
            .is_some_and(|l| l.term > self.recorded_term())
    }

    /// Term of the primary on record; 0 if none is.
    pub(super) fn recorded_term(&self) -> u64 {
        let leader = self.recorded.leader.borrow();
        leader.as_ref().map_or(0, |l| l.term)
    }

    /// The primary on record, as last read or written.
    pub(crate) fn recorded_leader(&self) -> Option<Leader> {
        self.recorded.leader.borrow().clone()
    }

    /// Identifiers on record of which this daemon knows nothing else.
    pub(crate) fn unknown_on_record(&self) -> Vec<Box<str>> {
        self.unknown_among(self.recorded.members.borrow().iter())
    }

    /// Those of some identifiers on record of which this daemon knows nothing else.
    pub(crate) fn unknown_among<'a>(
        &self,
        on_record: impl Iterator<Item = &'a Box<str>>,
    ) -> Vec<Box<str>> {
        let settled = self.recorded.settled.borrow();
        let is_unknown = |id: &str| self.member(id).is_none() && !settled.contains(id);
        on_record.filter(|id| is_unknown(id)).cloned().collect()
    }

    /// Adds a member that is on record and not listed, as one that has left.
    pub(crate) fn add_departed(&self, id: &str) {
        self.add_removed(id);
        emit(
            Event::ReplicaUnlisted,
            &[("group", &self.name), ("member", &id)],
        );
        self.notify();
    }

    fn add_removed(&self, id: &str) {
        let record = MemberRecord {
            id: id.into(),
            group: self.name.clone(),
            addr: NO_ADDR,
            data_center: "".into(),
            slots: 0,
            draining: true,
            role: Role::Replica,
            started_at: 0,
        };
        let member = Member::new(record, None);
        member.removed.set(true);
        member.removed_at.set(Ms::now());
        self.members.borrow_mut().push(Rc::new(member));
    }

    /// Handles that a member has started again under its identifier, after a start at `started_at`.
    /// Until it shows that it has its log, its former start counts like a member that has left.
    pub(super) fn on_restart(&self, member: &Rc<Member>, started_at: u64) {
        member.on_restart();
        // What a primary has confirmed, another member has.
        let has_led = self.last_leader().is_some_and(|l| l.id == member.id);
        let former = former_start(&member.id, started_at);
        if !has_led && self.member(&former).is_none() {
            self.add_removed(&former);
        }
    }

    /// Handles that a member has taken the place of another one. Until it shows that it has the same log,
    /// its predecessor counts like a member that has left.
    pub(super) fn on_replaced(&self, former: &Member, member: &Member) {
        let matters = self.may_hold_commits(former);
        former.removed.set(true);
        former.last_probe.set(None);
        former.idle_conns.borrow_mut().clear();
        // What a primary has confirmed, another member has.
        let has_led = self.last_leader().is_some_and(|l| l.id == former.id);
        if has_led || !matters || former.highest_end() == Pos::ZERO {
            self.recorded.settle(&former.id);
            return;
        }
        let started_at = former.record.borrow().started_at;
        let id = if former.id == member.id {
            former_start(&former.id, started_at)
        } else {
            former.id.clone()
        };
        member.add_replaced(former, id.clone());
        if self.member(&id).is_none() {
            self.add_removed(&id);
        }
    }

    /// Checks whether a member that has started again, or has taken the place of another one, has the
    /// log from before. Its former start, or its predecessor, then matters no longer.
    pub(super) fn check_log(&self, member: &Member, status: &Status) {
        let Some(has_kept) = member.has_kept_log(status.received) else {
            return;
        };
        let prefix = former_prefix(&member.id);
        let replaced = member.replaced.borrow();
        let is_former = |m: &Rc<Member>| {
            m.removed.get() && (m.id.starts_with(&*prefix) || replaced.contains(&m.id))
        };
        if !has_kept {
            emit(
                Event::MemberLogLost,
                &[
                    ("group", &self.name),
                    ("member", &member.id),
                    ("received", &status.received),
                ],
            );
            return;
        }
        let mut members = self.members.borrow_mut();
        for former in members.iter().filter(|m| is_former(m)) {
            self.recorded.settle(&former.id);
        }
        members.retain(|m| !is_former(m));
        drop(members);
        self.update_missing();
    }

    /// Notes whether a member that matters is not on record.
    pub(super) fn update_missing(&self) {
        let missing_since = &self.recorded.missing_since;
        if self.unrecorded().is_empty() {
            if missing_since.take().is_some() {
                self.notify();
            }
        } else if missing_since.get().is_none() {
            missing_since.set(Some(Ms::now()));
            self.record_due.notify();
        }
    }

    /// Whether all members that matter are on record.
    pub fn is_recorded(&self) -> bool {
        self.recorded.missing_since.get().is_none()
    }

    /// For how long a member has mattered that is not on record, in ms; 0 if there is none.
    pub(crate) fn missing_for_ms(&self) -> u64 {
        self.recorded.missing_since.get().map_or(0, Ms::elapsed)
    }

    /// Instant until which statements may be sent to the primary as far as the record goes.
    pub(super) fn recorded_until(&self) -> Ms {
        self.recorded.missing_since.get().unwrap_or(Ms(u64::MAX))
    }
}
