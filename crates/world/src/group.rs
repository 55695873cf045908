//! Simulated replication group: members with their logs, replication, promotions and crashes.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::{Rc, Weak};

use base::{Ms, Signal};
use monoio::net::TcpListener;
use schema::Pos;
use serde_json::json;

use crate::store::Store;
use crate::{PromotionRequest, StatementRun, member, sleep_ms};

/// Time between the crash of a member and the removal of its object from the store.
const OBJECT_EXPIRY_MS: u64 = 3600;
/// Time for which an old primary must be connected to the new one before it steps down.
const STEP_DOWN_AFTER_MS: u64 = 1000;
const REPLICATION_INTERVAL_MS: u64 = 2;

/// A log entry: the writes of one commit.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub pos: Pos,
    /// Written (item, data) pairs, in statement order.
    pub writes: Rc<Vec<(Box<str>, Box<str>)>>,
}

/// A promotion that has taken effect.
pub struct Promoted {
    pub at: Ms,
    /// Identifier of the member.
    pub id: Box<str>,
    /// Term that it leads.
    pub term: u64,
    /// `None` when it was not ordered through the promotion API.
    pub order: Option<Rc<PromotionRequest>>,
    /// Its log at that time.
    pub log: Vec<Entry>,
    /// Identifiers of all members and the ends of their logs at that time.
    pub ends: Vec<(Box<str>, Pos)>,
}

/// A simulated database member, with the faults that are injected into it.
pub struct Member {
    /// Name of its object in the store; a restart after a crash assigns a new one.
    pub id: RefCell<Box<str>>,
    pub addr: SocketAddr,
    /// Whether its process runs.
    pub up: Cell<bool>,
    /// Fault: the VM is unresponsive, though the process runs.
    pub unresponsive: Cell<bool>,
    /// Number of crashes so far; sessions of an earlier incarnation end.
    pub incarnation: Cell<u64>,
    /// Newest term that the member knows of.
    pub term: Cell<u64>,
    /// Whether the member considers itself the primary; an old primary does so until it steps down.
    pub is_primary: Cell<bool>,
    /// Term of the primary change that the member is fenced for; 0 when it is not fenced. A fenced
    /// replica receives no entries.
    pub fenced_term: Cell<u64>,
    /// Received entries, applied or not.
    pub log: RefCell<Vec<Entry>>,
    /// Number of log entries applied, and hence visible to reads.
    pub applied_len: Cell<usize>,
    /// Fault: received entries are not applied.
    pub apply_paused: Cell<bool>,
    /// Fault: no entries are received from the primary.
    pub receive_paused: Cell<bool>,
    /// Whether its object in the store has the state `draining` instead of `ready`.
    pub draining: Cell<bool>,
    /// Fault: daemons partitioned from this member. `false` holds back both directions, `true` only
    /// the answers of the member.
    pub blocked_daemons: RefCell<HashMap<Box<str>, bool>>,
    /// Fault: indexes of the members that this one is partitioned from, in both directions.
    pub unreachable_members: RefCell<HashSet<usize>>,
    /// Statements that run or wait for a slot; at most `SLOTS + MAX_QUEUED`.
    pub admitted: Cell<u64>,
    /// Statements that hold a slot; at most `SLOTS`.
    pub busy_slots: Cell<u64>,
    /// Open connections, including those about to be refused.
    pub conns: Cell<u64>,
    /// Connections that passed the handshake and are open.
    pub accepted_conns: Cell<u64>,
    /// Highest value of `accepted_conns` so far.
    pub peak_conns: Cell<u64>,
    /// Connections refused with CONNLIMIT so far.
    pub refused_conns: Cell<u64>,
    /// Names in the `CONNECT` of the connections that passed the handshake, oldest first.
    pub conn_names: RefCell<Vec<Box<str>>>,
    /// Reads, writes and commits that the member ran, in the order of their start.
    pub runs: RefCell<Vec<StatementRun>>,
    /// Fault: factor on the run time of statements; 1 is normal speed.
    pub slowdown: Cell<u64>,
    /// Notified when a statement releases its slot.
    pub slot_freed: Signal,
    index: usize,
}

