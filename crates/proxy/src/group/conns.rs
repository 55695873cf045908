//! Opening, asking and closing connections to the members of a group.

use std::rc::Rc;

use base::{Event, Ms, emit};

use super::Group;
use crate::routing::Requirement;
use crate::{Command, Conn, ConnError, Member, Rank, ReplyEnd, Status, WireError};

/// Time to open a connection, in ms.
const CONNECT_MS: u64 = 400;
/// Silence after which a new connection is tried, in ms.
const PROBE_MS: u64 = 300;
/// Pause after a failed attempt to open a connection, in ms.
const RETRY_MS: u64 = 150;
/// Connections to one member that a daemon keeps when idle.
const KEEP: u64 = 2;
/// Connections to a nearly full member that a daemon keeps when idle.
const KEEP_FULL: u64 = 1;
/// Idle time after which a connection to a nearly full member is closed, in ms.
const TRIM_FULL_MS: u64 = 300;
/// Longest wait for a connection for a question of the daemon's own, in ms.
const CONTROL_MS: u64 = 150;
/// Connections to one member that a daemon opens at most.
const MOST: u64 = 8;
/// Idle time after which a connection beyond those kept is closed, in ms.
const TRIM_MS: u64 = 3000;

impl Group {
    pub(super) fn open_for(&self, need: Requirement) {
        let now = Ms::now();
        let members = self.members.borrow().clone();
        for member in members.iter().filter(|m| self.is_eligible(m, need, now)) {
            if self.may_open(member) {
                self.open(member);
            }
        }
    }

    /// Whether another connection leaves enough for the other daemons.
    fn may_open(&self, member: &Member) -> bool {
        let own = member.open_conns.get();
        if member.opening.get() || member.removed.get() || member.retry_at.get().left() > 0 {
            return false;
        }
        let most = self.rule.borrow().conns;
        let used = member.status.get().map_or(0, |s| s.conns);
        match own {
            0 => true,
            1 => used < most * 3 / 4,
            n => n < MOST && used < most / 2,
        }
    }

    /// Keeps at least one connection to a member, and tries a new one when it has fallen silent.
    pub fn ensure_conn(&self, member: &Rc<Member>) {
        let silent =
            member.silent_for(Ms::now()) >= PROBE_MS && member.unreachable_since.get().is_none();
        let probe = silent && !member.opening.get() && !member.removed.get();
        if probe || (member.open_conns.get() == 0 && self.may_open(member)) {
            self.open(member);
        }
    }

    fn open(&self, member: &Rc<Member>) {
        let Some(group) = self.me.upgrade() else {
            return;
        };
        member.opening.set(true);
        let member = member.clone();
        if member.unreachable_since.get().is_some() || member.silent_for(Ms::now()) >= PROBE_MS {
            monoio::spawn(group.clone().open_tunnel(member.clone()));
        }
        monoio::spawn(async move {
            let result = Conn::open(member.clone(), group.codec, &group.vm, CONNECT_MS).await;
            member.opening.set(false);
            match result {
                Ok(conn) => group.opened(conn).await,
                Err(e) => group.not_opened(&member, &e),
            }
        });
    }

    /// Tries to reach a silent member through another daemon.
    async fn open_tunnel(self: Rc<Self>, member: Rc<Member>) {
        if member.tunneling.replace(true) {
            return;
        }
        let peers = self
            .peers
            .tunnel_candidates(&member.record.borrow().data_center);
        let result =
            Conn::open_tunneled(&peers, member.clone(), self.codec, &self.vm, CONNECT_MS).await;
        member.tunneling.set(false);
        // A failure says nothing new; the direct attempt judges the member.
        if let Ok(conn) = result {
            emit(
                Event::TunnelOpened,
                &[("group", &self.name), ("member", &member.id)],
            );
            self.opened(conn).await;
        }
    }

    async fn opened(&self, mut conn: Conn) {
        let member = conn.member.clone();
        if member.unreachable_since.replace(None).is_some() {
            emit(
                Event::MemberRecovered,
                &[("group", &self.name), ("member", &member.id)],
            );
        }
        match self
            .send_control(&mut conn, &Command::Status, CONNECT_MS)
            .await
        {
            Ok(_) => self.release(conn),
            Err(e) => self.not_opened(&member, &e),
        }
    }

