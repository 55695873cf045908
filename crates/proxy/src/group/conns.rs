//! Connection pool of a group: opens, probes and trims connections to its members.

use std::rc::Rc;

use base::{Event, Ms, emit};

use super::Group;
use crate::routing::Requirement;
use crate::{Command, Conn, ConnError, Member, Rank, ReplyEnd, Status, WireError};

/// Timeout for opening a connection, in ms.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time without an answer from a member after which a new connection to it is tried, directly and
/// through a tunnel, in ms.
const SILENCE_PROBE_MS: u64 = 300;
/// Delay after a failed attempt to open a connection, in ms.
const CONNECT_RETRY_MS: u64 = 150;
/// Number of open connections to a member up to which no idle one is closed.
const KEPT_CONNS: u64 = 2;
/// As `KEPT_CONNS`, for a member that has at most one free connection left.
const KEPT_CONNS_NEARLY_FULL: u64 = 1;
/// Idle time after which surplus connections to a nearly full member are closed, in ms.
const IDLE_TIMEOUT_NEARLY_FULL_MS: u64 = 300;
/// Longest wait for a connection for a control command of the daemon itself, in ms.
const CONTROL_CONN_WAIT_MS: u64 = 150;
/// Maximum number of connections to one member that are opened for waiting statements.
const MAX_CONNS_PER_MEMBER: u64 = 8;
/// Idle time after which surplus connections to a member are closed, in ms.
const IDLE_TIMEOUT_MS: u64 = 3000;

impl Group {
    /// Opens connections to the members that are eligible for a waiting statement.
    pub(super) fn open_for(&self, requirement: Requirement) {
        let now = Ms::now();
        let members = self.members.borrow().clone();
        for member in members
            .iter()
            .filter(|m| self.is_eligible(m, requirement, now))
        {
            if self.may_open(member) {
                self.open(member);
            }
        }
    }

    /// Whether a new connection to a member may be opened: the more connections this daemon has,
    /// the more of the member's must be left for other daemons.
    fn may_open(&self, member: &Member) -> bool {
        let own = member.open_conns.get();
        if member.opening.get() || member.removed.get() || member.retry_at.get().left() > 0 {
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

    /// Keeps at least one connection to a member open, and opens another when the member is silent.
    pub fn ensure_conn(&self, member: &Rc<Member>) {
        let silent = member.silent_for(Ms::now()) >= SILENCE_PROBE_MS
            && member.unreachable_since.get().is_none();
        let probe = silent && !member.opening.get() && !member.removed.get();
        if probe || (member.open_conns.get() == 0 && self.may_open(member)) {
            self.open(member);
        }
    }

    fn open(&self, member: &Rc<Member>) {
        let Some(group) = self.weak_self.upgrade() else {
            return;
        };
        member.opening.set(true);
        let member = member.clone();
        if member.unreachable_since.get().is_some()
            || member.silent_for(Ms::now()) >= SILENCE_PROBE_MS
        {
            monoio::spawn(group.clone().open_tunnel(member.clone()));
        }
        monoio::spawn(async move {
            let result =
                Conn::open(member.clone(), group.codec, &group.vm, CONNECT_TIMEOUT_MS).await;
            member.opening.set(false);
            match result {
                Ok(conn) => group.on_connected(conn).await,
                Err(e) => group.on_connect_failed(&member, &e),
            }
        });
    }

    /// Opens a connection to a silent or unreachable member through a tunnel over another daemon.
    async fn open_tunnel(self: Rc<Self>, member: Rc<Member>) {
        if member.tunneling.replace(true) {
            return;
        }
        let result = self.connect_through_peer(&member).await;
        member.tunneling.set(false);
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
        if member.unreachable_since.replace(None).is_some() {
            emit(
                Event::MemberRecovered,
                &[("group", &self.name), ("member", &member.id)],
            );
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
        if let ConnError::Refused(..) = e {
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
    }

    /// Sends a control command, which the member answers with its status, and updates the group
    /// from that.
    ///
    /// # Errors
    /// As `Conn::run`; `ConnError::Refused` on an error reply, `ConnError::Wire` when the reply
    /// contains no status.
    pub async fn send_control(
        &self,
        conn: &mut Conn,
        command: &Command<'_>,
        timeout_ms: u64,
    ) -> Result<Status, ConnError> {
        let sent_at = Ms::now();
        let reply = conn.run(command, timeout_ms).await?;
        let row = reply.rows.first();
        let status = row.and_then(|row| (self.codec.status)(row));
        let Some(status) = status else {
            return Err(match reply.end {
                ReplyEnd::Error(kind, text) => ConnError::Refused(kind, text),
                ReplyEnd::Done(_) => ConnError::Wire(WireError::Malformed),
            });
        };
        let member = conn.member.clone();
        self.on_status(&member, &status, sent_at, conn.opened_at);
        self.on_reply(&member, sent_at, &reply);
        Ok(status)
    }

    /// Opens a new connection for a control command, regardless of the limits on connections.
    ///
    /// # Errors
    /// As `Conn::open`.
    pub async fn connect(&self, member: &Rc<Member>) -> Result<Conn, ConnError> {
        Conn::open(member.clone(), self.codec, &self.vm, CONNECT_TIMEOUT_MS).await
    }

    /// Opens a connection for a control command through another daemon.
    ///
    /// # Errors
    /// As `Conn::open_tunneled`.
    pub async fn connect_through_peer(&self, member: &Rc<Member>) -> Result<Conn, ConnError> {
        let peers = self
            .peers
            .tunnel_candidates(&member.record.borrow().data_center);
        let member = member.clone();
        Conn::open_tunneled(&peers, member, self.codec, &self.vm, CONNECT_TIMEOUT_MS).await
    }

    /// Acquires a connection from the pool for a control command of the daemon itself, with the
    /// highest priority; opens one if there is none to the member.
    ///
    /// # Errors
    /// As `Conn::open`; `ConnError::TimedOut` when no connection became free in time.
    pub async fn control_conn(&self, member: &Rc<Member>) -> Result<Conn, ConnError> {
        if member.open_conns.get() == 0 {
            return Conn::open(member.clone(), self.codec, &self.vm, CONNECT_TIMEOUT_MS).await;
        }
        let now = Ms::now();
        let rank = Rank {
            priority: 0,
            target: now,
            deadline: now.plus(CONTROL_CONN_WAIT_MS),
        };
        let conn = self
            .acquire(
                Requirement::Member(member.key),
                rank,
                None,
                Vec::new(),
                true,
            )
            .await;
        conn.map_err(|_| ConnError::TimedOut)
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
            !m.removed.get()
                || m.open_conns.get() > 0
                || primary.as_ref().is_none_or(|p| p.key == m.key)
                || fence_set.iter().any(|c| c.key == m.key)
        });
    }
}
