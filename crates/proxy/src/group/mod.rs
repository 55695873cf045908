//! One group: its members, the lease on its primary, and the statements that wait.

mod conns;
mod wait_queue;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use base::{Event, Ms, Signal, emit};

use crate::failure_detector::PrimaryHealth;
use crate::tunnel::Peers;
use crate::{
    Codec, GroupRule, History, Lease, Member, MemberRecord, ProbeResult, Reply, Role, Settings,
    Status,
};

pub(crate) use wait_queue::Refusal;
use wait_queue::Waiter;

/// Time without a lease after which statements for the primary are refused at once, in ms.
const HOPE_MS: u64 = 900;
/// The same while a change of primary is seen to run, in ms.
const HOPE_CHANGE_MS: u64 = 2500;
/// Silence after which a member counts as out of reach of this VM, in ms.
const SILENT_MS: u64 = 500;
/// Time after which a member that has left no longer matters for a change of primary, counted
/// from its last sign of life to the primary's, in ms.
const SETTLE_MS: u64 = 1000;

/// A group of members.
pub struct Group {
    /// Its name.
    pub name: Box<str>,
    /// Its settings.
    pub rule: RefCell<GroupRule>,
    /// Its members, those that have left included while a session holds a connection.
    pub members: RefCell<Vec<Rc<Member>>>,
    /// Confirmed positions of the primary.
    pub history: RefCell<History>,
    /// Notified when roles, the lease or the members change.
    pub changed: Signal,
    /// Since when no primary is known.
    pub no_primary_since: Cell<Ms>,
    /// Whether this daemon is one of those that serve the group.
    pub is_owner: Cell<bool>,
    /// Sessions that are served here.
    pub sessions: Cell<u64>,
    /// Oldest write that waits for its answer.
    pub pending_writes: RefCell<Vec<Ms>>,
    /// Daemons through which a member may be reached.
    peers: Rc<Peers>,
    /// Name of this VM.
    vm: Box<str>,
    /// Data centre of this VM.
    pub(crate) data_center: Box<str>,
    pub(crate) codec: Codec,
    waiters: RefCell<Vec<Rc<Waiter>>>,
    /// When this daemon began to follow the group.
    began: Ms,
    lease_state: RefCell<Lease>,
    had_lease: Cell<bool>,
    me: Weak<Group>,
}

impl Group {
    /// An empty group.
    pub fn new(rule: GroupRule, settings: &Settings, codec: Codec, peers: &Rc<Peers>) -> Rc<Group> {
        Rc::new_cyclic(|me| Group {
            name: rule.name.clone(),
            rule: RefCell::new(rule),
            members: RefCell::default(),
            history: RefCell::default(),
            changed: Signal::default(),
            no_primary_since: Cell::new(Ms::now()),
            is_owner: Cell::new(false),
            sessions: Cell::new(0),
            pending_writes: RefCell::default(),
            peers: peers.clone(),
            vm: settings.name.clone(),
            data_center: settings.data_center.clone(),
            codec,
            waiters: RefCell::default(),
            began: Ms::now(),
            lease_state: RefCell::default(),
            had_lease: Cell::new(false),
            me: me.clone(),
        })
    }

    /// Takes over what the platform lists; `None` as the new state means gone.
    pub fn update_member(&self, id: &str, entry: Option<&MemberRecord>) {
        let known = self.member(id);
        match (known, entry) {
            (Some(member), Some(entry)) if member.addr == entry.addr => {
                let born = member.record.borrow().started_at;
                if born != entry.started_at {
                    member.last_probe.set(None);
                }
                member.removed.set(false);
                member.record.replace(entry.clone());
            }
            (_, Some(entry)) => {
                self.remove_replaced(entry);
                let member = Rc::new(Member::new(entry.clone()));
                self.members.borrow_mut().push(member);
            }
            (Some(member), None) => {
                member.removed.set(true);
                member.idle_conns.borrow_mut().clear();
                member.removed_at.set(Ms::now());
                emit(
                    Event::MemberRemoved,
                    &[("group", &self.name), ("member", &member.id)],
                );
            }
            (None, None) => return,
        }
        if let Some(entry) = entry {
            emit(
                Event::MemberChanged,
                &[
                    ("group", &self.name),
                    ("member", &entry.id),
                    ("draining", &entry.draining),
                    ("role", &format!("{:?}", entry.role)),
                    ("born", &entry.started_at),
                ],
            );
        }
        self.notify();
    }