/// A simulated replication group.
pub struct Group {
    pub name: Box<str>,
    pub members: Vec<Rc<Member>>,
    /// Term of the newest primary.
    pub term: Cell<u64>,
    /// Index of the newest primary in `members`.
    pub primary: Cell<usize>,
    /// The promotions that have taken effect, oldest first.
    pub promoted: RefCell<Vec<Promoted>>,
    /// Notified when the log of a member changes.
    pub log_changed: Signal,
    /// Identifiers of the reads, writes and commits that reached a member, executed or not.
    pub received_ids: RefCell<HashSet<Box<str>>>,
    /// Connections that each member accepts; further ones get CONNLIMIT. A change is announced by
    /// the next `World::configure`.
    pub max_conns: Cell<u64>,
    /// Whether a promotion removes only the fence of the promoted member. The platform's documentation
    /// leaves open whose promotion removes a fence.
    pub keeps_fences: Cell<bool>,
    /// Time from an accepted order of a promotion to its effect, in ms; a change counts for later orders.
    pub promote_ms: Cell<u64>,
    /// Whether a member compares the term of a fence with the newest one that it has heard of, and not
    /// with the newest one of the group.
    pub fences_by_own_term: Cell<bool>,
    store: Rc<Store>,
    weak_self: Weak<Group>,
    /// Number of restarts of members so far; part of their new identifiers, which are unique.
    restarts: Cell<u64>,
}

impl Member {
    /// Position of the last entry received, applied or not.
    pub fn received_pos(&self) -> Pos {
        let zero = Pos { term: 1, log: 0 };
        self.log.borrow().last().map_or(zero, |e| e.pos)
    }

    /// Position of the last entry applied.
    pub fn applied_pos(&self) -> Pos {
        let zero = Pos { term: 1, log: 0 };
        let log = self.log.borrow();
        let last = self.applied_len.get().min(log.len()).checked_sub(1);
        last.map_or(zero, |i| log[i].pos)
    }

    /// Whether the process runs and its VM responds.
    pub fn is_responsive(&self) -> bool {
        self.up.get() && !self.unresponsive.get()
    }
}

impl Group {
    /// Starts a group of `members` members, the first of which is the primary.
    pub fn start(name: &str, members: usize, promote_ms: u64, store: &Rc<Store>) -> Rc<Group> {
        let listeners: Vec<TcpListener> = (0..members)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port"))
            .collect();
        let group = Rc::new_cyclic(|weak_self| Group {
            name: name.into(),
            members: listeners
                .iter()
                .enumerate()
                .map(|(i, l)| Rc::new(Member::new(name, i, l.local_addr().expect("local address"))))
                .collect(),
            term: Cell::new(1),
            primary: Cell::new(0),
            promoted: RefCell::default(),
            log_changed: Signal::default(),
            received_ids: RefCell::default(),
            max_conns: Cell::new(member::DEFAULT_MAX_CONNS),
            keeps_fences: Cell::new(false),
            promote_ms: Cell::new(promote_ms),
            fences_by_own_term: Cell::new(false),
            store: store.clone(),
            weak_self: weak_self.clone(),
            restarts: Cell::new(0),
        });
        for (member, listener) in group.members.iter().zip(listeners) {
            monoio::spawn(member::accept(
                group.clone(),
                member.clone(),
                listener,
                None,
            ));
            group.publish(member);
        }
        monoio::spawn(replicate(group.clone()));
        group
    }

    /// Lets the members also accept connections of a daemon at the same ports of another address.
    pub(crate) fn listen_for(self: &Rc<Group>, daemon: &str, ip: Ipv4Addr) {
        for member in &self.members {
            let addr = SocketAddr::from((ip, member.addr.port()));
            let listener = TcpListener::bind(addr).expect("failed to bind a loopback port");
            let accept =
                member::accept(self.clone(), member.clone(), listener, Some(daemon.into()));
            monoio::spawn(accept);
        }
    }

    /// Writes the object of a member to the store.
    pub fn publish(&self, member: &Member) {
        let role = if member.is_primary.get() {
            "primary"
        } else {
            "replica"
        };
        let state = if member.draining.get() {
            "draining"
        } else {
            "ready"
        };
        let spec = json!({
            "service": &*self.name, "address": member.addr.to_string(),
            "zone": format!("z{}", member.index), "version": "v1", "slots": member::SLOTS,
            "state": state, "cold_remaining_ms": 0, "db_role": role, "sequence": 1,
            "born": member.incarnation.get()
        });
        self.store.put("servers", &member.id.borrow(), &spec);
    }

    /// Schedules the promotion of a member, which completes after `promote_ms` unless the member is
    /// down or the primary by then. An order does not replace an earlier one: each has its effect.
    ///
    /// Returns false when no running member has this identifier; true without effect when the
    /// member is the primary already.
    pub fn promote(&self, id: &str) -> bool {
        self.promote_by(id, None)
    }

