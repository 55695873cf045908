//! Connections for the daemon's own commands to members: probes, leases and changes of primary.
//!
//! Where client accounts are in force, these are connections of their own, so that no load of an
//! account delays a lease. Elsewhere control commands share the pool with the statements.

use std::rc::Rc;

use base::Ms;

use super::conns::{CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_NEARLY_FULL_MS};
use super::{ConnRequest, Group};
use crate::routing::Requirement;
use crate::{
    Command, Conn, ConnEntry, ConnError, ConnSlot, ConnState, Member, Purpose, Rank, ReplyEnd,
    Status, WireError,
};

/// Longest wait for a connection for a control command of the daemon itself, in ms.
const CONTROL_CONN_WAIT_MS: u64 = 150;
/// Control connections to one member up to which another is opened while all are in use: a change of
/// primary holds one for its whole duration, and the probes go on meanwhile.
const MAX_CONTROL_CONNS: usize = 2;

impl Group {
    /// What connections for control commands are for.
    pub(super) fn control_purpose(&self) -> Purpose {
        if self.accounts.in_force() {
            Purpose::Control
        } else {
            Purpose::Statements(None)
        }
    }

    /// Whether there is no connection to a member that control commands could use.
    pub(super) fn lacks_control_conn(&self, member: &Member) -> bool {
        if !self.accounts.in_force() {
            return member.open_conns.get() == 0;
        }
        let conns = member.conns.borrow();
        conns.iter().all(|c| c.purpose != Purpose::Control)
    }

    /// Whether control commands can be sent to a member over a connection that is open.
    pub(crate) fn has_control_conn(&self, member: &Member) -> bool {
        if !self.accounts.in_force() {
            return member.open_conns.get() > 0;
        }
        let is_open =
            |c: &ConnEntry| c.purpose == Purpose::Control && c.state != ConnState::Opening;
        member.conns.borrow().iter().any(is_open)
    }

    /// Whether a control command opens a connection instead of waiting for one.
    fn may_open_control_conn(&self, member: &Member) -> bool {
        if !self.accounts.in_force() {
            return member.open_conns.get() == 0;
        }
        let conns = member.conns.borrow();
        let control = || conns.iter().filter(|c| c.purpose == Purpose::Control);
        control().count() < MAX_CONTROL_CONNS && control().all(|c| c.state == ConnState::Held)
    }

    /// Whether a further connection for control commands may be opened beside those that are open.
    pub(crate) fn may_add_control_conn(&self, member: &Member) -> bool {
        if !self.accounts.in_force() {
            return false;
        }
        let conns = member.conns.borrow();
        let control = conns.iter().filter(|c| c.purpose == Purpose::Control);
        control.count() < MAX_CONTROL_CONNS
    }

    /// Closes idle control connections but for the one opened first, to whose results later ones are
    /// linked.
    pub(super) fn trim_control_conns(&self, member: &Member) {
        let first = {
            let conns = member.conns.borrow();
            let control = conns.iter().filter(|c| c.purpose == Purpose::Control);
            let first = control.min_by_key(|c| (c.state == ConnState::Opening, c.opened_at));
            first.map(|c| c.key)
        };
        member.idle_conns.borrow_mut().retain(|conn| {
            conn.purpose() != Purpose::Control
                || Some(conn.key()) == first
                || conn.idle_since.elapsed() <= IDLE_TIMEOUT_NEARLY_FULL_MS
        });
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
        let slot = ConnSlot::new(member.clone(), self.control_purpose());
        Conn::open(slot, self.codec, &self.vm, CONNECT_TIMEOUT_MS).await
    }

    /// Opens a connection for a control command through another daemon.
    ///
    /// # Errors
    /// As `Conn::open_tunneled`.
    pub async fn connect_through_peer(&self, member: &Rc<Member>) -> Result<Conn, ConnError> {
        self.open_through_peer(ConnSlot::new(member.clone(), self.control_purpose()))
            .await
    }

    /// Opens a connection through another daemon.
    ///
    /// # Errors
    /// As `Conn::open_tunneled`.
    pub(super) async fn open_through_peer(&self, slot: ConnSlot) -> Result<Conn, ConnError> {
        let data_center = slot.member.record.borrow().data_center.clone();
        let peers = self.peers.tunnel_candidates(&data_center);
        let name = self.conn_name(slot.purpose());
        Conn::open_tunneled(&peers, slot, self.codec, &name, CONNECT_TIMEOUT_MS).await
    }

    /// Acquires a connection for a control command of the daemon itself, with the highest priority;
    /// opens one if there is none to the member, or where accounts are in force if there is one but
    /// it is in use.
    ///
    /// # Errors
    /// As `Conn::open`; `ConnError::TimedOut` when no connection became free in time.
    pub async fn control_conn(&self, member: &Rc<Member>) -> Result<Conn, ConnError> {
        if self.may_open_control_conn(member) {
            return self.connect(member).await;
        }
        let now = Ms::now();
        let rank = Rank {
            priority: 0,
            target: now,
            deadline: now.plus(CONTROL_CONN_WAIT_MS),
        };
        let request = ConnRequest {
            requirement: Requirement::Member(member.key),
            purpose: self.control_purpose(),
            rank,
            route: None,
            excluded: Vec::new(),
            is_new: true,
        };
        let conn = self.acquire(request).await;
        conn.map_err(|_| ConnError::TimedOut)
    }
}