    /// Forgets members whose place a new one takes: a restarted member, and one that replaces
    /// another, has the address and the log of the former.
    fn remove_replaced(&self, entry: &MemberRecord) {
        let mut members = self.members.borrow_mut();
        for old in members.iter() {
            if old.addr == entry.addr || old.id == entry.id {
                old.removed.set(true);
                old.last_probe.set(None);
                old.idle_conns.borrow_mut().clear();
            }
        }
        members.retain(|m| m.addr != entry.addr && m.id != entry.id);
    }

    /// The member with an identifier.
    pub fn member(&self, id: &str) -> Option<Rc<Member>> {
        let members = self.members.borrow();
        members.iter().find(|m| &*m.id == id).cloned()
    }

    /// Members that the platform lists.
    pub fn listed(&self) -> Vec<Rc<Member>> {
        let members = self.members.borrow();
        members
            .iter()
            .filter(|m| !m.removed.get())
            .cloned()
            .collect()
    }

    /// Newest term that any member has told.
    pub fn newest_term(&self) -> u64 {
        let members = self.members.borrow();
        let words = members.iter().filter_map(|m| m.last_probe.get());
        words.map(|w| w.term).max().unwrap_or(0)
    }

    /// The member that says it is the primary of the newest term.
    pub fn primary(&self) -> Option<Rc<Member>> {
        let term = self.newest_term();
        let leads = |m: &&Rc<Member>| {
            let word = m.last_probe.get();
            word.is_some_and(|w| w.role == Role::Primary && w.term == term)
        };
        let members = self.members.borrow();
        let listed = members.iter().filter(|m| !m.removed.get()).find(leads);
        listed.or_else(|| members.iter().find(leads)).cloned()
    }

    /// The instant until which the primary may be used.
    pub fn lease(&self) -> Ms {
        self.lease_state.borrow().until(self.newest_term())
    }

    /// Whether the lease would outlast the loss of any one replica.
    pub fn is_lease_redundant(&self, now: Ms) -> bool {
        let primary = self.primary();
        let keys: Vec<_> = self
            .fence_set(primary.as_ref())
            .iter()
            .map(|m| m.key)
            .collect();
        self.lease_state.borrow().is_redundant(&keys, now)
    }

    /// What is seen of the primary, for the decision on a change.
    pub fn primary_health(&self) -> PrimaryHealth {
        let primary = self.primary();
        let listed = self.listed();
        let claimed = listed.iter().find(|m| m.claims_primary());
        let replicas = listed
            .iter()
            .filter(|m| m.unreachable_since.get().is_none() && m.last_probe.get().is_some());
        let oldest = self.pending_writes.borrow().iter().min().copied();
        PrimaryHealth {
            has_primary: primary.is_some() || claimed.is_some(),
            role_unknown: listed
                .iter()
                .any(|m| m.last_probe.get().is_none() && m.unreachable_since.get().is_none()),
            no_primary_since: self.no_primary_since.get(),
            change_in_progress: listed.iter().any(|m| m.is_fenced()),
            draining: primary.as_ref().is_some_and(|p| p.record.borrow().draining),
            removed: primary.as_ref().is_some_and(|p| p.removed.get()),
            unreachable_since: primary
                .as_ref()
                .or(claimed)
                .and_then(|p| p.unreachable_since.get()),
            conns_refused: primary
                .as_ref()
                .or(claimed)
                .is_some_and(|p| p.conns_refused.get()),
            oldest_write: oldest,
            replicas: replicas.count().saturating_sub(1),
        }
    }

