//! A group of members: logs, replication, promotions, crashes.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use base::{Ms, Signal};
use monoio::net::TcpListener;
use schema::Pos;
use serde_json::json;

use crate::store::Store;
use crate::{member, sleep_ms};

/// Members of a group.
const MEMBER_COUNT: usize = 3;
/// Silence after which an entry is removed, in ms.
const ENTRY_EXPIRY_MS: u64 = 3600;
/// Time after which an old primary that reaches the new one steps down, in ms.
const STEP_DOWN_AFTER_MS: u64 = 1000;
/// Period of replication, in ms.
const REPLICATION_INTERVAL_MS: u64 = 2;

/// A commit.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Where it stands.
    pub pos: Pos,
    /// What was written, as item and data.
    pub writes: Rc<Vec<(Box<str>, Box<str>)>>,
}

/// One member.
pub struct Member {
    /// Its identifier, which changes when it comes back from a crash.
    pub id: RefCell<Box<str>>,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether its process runs.
    pub up: Cell<bool>,
    /// Whether its VM answers nothing.
    pub dark: Cell<bool>,
    /// Grows with each crash; connections of a former life end.
    pub incarnation: Cell<u64>,
    /// Term that it knows.
    pub term: Cell<u64>,
    /// Whether it leads that term, as far as it knows.
    pub is_primary: Cell<bool>,
    /// Term of the change that it is fenced for, or 0.
    pub fenced_term: Cell<u64>,
    /// Its log, applied or not.
    pub log: RefCell<Vec<Entry>>,
    /// Entries that are applied.
    pub applied_len: Cell<usize>,
    /// Whether it applies nothing for now.
    pub lags: Cell<bool>,
    /// Whether it receives nothing for now.
    pub deaf: Cell<bool>,
    /// Whether it is leaving.
    pub draining: Cell<bool>,
    /// Daemons whose bytes do not reach it, or whose answers are lost with `true`.
    pub cut: RefCell<HashMap<Box<str>, bool>>,
    /// Other members that it cannot reach, by index.
    pub apart: RefCell<HashSet<usize>>,
    /// Statements that run or wait for a slot.
    pub admitted: Cell<u64>,
    /// Statements that hold a slot.
    pub busy_slots: Cell<u64>,
    /// Connections.
    pub conns: Cell<u64>,
    /// Factor on the time of a statement.
    pub slow: Cell<u64>,
    /// Notified when a slot is free.
    pub slot_freed: Signal,
    index: usize,
}

/// A group.
pub struct Group {
    /// Its name.
    pub name: Box<str>,
    /// Its members.
    pub members: Vec<Rc<Member>>,
    /// Newest term.
    pub term: Cell<u64>,
    /// Index of the newest primary.
    pub primary: Cell<usize>,
    /// Notified when logs grow.
    pub log_changed: Signal,
    /// Identifiers of statements that members were sent.
    pub heard: RefCell<HashSet<Box<str>>>,
    promote_ms: u64,
    /// Number of the promotion under way; a later one replaces it.
    pending_promotion: Cell<u64>,
    store: Rc<Store>,
    weak_self: Weak<Group>,
    restarts: Cell<u64>,
}

impl Member {
    /// Position of its log, applied or not.
    pub fn received_pos(&self) -> Pos {
        let zero = Pos { term: 1, log: 0 };
        self.log.borrow().last().map_or(zero, |e| e.pos)
    }

    /// Position that it has applied.
    pub fn applied_pos(&self) -> Pos {
        let zero = Pos { term: 1, log: 0 };
        let log = self.log.borrow();
        let last = self.applied_len.get().min(log.len()).checked_sub(1);
        last.map_or(zero, |i| log[i].pos)
    }

    /// Whether it can talk.
    pub fn is_responsive(&self) -> bool {
        self.up.get() && !self.dark.get()
    }
}

impl Group {
    /// Starts a group; the first member leads.
    pub fn start(name: &str, promote_ms: u64, store: &Rc<Store>) -> Rc<Group> {
        let listeners: Vec<TcpListener> = (0..MEMBER_COUNT)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
            .collect();
        let group = Rc::new_cyclic(|weak_self| Group {
            name: name.into(),
            members: listeners
                .iter()
                .enumerate()
                .map(|(i, l)| Rc::new(Member::new(name, i, l.local_addr().expect("bound"))))
                .collect(),
            term: Cell::new(1),
            primary: Cell::new(0),
            log_changed: Signal::default(),
            heard: RefCell::default(),
            promote_ms,
            pending_promotion: Cell::new(0),
            store: store.clone(),
            weak_self: weak_self.clone(),
            restarts: Cell::new(0),
        });
        for (member, listener) in group.members.iter().zip(listeners) {
            monoio::spawn(member::accept(group.clone(), member.clone(), listener));
            group.publish(member);
        }
        monoio::spawn(replicate(group.clone()));
        group
    }

    /// Writes a member's entry.
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

    /// Orders a promotion, which has its effect later.
    pub fn promote(&self, id: &str) -> bool {
        let Some(i) = self.members.iter().position(|m| **m.id.borrow() == *id) else {
            return false;
        };
        if !self.members[i].up.get() {
            return false;
        }
        if self.primary.get() == i {
            return true;
        }
        self.pending_promotion.set(self.pending_promotion.get() + 1);
        let promotion = self.pending_promotion.get();
        let Some(group) = self.weak_self.upgrade() else {
            return false;
        };
        monoio::spawn(async move {
            sleep_ms(group.promote_ms).await;
            if group.pending_promotion.get() == promotion && group.members[i].up.get() {
                group.complete_promotion(i);
            }
        });
        true
    }

