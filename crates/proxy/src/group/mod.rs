//! A group: its members, the lease on its primary, and its wait queue.

mod account_conns;
mod conns;
mod control_conns;
mod dispatch;
mod fence_set;
mod opener;
mod orders;
mod queue_stats;
mod recorded;
mod routes;
mod wait_queue;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::{Rc, Weak};

use base::{Event, Ms, Signal, emit};
use schema::Pos;

use crate::failure_detector::PrimaryHealth;
use crate::owner_set::OwnerSet;
use crate::promotion_order::OrderLog;
use crate::{
    Accounts, Codec, GroupRule, History, Leader, Lease, Member, MemberRecord, Peers, ProbeResult,
    Reply, Role, Settings, Status,
};

use queue_stats::QueueStats;
use recorded::Recorded;
pub use routes::RouteKey;
use routes::RouteStats;
use wait_queue::Waiter;
pub(crate) use wait_queue::{ConnRequest, Refusal};

/// Time without a lease from which statements for the primary are refused at once, in ms.
const MAX_LEASE_WAIT_MS: u64 = 900;
/// As `MAX_LEASE_WAIT_MS`, while a primary change is in progress or no member has reported its term
/// yet.
const MAX_LEASE_WAIT_IN_CHANGE_MS: u64 = 2500;
/// Time without an answer from which a member counts as unreachable from this VM, in ms.
const UNREACHABLE_SILENCE_MS: u64 = 500;

/// A group of replicated members.
pub struct Group {
    pub name: Box<str>,
    /// Settings of the group.
    pub rule: RefCell<GroupRule>,
    /// Members, including removed ones while they still have connections or matter for a primary
    /// change.
    pub members: RefCell<Vec<Rc<Member>>>,
    /// Position samples of the primary.
    pub history: RefCell<History>,
    /// Notified after each status response, failed attempt to connect, and update of a member.
    pub changed: Signal,
    /// Notified when a member is to be put on record.
    pub(crate) record_due: Signal,
    /// When a status response last arrived while a primary was known; at first, when the first member
    /// was listed, and `None` before that: a daemon that knows no member has not seen that there is no
    /// primary, however long it has run.
    pub no_primary_since: Cell<Option<Ms>>,
    recorded: Recorded,
    /// The member that has last reported to be the primary, and its term.
    last_primary: RefCell<Option<(Box<str>, u64)>>,
    /// The orders of promotions that were last on record.
    pub(crate) order_log: RefCell<OrderLog>,
    /// Identifiers of members whose address has another member now. They do not run any more, so that
    /// the platform refuses orders for them.
    replaced_ids: RefCell<HashSet<Box<str>>>,
    /// Highest term of a change of primary for which a member has been seen fenced.
    fence_seen: Cell<u64>,
    /// `fence_seen` when the record of changes was last read; `None` before.
    record_read: Cell<Option<u64>>,
    /// Highest term that a member was ordered to lead which is not known not to have led it.
    ordered_term: Cell<u64>,
    /// When the newest term was first seen; at first, the creation of the group.
    pub(crate) term_since: Cell<Ms>,
    /// Whether this daemon is an owner of the group.
    pub is_owner: Cell<bool>,
    /// Until when this daemon serves the group as a stand-in, also without sessions: short sessions would
    /// else each find no lease.
    stand_in_until: Cell<Ms>,
    /// When this daemon last began to serve the group.
    served_since: Cell<Ms>,
    /// Whether no change of primary can succeed until a departed member comes back or an operator
    /// gives its commits up.
    pub is_blocked: Cell<bool>,
    /// The owners of the group; `None` before they were first needed.
    pub(crate) owner_set: RefCell<Option<Rc<OwnerSet>>>,
    /// Number of sessions on this group that this daemon serves.
    pub sessions: Cell<u64>,
    /// Number of these sessions that end once they are between transactions, because the group has
    /// other owners.
    pub(crate) sessions_to_end: Cell<u64>,
    /// Send times of single writes and of commits that await an answer.
    pub pending_writes: RefCell<Vec<Ms>>,
    accounts: Rc<Accounts>,
    /// Other daemons, through which a tunnel to a member can be opened.
    peers: Rc<Peers>,
    /// Name of this VM.
    vm: Box<str>,
    /// Data centre of this VM.
    pub(crate) data_center: Box<str>,
    /// Time for which a member takes new statements after it has announced that it leaves, in ms.
    drain_ms: u64,
    pub(crate) codec: Codec,
    waiters: RefCell<Vec<Rc<Waiter>>>,
    queue_stats: QueueStats,
    /// When this daemon learnt of the group.
    created_at: Ms,
    /// First position that a leased primary reported to this daemon. It includes every commit that
    /// was confirmed by members which had left before this daemon started.
    first_pos: Cell<Option<Pos>>,
    /// The routes that have sent statements, reads and writes apart; indexed by `RouteKey`.
    routes: RefCell<Vec<RouteStats>>,
    lease_state: RefCell<Lease>,
    had_lease: Cell<bool>,
    weak_self: Weak<Group>,
}

