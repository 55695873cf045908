//! Connection pool of a group: opens, probes and trims connections to its members.

use std::rc::Rc;

use base::{Event, Ms, emit};

use super::Group;
use crate::routing::Requirement;
use crate::{Command, Conn, ConnError, ConnSlot, ErrorKind, Member, Purpose};

/// Timeout for opening a connection, in ms.
pub(super) const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time without an answer from a member after which a new connection to it is tried, directly and
/// through a tunnel, in ms.
const SILENCE_PROBE_MS: u64 = 300;
/// Delay after a failed attempt to open a connection, in ms.
const CONNECT_RETRY_MS: u64 = 150;
/// Longest delay after refusals in a row, in ms.
const MAX_REFUSAL_BACKOFF_MS: u64 = 600;
/// Number of open connections to a member up to which no idle one is closed.
const KEPT_CONNS: u64 = 2;
/// As `KEPT_CONNS`, for a member that has at most one free connection left.
const KEPT_CONNS_NEARLY_FULL: u64 = 1;
/// Idle time after which surplus connections to a nearly full member are closed, in ms.
pub(super) const IDLE_TIMEOUT_NEARLY_FULL_MS: u64 = 300;
/// Maximum number of connections to one member that are opened for waiting statements.
const MAX_CONNS_PER_MEMBER: u64 = 8;
/// Idle time after which surplus connections to a member are closed, in ms.
const IDLE_TIMEOUT_MS: u64 = 3000;

impl Group {
    /// Opens connections to the members that are eligible for a waiting statement, where no client
    /// accounts are in force.
    pub(super) fn open_for(&self, requirement: Requirement) {
        let now = Ms::now();
        let members = self.members.borrow().clone();
        for member in members
            .iter()
            .filter(|m| self.is_eligible(m, requirement, now))
        {
            if self.may_open(member) {
                self.open(member, Purpose::Statements(None));
            }
        }
    }

    /// Whether a new connection to a member may be opened: the more connections this daemon has,
    /// the more of the member's must be left for other daemons.
    fn may_open(&self, member: &Member) -> bool {
        let own = member.open_conns.get();
        if !may_try_to_open(member) {
            return false;
        }
        let member_limit = self.rule.borrow().conns;
        let used = member.status.get().map_or(0, |s| s.conns);
        match own {
            0 => true,
            1 => used < member_limit * 3 / 4,
            n => n < MAX_CONNS_PER_MEMBER && used < member_limit / 2,
        }
    }

    /// Keeps at least one connection to a member open that control commands can use, and opens another
    /// when the member is silent.
    pub fn ensure_conn(&self, member: &Rc<Member>) {
        let silent = member.silent_for(Ms::now()) >= SILENCE_PROBE_MS
            && member.unreachable_since.get().is_none();
        let probe = silent && !member.opening.get() && !member.removed.get();
        if probe || (self.lacks_control_conn(member) && may_try_to_open(member)) {
            self.open(member, self.control_purpose());
        }
    }

    pub(super) fn open(&self, member: &Rc<Member>, purpose: Purpose) {
        let Some(group) = self.weak_self.upgrade() else {
            return;
        };
        let is_control = purpose == self.control_purpose();
        if is_control {
            member.opening.set(true);
        }
        let slot = ConnSlot::new(member.clone(), purpose);
        let member = member.clone();
        if member.unreachable_since.get().is_some()
            || member.silent_for(Ms::now()) >= SILENCE_PROBE_MS
        {
            monoio::spawn(group.clone().open_tunnel(member.clone(), purpose));
        }
        monoio::spawn(async move {
            let name = group.conn_name(purpose);
            let result = Conn::open(slot, group.codec, &name, CONNECT_TIMEOUT_MS).await;
            if is_control {
                member.opening.set(false);
            }
            match result {
                Ok(conn) => group.on_connected(conn).await,
                Err(e) => group.on_connect_failed(&member, &e),
            }
        });
    }

    /// Opens a connection to a silent or unreachable member through a tunnel over another daemon.
    async fn open_tunnel(self: Rc<Self>, member: Rc<Member>, purpose: Purpose) {
        let is_control = purpose == self.control_purpose();
        if is_control && member.tunneling.replace(true) {
            return;
        }
        let slot = ConnSlot::new(member.clone(), purpose);
        let result = self.open_through_peer(slot).await;
        if is_control {
            member.tunneling.set(false);
        }
        // A tunnel that cannot be opened says nothing about the member.
        if let Ok(conn) = result {
            emit(
                Event::TunnelOpened,
                &[("group", &self.name), ("member", &member.id)],
            );
            self.on_connected(conn).await;
        }
    }