    fn complete_promotion(&self, i: usize) {
        self.term.set(self.term.get() + 1);
        self.primary.set(i);
        for member in &self.members {
            member.fenced_term.set(0);
        }
        let new = &self.members[i];
        new.term.set(self.term.get());
        new.is_primary.set(true);
        new.applied_len.set(new.log.borrow().len());
        self.publish(new);
        if let Some(group) = self.weak_self.upgrade() {
            monoio::spawn(async move { group.step_down(i).await });
        }
    }

    /// Makes old primaries replicas once they have reached the new one for a while.
    async fn step_down(&self, new: usize) {
        let mut since: HashMap<usize, Ms> = HashMap::new();
        while self.primary.get() == new {
            sleep_ms(20).await;
            for (i, old) in self.members.iter().enumerate() {
                if i == new || !old.is_primary.get() {
                    continue;
                }
                if self.are_connected(i, new) {
                    let at = *since.entry(i).or_insert_with(Ms::now);
                    if at.elapsed() >= STEP_DOWN_AFTER_MS {
                        self.demote(old);
                    }
                } else {
                    since.remove(&i);
                }
            }
        }
    }

    /// Makes a member a replica.
    pub fn demote(&self, member: &Member) {
        if member.is_primary.replace(false) {
            self.publish(member);
        }
    }

    /// Whether two members reach each other.
    pub fn are_connected(&self, a: usize, b: usize) -> bool {
        let (x, y) = (&self.members[a], &self.members[b]);
        let apart = x.apart.borrow().contains(&b) || y.apart.borrow().contains(&a);
        x.is_responsive() && y.is_responsive() && !apart
    }

    /// Appends a commit on a primary; it is acknowledged once a replica has it.
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

    /// Whether a member other than this one holds a commit.
    pub fn is_replicated(&self, member: &Member, entry: &Entry) -> bool {
        let others = self.members.iter().filter(|m| m.index != member.index);
        let mut others = others;
        others.any(|m| m.log.borrow().iter().rev().take(200).any(|e| e == entry))
    }

    /// Ends a member's process.
    pub fn crash(&self, i: usize) {
        let member = &self.members[i];
        member.up.set(false);
        member.incarnation.set(member.incarnation.get() + 1);
        let id = member.id.borrow().clone();
        let store = self.store.clone();
        monoio::spawn(async move {
            sleep_ms(ENTRY_EXPIRY_MS).await;
            store.remove("servers", &id);
        });
    }

    /// Starts a member's process again, with its log and without anything else.
    pub fn revive(&self, i: usize) {
        let member = &self.members[i];
        if member.up.get() {
            return;
        }
        self.restarts.set(self.restarts.get() + 1);
        let id = format!("{}-{i}-{}", self.name, self.restarts.get());
        member.id.replace(id.into());
        member.fenced_term.set(0);
        member.is_primary.set(self.primary.get() == i);
        member.up.set(true);
        self.publish(member);
    }

    /// Announces that a member will leave, or that it stays.
    pub fn drain(&self, i: usize, draining: bool) {
        self.members[i].draining.set(draining);
        self.publish(&self.members[i]);
    }
}

impl Member {
    fn new(group: &str, index: usize, addr: SocketAddr) -> Member {
        Member {
            id: RefCell::new(format!("{group}-{index}").into()),
            addr,
            up: Cell::new(true),
            dark: Cell::new(false),
            incarnation: Cell::new(0),
            term: Cell::new(1),
            is_primary: Cell::new(index == 0),
            fenced_term: Cell::new(0),
            log: RefCell::default(),
            applied_len: Cell::new(0),
            lags: Cell::new(false),
            deaf: Cell::new(false),
            draining: Cell::new(false),
            cut: RefCell::default(),
            apart: RefCell::default(),
            admitted: Cell::new(0),
            busy_slots: Cell::new(0),
            conns: Cell::new(0),
            slow: Cell::new(1),
            slot_freed: Signal::default(),
            index,
        }
    }

    /// Takes over a primary's log, dropping what that one lacks.
    fn copy_log(&self, primary: &Member) {
        let theirs = primary.log.borrow();
        let mut mine = self.log.borrow_mut();
        let mut same = mine.len().min(theirs.len());
        while same > 0 && mine[same - 1] != theirs[same - 1] {
            same -= 1;
        }
        mine.truncate(same);
        mine.extend(theirs[same..].iter().cloned());
        self.applied_len.set(self.applied_len.get().min(mine.len()));
    }
}

async fn replicate(group: Rc<Group>) {
    loop {
        sleep_ms(REPLICATION_INTERVAL_MS).await;
        let mut grew = false;
        for (i, replica) in group.members.iter().enumerate() {
            if replica.is_primary.get() || !replica.is_responsive() {
                continue;
            }
            // A replica follows the newest primary that it reaches.
            let leaders = group.members.iter().enumerate();
            let leader = leaders
                .filter(|(l, m)| m.is_primary.get() && group.are_connected(i, *l))
                .filter(|(_, m)| m.term.get() >= replica.term.get())
                .max_by_key(|(_, m)| m.term.get());
            if let Some((_, primary)) = leader
                && replica.fenced_term.get() == 0
                && !replica.deaf.get()
            {
                replica.term.set(primary.term.get());
                if replica.received_pos() != primary.received_pos() {
                    replica.copy_log(primary);
                    grew = true;
                }
            }
            if !replica.lags.get() {
                replica.applied_len.set(replica.log.borrow().len());
            }
        }
        if grew {
            group.log_changed.notify();
        }
    }
}