    /// Takes over what a member said of itself on a connection.
    pub fn on_status(&self, member: &Member, status: &Status, asked: Ms, up_since: Ms) {
        let before = member.last_probe.get();
        if status.fenced == 0 {
            member.fenced_since.set(None);
        } else if member.fenced_since.get().is_none() {
            member.fenced_since.set(Some(asked));
        }
        member.status.set(Some(*status));
        let word = ProbeResult {
            sent_at: asked,
            received_at: Ms::now(),
            role: status.role,
            term: status.term,
            fenced: status.fenced,
            up_since,
        };
        member.last_probe.set(Some(word));
        let cohort = self.fence_set(self.primary().as_ref());
        let keys: Vec<_> = cohort.iter().map(|m| m.key).collect();
        self.lease_state
            .borrow_mut()
            .record(member.key, word, &keys);
        let same = before.is_some_and(|w| w.role == status.role && w.term == status.term);
        if !same {
            emit(
                Event::MemberChanged,
                &[
                    ("group", &self.name),
                    ("member", &member.id),
                    ("role", &format!("{:?}", status.role)),
                    ("term", &status.term),
                    ("received", &status.received),
                    ("fenced", &status.fenced),
                ],
            );
        }
        if self.primary().is_some() {
            self.no_primary_since.set(Ms::now());
        }
        let holds = self.lease().left() > 0;
        if holds != self.had_lease.replace(holds) {
            let event = if holds {
                Event::LeaseRestored
            } else {
                Event::LeaseLost
            };
            emit(event, &[("group", &self.name), ("member", &member.id)]);
        }
        self.notify();
    }

    /// Takes over the position in an answer to a question sent at `asked`.
    pub fn on_reply(&self, member: &Rc<Member>, asked: Ms, reply: &Reply) {
        let Some(pos) = reply.pos else { return };
        member.record_position(pos);
        let leads = self.primary().is_some_and(|p| Rc::ptr_eq(&p, member));
        if leads && pos.term == self.newest_term() && asked <= self.lease() {
            self.history.borrow_mut().add(asked, pos);
        }
    }

    /// Tells waiters and tasks that something has changed.
    pub fn notify(&self) {
        self.dispatch();
        self.changed.notify();
    }

    /// Members that may have acknowledged a commit of the primary which no other member has:
    /// all but the primary, less those that left while the primary still served.
    pub fn fence_set(&self, primary: Option<&Rc<Member>>) -> Vec<Rc<Member>> {
        let heard = primary.map_or(Ms(0), |p| p.last_heard.get());
        let members = self.members.borrow();
        let may_hold = |m: &&Rc<Member>| {
            let settled = m.removed.get() && m.removed_at.get().plus(SETTLE_MS) < heard;
            primary.is_none_or(|p| p.key != m.key) && !settled
        };
        members.iter().filter(may_hold).cloned().collect()
    }

    /// Forgets signs of failure, after this process itself has stood still.
    pub fn reset_failure_signs(&self) {
        let now = Ms::now();
        for member in self.members.borrow().iter() {
            member.silent_since.set(now);
            member.unreachable_since.set(None);
        }
    }

    /// Members listed, and how many of them give no sign of life.
    pub fn count_silent(&self) -> (usize, usize) {
        let now = Ms::now();
        let listed = self.listed();
        let silent = listed
            .iter()
            .filter(|m| m.unreachable_since.get().is_some() || m.silent_for(now) >= SILENT_MS);
        (listed.len(), silent.count())
    }

    /// Whether this daemon serves the group, by choice or since sessions were handed to it.
    pub fn is_served(&self) -> bool {
        self.is_owner.get() || self.sessions.get() > 0
    }

    /// Whether the primary cannot be used and nothing says that it soon can.
    pub fn is_primary_unavailable(&self) -> bool {
        let now = Ms::now();
        let lease = self.lease();
        if lease > now {
            return false;
        }
        let out_for = now.0 - lease.0.max(self.began.0);
        let soon = self.primary_health().change_in_progress || self.newest_term() == 0;
        out_for > if soon { HOPE_CHANGE_MS } else { HOPE_MS }
    }
}