    /// As `promote`, by an order of a daemon.
    pub(crate) fn promote_by(&self, id: &str, order: Option<Rc<PromotionRequest>>) -> bool {
        let Some(i) = self.members.iter().position(|m| **m.id.borrow() == *id) else {
            return false;
        };
        if !self.members[i].up.get() {
            return false;
        }
        if self.primary.get() == i && self.members[i].is_primary.get() {
            return true;
        }
        let Some(group) = self.weak_self.upgrade() else {
            return false;
        };
        let promote_ms = self.promote_ms.get();
        monoio::spawn(async move {
            sleep_ms(promote_ms).await;
            let is_primary = group.primary.get() == i && group.members[i].is_primary.get();
            if group.members[i].up.get() && !is_primary {
                group.complete_promotion(i, order);
            }
        });
        true
    }

    /// Makes a member the primary of the next term and removes the fences of all members, or only its
    /// own with `keeps_fences`.
    fn complete_promotion(&self, i: usize, order: Option<Rc<PromotionRequest>>) {
        self.term.set(self.term.get() + 1);
        self.primary.set(i);
        for member in &self.members {
            if member.index == i || !self.keeps_fences.get() {
                member.fenced_term.set(0);
            }
        }
        let new = &self.members[i];
        let ends = self.members.iter();
        let ends = ends.map(|m| (m.id.borrow().clone(), m.received_pos()));
        new.term.set(self.term.get());
        new.is_primary.set(true);
        new.applied_len.set(new.log.borrow().len());
        self.promoted.borrow_mut().push(Promoted {
            at: Ms::now(),
            id: new.id.borrow().clone(),
            term: self.term.get(),
            order,
            log: new.log.borrow().clone(),
            ends: ends.collect(),
        });
        self.publish(new);
        if let Some(group) = self.weak_self.upgrade() {
            monoio::spawn(async move { group.step_down(i).await });
        }
    }

    /// Demotes old primaries once they have been connected to the new one for `STEP_DOWN_AFTER_MS`;
    /// ends when another member is promoted.
    async fn step_down(&self, new: usize) {
        let mut connected_since: HashMap<usize, Ms> = HashMap::new();
        while self.primary.get() == new {
            sleep_ms(20).await;
            for (i, old) in self.members.iter().enumerate() {
                if i == new || !old.is_primary.get() {
                    continue;
                }
                if self.are_connected(i, new) {
                    let connected_at = *connected_since.entry(i).or_insert_with(Ms::now);
                    if connected_at.elapsed() >= STEP_DOWN_AFTER_MS {
                        self.demote(old);
                    }
                } else {
                    connected_since.remove(&i);
                }
            }
        }
    }

    /// Turns a primary into a replica; without effect on a replica.
    pub fn demote(&self, member: &Member) {
        if member.is_primary.replace(false) {
            self.publish(member);
        }
    }

    /// Whether two members can reach each other.
    pub fn are_connected(&self, a: usize, b: usize) -> bool {
        let (x, y) = (&self.members[a], &self.members[b]);
        let partitioned = x.unreachable_members.borrow().contains(&b)
            || y.unreachable_members.borrow().contains(&a);
        x.is_responsive() && y.is_responsive() && !partitioned
    }

    /// Appends a commit to the log of a primary and applies it there.
    ///
    /// The session acknowledges the commit only once it is replicated, see
    /// [`Group::is_replicated`].
    pub fn append(&self, member: &Member, writes: Vec<(Box<str>, Box<str>)>) -> Entry {
        let before = member.received_pos();
        let pos = Pos {
            term: member.term.get(),
            log: before.log + 1,
        };
        let entry = Entry {
            pos,
            writes: Rc::new(writes),
        };
        member.log.borrow_mut().push(entry.clone());
        member.applied_len.set(member.log.borrow().len());
        self.log_changed.notify();
        entry
    }

    /// Whether a member other than this one has an entry. Searches the last 200 entries of each
    /// log.
    pub fn is_replicated(&self, member: &Member, entry: &Entry) -> bool {
        let others = self.members.iter().filter(|m| m.index != member.index);
        let mut others = others;
        others.any(|m| m.log.borrow().iter().rev().take(200).any(|e| e == entry))
    }