    async fn on_connected(&self, mut conn: Conn) {
        let member = conn.member.clone();
        member.refusals.set(0);
        if member.unreachable_since.replace(None).is_some() {
            emit(
                Event::MemberRecovered,
                &[("group", &self.name), ("member", &member.id)],
            );
        }
        if conn.purpose() != self.control_purpose() {
            return self.release(conn);
        }
        match self
            .send_control(&mut conn, &Command::Status, CONNECT_TIMEOUT_MS)
            .await
        {
            Ok(_) => self.release(conn),
            Err(e) => self.on_connect_failed(&member, &e),
        }
    }

    fn on_connect_failed(&self, member: &Rc<Member>, e: &ConnError) {
        let now = Ms::now();
        member.retry_at.set(now.plus(CONNECT_RETRY_MS));
        if let ConnError::Refused(kind, _) = e {
            if *kind == ErrorKind::TooMany {
                let refusals = member.refusals.get();
                member.refusals.set(refusals.saturating_add(1));
                member.retry_at.set(now.plus(refusal_backoff_ms(refusals)));
                self.give_back(member);
            }
            return;
        }
        member.conns_refused.set(e.is_disconnect());
        if member.unreachable_since.get().is_none() {
            // Requests may have been unanswered for longer than the attempt took.
            let silent = member.silent_for(now).max(if e.is_disconnect() {
                0
            } else {
                CONNECT_TIMEOUT_MS
            });
            member
                .unreachable_since
                .set(Some(Ms(now.0.saturating_sub(silent))));
            emit(
                Event::MemberLost,
                &[("group", &self.name), ("member", &member.id), ("cause", e)],
            );
        }
        self.notify();
    }

    /// Handles an error on a connection; after a disconnect, opens a new one if none is left or the
    /// member is silent.
    pub fn on_conn_lost(&self, member: &Rc<Member>, e: &ConnError) {
        if e.is_disconnect() {
            // Other connections to the member are probably lost too; a new one shows whether it is
            // gone.
            self.ensure_conn(member);
        }
        // Another statement may need a connection in place of the lost one.
        if self.accounts.in_force() {
            self.dispatch();
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for member in self.members.borrow().iter() {
            member.idle_conns.borrow_mut().clear();
        }
    }

    /// Closes surplus connections after their idle timeout, and drops removed members that have no
    /// connections and no longer matter for a primary change.
    pub fn trim(&self) {
        for member in self.members.borrow().iter() {
            if self.accounts.in_force() {
                self.trim_by_account(member);
                continue;
            }
            let mut idle = member.idle_conns.borrow_mut();
            let member_limit = self.rule.borrow().conns;
            let nearly_full = member
                .status
                .get()
                .is_some_and(|s| s.conns + 1 >= member_limit);
            let (keep, idle_timeout) = if nearly_full {
                (KEPT_CONNS_NEARLY_FULL, IDLE_TIMEOUT_NEARLY_FULL_MS)
            } else {
                (KEPT_CONNS, IDLE_TIMEOUT_MS)
            };
            while member.open_conns.get() > keep
                && idle
                    .first()
                    .is_some_and(|c| c.idle_since.elapsed() > idle_timeout)
            {
                idle.remove(0);
            }
        }
        let fence_set = self.fence_set(self.primary().as_ref());
        let primary = self.primary();
        self.members.borrow_mut().retain(|m| {
            let is_kept = !m.removed.get()
                || m.open_conns.get() > 0
                || primary.as_ref().is_none_or(|p| p.key == m.key)
                || fence_set.iter().any(|c| c.key == m.key);
            if !is_kept {
                self.recorded.settle(&m.id);
            }
            is_kept
        });
    }
}

/// Delay after a member has refused a connection because it has too many, and `refusals` before it.
/// All daemons that use the member are refused at once, so the delay is random and doubles.
fn refusal_backoff_ms(refusals: u32) -> u64 {
    let backoff_ms = (CONNECT_RETRY_MS << refusals.min(2)).min(MAX_REFUSAL_BACKOFF_MS);
    backoff_ms / 2 + fastrand::u64(..=backoff_ms / 2)
}

fn may_try_to_open(member: &Member) -> bool {
    !member.opening.get() && !member.removed.get() && member.retry_at.get().left() == 0
}