impl Group {
    /// Creates a group without members.
    pub fn new(
        rule: GroupRule,
        settings: &Settings,
        codec: Codec,
        peers: &Rc<Peers>,
        accounts: &Rc<Accounts>,
    ) -> Rc<Group> {
        Rc::new_cyclic(|weak| Group {
            name: rule.name.clone(),
            rule: RefCell::new(rule),
            members: RefCell::default(),
            history: RefCell::default(),
            changed: Signal::default(),
            record_due: Signal::default(),
            recorded: Recorded::default(),
            no_primary_since: Cell::new(None),
            last_primary: RefCell::default(),
            order_log: RefCell::new(OrderLog::new(&settings.name)),
            replaced_ids: RefCell::default(),
            fence_seen: Cell::new(0),
            record_read: Cell::new(None),
            ordered_term: Cell::new(0),
            term_since: Cell::new(Ms::now()),
            is_owner: Cell::new(false),
            stand_in_until: Cell::default(),
            served_since: Cell::default(),
            is_blocked: Cell::new(false),
            owner_set: RefCell::default(),
            sessions: Cell::new(0),
            sessions_to_end: Cell::new(0),
            pending_writes: RefCell::default(),
            accounts: accounts.clone(),
            peers: peers.clone(),
            vm: settings.name.clone(),
            data_center: settings.data_center.clone(),
            drain_ms: settings.drain_ms,
            codec,
            waiters: RefCell::default(),
            queue_stats: QueueStats::default(),
            created_at: Ms::now(),
            first_pos: Cell::new(None),
            routes: RefCell::default(),
            lease_state: RefCell::default(),
            had_lease: Cell::new(false),
            weak_self: weak.clone(),
        })
    }