    fn not_opened(&self, member: &Rc<Member>, e: &ConnError) {
        let now = Ms::now();
        member.retry_at.set(now.plus(RETRY_MS));
        if let ConnError::Refused(..) = e {
            return;
        }
        member.conns_refused.set(e.is_refused());
        if member.unreachable_since.get().is_none() {
            // Questions may have gone unanswered for longer than the attempt took.
            let silent = member
                .silent_for(now)
                .max(if e.is_refused() { 0 } else { CONNECT_MS });
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

    /// Notes that a connection in use was lost.
    pub fn on_lost(&self, member: &Rc<Member>, e: &ConnError) {
        if e.is_refused() {
            // Others to the same member are likely to be lost too; the next attempt tells.
            self.ensure_conn(member);
        }
    }

    /// Asks a member of itself, or orders it something that is answered in the same way.
    ///
    /// # Errors
    /// As `Conn::run`; `ConnError::Refused` when it has no room.
    pub async fn send_control(
        &self,
        conn: &mut Conn,
        command: &Command<'_>,
        within: u64,
    ) -> Result<Status, ConnError> {
        let asked = Ms::now();
        let reply = conn.run(command, within).await?;
        let row = reply.rows.first();
        let status = row.and_then(|row| (self.codec.status)(row));
        let Some(status) = status else {
            return Err(match reply.end {
                ReplyEnd::Error(kind, text) => ConnError::Refused(kind, text),
                ReplyEnd::Done(_) => ConnError::Wire(WireError::Malformed),
            });
        };
        let member = conn.member.clone();
        self.on_status(&member, &status, asked, conn.opened_at);
        self.on_reply(&member, asked, &reply);
        Ok(status)
    }

    /// Opens a connection for an order.
    ///
    /// # Errors
    /// As `Conn::open`.
    pub async fn connect(&self, member: &Rc<Member>) -> Result<Conn, ConnError> {
        Conn::open(member.clone(), self.codec, &self.vm, CONNECT_MS).await
    }

    /// Takes a connection for a question of the daemon's own, before all callers' statements.
    ///
    /// # Errors
    /// As `Conn::open`; `ConnError::TimedOut` when none became free.
    pub async fn control_conn(&self, member: &Rc<Member>) -> Result<Conn, ConnError> {
        if member.open_conns.get() == 0 {
            return Conn::open(member.clone(), self.codec, &self.vm, CONNECT_MS).await;
        }
        let now = Ms::now();
        let rank = Rank {
            priority: 0,
            target: now,
            deadline: now.plus(CONTROL_MS),
        };
        let conn = self
            .acquire(Requirement::Member(member.key), rank, Vec::new())
            .await;
        conn.map_err(|_| ConnError::TimedOut)
    }

    /// Closes all idle connections, while other daemons serve the group.
    pub fn close_idle(&self) {
        for member in self.members.borrow().iter() {
            member.idle_conns.borrow_mut().clear();
        }
    }

    /// Closes connections that have been idle for long, beyond those kept.
    pub fn trim(&self) {
        for member in self.members.borrow().iter() {
            let mut idle = member.idle_conns.borrow_mut();
            let most = self.rule.borrow().conns;
            let full = member.status.get().is_some_and(|s| s.conns + 1 >= most);
            let (keep, after) = if full {
                (KEEP_FULL, TRIM_FULL_MS)
            } else {
                (KEEP, TRIM_MS)
            };
            while member.open_conns.get() > keep
                && idle.first().is_some_and(|c| c.idle_since.elapsed() > after)
            {
                idle.remove(0);
            }
        }
        let cohort = self.fence_set(self.primary().as_ref());
        let primary = self.primary();
        self.members.borrow_mut().retain(|m| {
            !m.removed.get()
                || m.open_conns.get() > 0
                || primary.as_ref().is_none_or(|p| p.key == m.key)
                || cohort.iter().any(|c| c.key == m.key)
        });
    }
}