    /// Crashes the process of a member; its object is removed from the store after
    /// `OBJECT_EXPIRY_MS`.
    pub fn crash(&self, i: usize) {
        let member = &self.members[i];
        member.up.set(false);
        member.incarnation.set(member.incarnation.get() + 1);
        let id = member.id.borrow().clone();
        let store = self.store.clone();
        monoio::spawn(async move {
            sleep_ms(OBJECT_EXPIRY_MS).await;
            store.remove("servers", &id);
        });
    }

    /// Restarts a crashed member under a new identifier, with its log but without its sessions and
    /// its fence. It is the primary if it was the last one promoted. Without effect on a running
    /// member.
    pub fn restart(&self, i: usize) {
        let member = &self.members[i];
        if member.up.get() {
            return;
        }
        self.restarts.set(self.restarts.get() + 1);
        let id = format!("{}-{i}-{}", self.name, self.restarts.get());
        member.id.replace(id.into());
        self.restart_in_place(i);
    }

    /// As `restart`, under the same identifier. The crash must not be more recent than the removal of
    /// its object from the store, which would remove the new one.
    pub fn restart_in_place(&self, i: usize) {
        let member = &self.members[i];
        if member.up.get() {
            return;
        }
        member.fenced_term.set(0);
        member.is_primary.set(self.primary.get() == i);
        member.up.set(true);
        self.publish(member);
    }

    /// Announces in the store that a member is draining, or that it is ready again. A member that is
    /// down announces it when it restarts.
    pub fn set_draining(&self, i: usize, draining: bool) {
        let member = &self.members[i];
        member.draining.set(draining);
        if member.up.get() {
            self.publish(member);
        }
    }
}

impl Member {
    fn new(group: &str, index: usize, addr: SocketAddr) -> Member {
        Member {
            id: RefCell::new(format!("{group}-{index}").into()),
            addr,
            up: Cell::new(true),
            unresponsive: Cell::new(false),
            incarnation: Cell::new(0),
            term: Cell::new(1),
            is_primary: Cell::new(index == 0),
            fenced_term: Cell::new(0),
            log: RefCell::default(),
            applied_len: Cell::new(0),
            apply_paused: Cell::new(false),
            receive_paused: Cell::new(false),
            draining: Cell::new(false),
            blocked_daemons: RefCell::default(),
            unreachable_members: RefCell::default(),
            admitted: Cell::new(0),
            busy_slots: Cell::new(0),
            conns: Cell::new(0),
            accepted_conns: Cell::new(0),
            peak_conns: Cell::new(0),
            refused_conns: Cell::new(0),
            conn_names: RefCell::default(),
            runs: RefCell::default(),
            slowdown: Cell::new(1),
            slot_freed: Signal::default(),
            index,
        }
    }

    /// Copies the log of a primary, dropping entries that diverge from it.
    fn copy_log(&self, primary: &Member) {
        let theirs = primary.log.borrow();
        let mut mine = self.log.borrow_mut();
        let mut common_len = mine.len().min(theirs.len());
        while common_len > 0 && mine[common_len - 1] != theirs[common_len - 1] {
            common_len -= 1;
        }
        mine.truncate(common_len);
        mine.extend(theirs[common_len..].iter().cloned());
        self.applied_len.set(self.applied_len.get().min(mine.len()));
    }
}

/// Replicates logs within a group as long as the test runs.
async fn replicate(group: Rc<Group>) {
    loop {
        sleep_ms(REPLICATION_INTERVAL_MS).await;
        let mut changed = false;
        for (i, replica) in group.members.iter().enumerate() {
            if replica.is_primary.get() || !replica.is_responsive() {
                continue;
            }
            // A replica follows the reachable primary with the highest term, unless it knows a
            // newer term.
            let candidates = group.members.iter().enumerate();
            let newest = candidates
                .filter(|(l, m)| m.is_primary.get() && group.are_connected(i, *l))
                .filter(|(_, m)| m.term.get() >= replica.term.get())
                .max_by_key(|(_, m)| m.term.get());
            if let Some((_, primary)) = newest
                && replica.fenced_term.get() == 0
                && !replica.receive_paused.get()
            {
                replica.term.set(primary.term.get());
                if replica.received_pos() != primary.received_pos() {
                    replica.copy_log(primary);
                    changed = true;
                }
            }
            if !replica.apply_paused.get() {
                replica.applied_len.set(replica.log.borrow().len());
            }
        }
        if changed {
            group.log_changed.notify();
        }
    }
}