    /// Updates a member from its record on the platform; `None` means that the platform no longer lists
    /// it. The record was written after `earliest`; `None` if that is unknown.
    pub fn update_member(
        &self,
        id: &str,
        record: Option<&MemberRecord>,
        earliest: impl Into<Option<Ms>>,
    ) {
        let earliest = earliest.into();
        let known = self.member(id);
        match (known, record) {
            (Some(member), Some(record)) if member.addr == record.addr => {
                let started_at = member.record.borrow().started_at;
                if started_at != record.started_at {
                    self.on_restart(&member, started_at);
                }
                member.removed.set(false);
                member.final_pos.set(None);
                member.update_record(record, earliest);
            }
            (_, Some(record)) => {
                let replaced = self.take_replaced(record);
                let member = Rc::new(Member::new(record.clone(), earliest));
                self.members.borrow_mut().push(member.clone());
                for former in replaced {
                    if former.id != member.id {
                        let mut replaced_ids = self.replaced_ids.borrow_mut();
                        replaced_ids.insert(former.id.clone());
                    }
                    self.on_replaced(&former, &member);
                }
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
            (None, None) => {
                if self.unknown_on_record().iter().any(|r| **r == *id) {
                    self.add_departed(id);
                }
                return;
            }
        }
        if let Some(record) = record {
            self.recorded.unsettle(&record.id);
            let since = self.no_primary_since.get().unwrap_or_else(Ms::now);
            self.no_primary_since.set(Some(since));
            emit(
                Event::MemberChanged,
                &[
                    ("group", &self.name),
                    ("member", &record.id),
                    ("draining", &record.draining),
                    ("role", &format!("{:?}", record.role)),
                    ("born", &record.started_at),
                ],
            );
        }
        self.update_missing();
        self.notify();
    }

    /// Takes out the members that a new one replaces: a member that has moved or was substituted has the
    /// identifier or the address of its predecessor.
    fn take_replaced(&self, record: &MemberRecord) -> Vec<Rc<Member>> {
        let is_replaced = |m: &mut Rc<Member>| m.addr == record.addr || m.id == record.id;
        let mut members = self.members.borrow_mut();
        members.extract_if(.., is_replaced).collect()
    }

    pub fn member(&self, id: &str) -> Option<Rc<Member>> {
        let members = self.members.borrow();
        members.iter().find(|m| &*m.id == id).cloned()
    }

    /// Members that the platform currently lists.
    pub fn listed(&self) -> Vec<Rc<Member>> {
        let members = self.members.borrow();
        members
            .iter()
            .filter(|m| !m.removed.get())
            .cloned()
            .collect()
    }

    /// Newest term in the members' valid probe results and on record; 0 if there are none. The leader
    /// on record may be away, and the others need not have heard of its term.
    pub fn newest_term(&self) -> u64 {
        self.led_term().max(self.ordered_term.get())
    }

    /// As `newest_term`, without terms that a member was only ordered to lead.
    pub(crate) fn led_term(&self) -> u64 {
        let members = self.members.borrow();
        let probes = members.iter().filter_map(|m| m.last_probe.get());
        let reported = probes.map(|p| p.term).max().unwrap_or(0);
        reported.max(self.recorded_term())
    }

    /// The member that reports that it is the primary of the newest term; a removed one only if no
    /// listed one does.
    pub fn primary(&self) -> Option<Rc<Member>> {
        let term = self.newest_term();
        let is_primary = |m: &&Rc<Member>| {
            let probe = m.last_probe.get();
            probe.is_some_and(|p| p.role == Role::Primary && p.term == term)
        };
        let members = self.members.borrow();
        let listed = members.iter().filter(|m| !m.removed.get()).find(is_primary);
        listed.or_else(|| members.iter().find(is_primary)).cloned()
    }

    /// Instant until which the lease allows the use of the primary.
    pub fn lease_until(&self) -> Ms {
        self.lease_state.borrow().until(self.newest_term())
    }

    /// Instant until which new statements may be sent to the primary: the end of the lease, or
    /// earlier if the primary leaves, a member is not on record, or an order for another member may
    /// still take effect.
    pub fn primary_until(&self) -> Ms {
        let lease = self.lease_until().min(self.recorded_until());
        let lease = lease.min(self.orders_until());
        let closes_at = self.primary().and_then(|p| p.closes_at(self.drain_ms));
        closes_at.map_or(lease, |at| at.min(lease))
    }

    /// Whether the lease would survive the loss of any one replica.
    pub fn is_lease_redundant(&self, now: Ms) -> bool {
        self.lease_state
            .borrow()
            .is_redundant(&self.lease_replicas(), now)
    }

    /// Health of the primary as observed by this daemon, for the failure detector.
    pub fn primary_health(&self) -> PrimaryHealth {
        let primary = self.primary();
        let listed = self.listed();
        let presumed_primary = listed.iter().find(|m| m.is_presumed_primary());
        let reachable = listed
            .iter()
            .filter(|m| m.unreachable_since.get().is_none() && m.last_probe.get().is_some());
        let oldest_write = self.pending_writes.borrow().iter().min().copied();
        PrimaryHealth {
            has_primary: primary.is_some() || presumed_primary.is_some(),
            role_unknown: listed
                .iter()
                .any(|m| m.last_probe.get().is_none() && m.unreachable_since.get().is_none()),
            no_primary_since: self.no_primary_since.get(),
            change_in_progress: listed.iter().any(|m| m.is_fenced()),
            draining: primary.as_ref().is_some_and(|p| p.record.borrow().draining),
            removed: primary.as_ref().is_some_and(|p| p.removed.get()),
            unreachable_since: primary
                .as_ref()
                .or(presumed_primary)
                .and_then(|p| p.unreachable_since.get()),
            conns_refused: primary
                .as_ref()
                .or(presumed_primary)
                .is_some_and(|p| p.conns_refused.get()),
            oldest_write,
            replicas: reachable.count().saturating_sub(1),
        }
    }

    /// A position on the branch of the newest term, as `History::on_branch`.
    pub fn on_branch(&self, pos: Pos) -> Pos {
        self.history.borrow().on_branch(pos)
    }

    /// Handles a status response of a member: updates its state and the lease.
    ///
    /// The probe was sent at `sent_at`; the member has not restarted since `up_since`.
    pub fn on_status(&self, member: &Member, status: &Status, sent_at: Ms, up_since: Ms) {
        let previous = member.last_probe.get();
        if status.term > self.newest_term() {
            self.term_since.set(Ms::now());
        }
        self.fence_seen
            .set(self.fence_seen.get().max(status.fenced));
        if status.fenced > 0 && self.record_read.get().is_some() {
            // A later change for the same term may have begun since it was read.
            self.record_read.set(Some(0));
        }
        if status.fenced == 0 {
            member.fenced_since.set(None);
        } else if member.fenced_since.get().is_none() {
            member.fenced_since.set(Some(sent_at));
        }
        self.check_log(member, status);
        member.record_status(status);
        let probe = ProbeResult {
            sent_at,
            received_at: Ms::now(),
            role: status.role,
            term: status.term,
            fenced: status.fenced,
            up_since,
        };
        member.last_probe.set(Some(probe));
        if status.role == Role::Primary {
            let mut history = self.history.borrow_mut();
            history.begin_term(status.term, status.received);
            let mut last_primary = self.last_primary.borrow_mut();
            if last_primary.as_ref().is_none_or(|l| l.1 < status.term) {
                self.record_due.notify();
            }
            if last_primary.as_ref().is_none_or(|l| l.1 <= status.term) {
                last_primary.replace((member.id.clone(), status.term));
                self.order_log.borrow_mut().on_leader(&Leader {
                    term: status.term,
                    id: member.id.clone(),
                });
            }
        }
        self.settle_former_orders();
        let replicas = self.lease_replicas();
        self.lease_state
            .borrow_mut()
            .record(member.key, probe, &replicas);
        let unchanged = previous.is_some_and(|p| p.role == status.role && p.term == status.term);
        if !unchanged {
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
            self.no_primary_since.set(Some(Ms::now()));
        }
        let has_lease = self.lease_until().left() > 0;
        if has_lease != self.had_lease.replace(has_lease) {
            let event = if has_lease {
                Event::LeaseRestored
            } else {
                Event::LeaseLost
            };
            emit(event, &[("group", &self.name), ("member", &member.id)]);
        }
        self.notify();
    }

    /// Records the position in a reply to a request sent at `sent_at`; under a lease, the primary's
    /// position becomes a position sample.
    pub fn on_reply(&self, member: &Rc<Member>, sent_at: Ms, reply: &Reply) {
        let Some(pos) = reply.pos else { return };
        member.record_position(pos);
        let is_primary = self.primary().is_some_and(|p| Rc::ptr_eq(&p, member));
        if is_primary && pos.term == self.newest_term() && sent_at <= self.lease_until() {
            self.history.borrow_mut().add(sent_at, pos);
            self.record_final_pos(sent_at, pos);
            if self.first_pos.get().is_none() {
                self.first_pos.set(Some(pos));
            }
        }
    }

    /// Assigns idle connections to waiters, and notifies tasks of a change of the group's state.
    pub fn notify(&self) {
        self.dispatch();
        self.changed.notify();
    }

    /// Resets the silence and the unreachability of all members, so that a stall of this process is
    /// not taken for a failure of the members.
    pub fn reset_failure_signs(&self) {
        let now = Ms::now();
        for member in self.members.borrow().iter() {
            member.silent_since.set(now);
            member.unreachable_since.set(None);
        }
    }

    /// Number of listed members, and how many of them are unreachable.
    pub fn count_unreachable(&self) -> (usize, usize) {
        let now = Ms::now();
        let listed = self.listed();
        let unreachable = listed.iter().filter(|m| {
            m.unreachable_since.get().is_some() || m.silent_for(now) >= UNREACHABLE_SILENCE_MS
        });
        (listed.len(), unreachable.count())
    }

    /// Whether this daemon serves the group, as an owner, as a stand-in or because of open sessions.
    pub fn is_served(&self) -> bool {
        self.is_owner.get() || self.sessions.get() > 0 || self.is_stood_in()
    }

    /// Whether this daemon has lately served a session because no owner answered.
    pub(crate) fn is_stood_in(&self) -> bool {
        self.stand_in_until.get().left() > 0
    }

    /// Sets until when this daemon serves the group as a stand-in.
    pub(crate) fn set_stand_in_until(&self, until: Ms) {
        self.begin_service();
        self.stand_in_until.set(until);
    }

    /// Notes that this daemon is about to serve the group: the time before says nothing of its primary.
    pub(crate) fn begin_service(&self) {
        if !self.is_served() {
            self.served_since.set(Ms::now());
        }
    }

    /// Whether a session that is between transactions ends now, because the group has other owners.
    pub(crate) fn takes_leave(&self) -> bool {
        let left = self.sessions_to_end.get();
        self.sessions_to_end.set(left.saturating_sub(1));
        left > 0
    }

    /// Whether no primary has been usable for so long that statements for it are refused.
    pub fn is_primary_unavailable(&self) -> bool {
        let now = Ms::now();
        let until = self.primary_until();
        if until > now {
            return false;
        }
        let served_since = self.created_at.max(self.served_since.get());
        let lost_for = now.0 - until.max(served_since).0;
        let recovering = self.primary_health().change_in_progress || self.newest_term() == 0;
        lost_for
            > if recovering {
                MAX_LEASE_WAIT_IN_CHANGE_MS
            } else {
                MAX_LEASE_WAIT_MS
            }
    }
}
