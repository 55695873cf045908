//! Members that matter for a change of primary, since they may hold acknowledged commits.

use std::rc::Rc;

use base::Ms;
use schema::Pos;

use super::Group;
use crate::{LastPrimary, Leader, Member, MemberKey, Role};

/// If the primary is still heard from this long after a member was removed, in ms, no primary change
/// promotes that member any more.
const REMOVED_MEMBER_SETTLE_MS: u64 = 1000;

impl Group {
    /// Records the position that the primary reported in answer to a request sent at `sent_at` for
    /// the members that had been removed by then.
    pub(super) fn record_final_pos(&self, sent_at: Ms, pos: Pos) {
        for member in self.members.borrow().iter().filter(|m| m.removed.get()) {
            if member.final_pos.get().is_none() && member.removed_at.get() < sent_at {
                member.final_pos.set(Some(pos));
            }
        }
    }

    /// Members that every primary change fences, and one of which it promotes: all but the primary
    /// and those that were removed long before the primary was last heard from.
    pub(super) fn lease_replicas(&self) -> Vec<MemberKey> {
        let primary = self.primary();
        let last_heard = primary.as_ref().map_or(Ms(0), |p| p.last_heard.get());
        let is_settled = |m: &Member| {
            m.removed.get() && m.removed_at.get().plus(REMOVED_MEMBER_SETTLE_MS) < last_heard
        };
        let members = self.members.borrow();
        let replicas = members
            .iter()
            .filter(|m| primary.as_ref().is_none_or(|p| p.key != m.key));
        replicas.filter(|m| !is_settled(m)).map(|m| m.key).collect()
    }

    /// Whether a listed member other than the primary has received a position.
    pub(super) fn is_held(&self, pos: Pos, primary: Option<&Rc<Member>>) -> bool {
        let members = self.members.borrow();
        let is_replica = |m: &Rc<Member>| primary.is_none_or(|p| p.key != m.key);
        let mut replicas = members.iter().filter(|m| !m.removed.get() && is_replica(m));
        replicas.any(|m| m.log_end() >= pos)
    }

    /// Whether the listed replicas are known to hold every commit that was confirmed before this
    /// daemon started, so that no member that it has never known matters for a primary change.
    pub fn is_past_held(&self, primary: Option<&Rc<Member>>) -> bool {
        let first_pos = self.first_pos.get();
        first_pos.is_some_and(|pos| self.is_held(pos, primary))
    }

    /// The member that led the newest term of which this daemon has seen the primary.
    pub(crate) fn last_leader(&self) -> Option<Leader> {
        let (id, term) = self.last_primary.borrow().clone()?;
        Some(Leader { term, id })
    }

    /// The member that led the newest term of which this daemon has seen the primary, if it is known.
    pub(super) fn last_primary_member(&self) -> Option<Rc<Member>> {
        self.member(&self.last_leader()?.id)
    }

    /// The last primary that this daemon knows of, if no later term is known and it is listed and has
    /// reported to be a replica with the log that it had.
    pub fn demoted_primary(&self) -> Option<LastPrimary> {
        let (id, term) = self.last_primary.borrow().clone()?;
        if term < self.newest_term() {
            return None;
        }
        let member = self.member(&id).filter(|m| !m.removed.get())?;
        let is_replica = member.last_probe.get()?.role == Role::Replica;
        let received = member.status.get()?.received;
        let has_log = member.has_whole_log(received);
        (is_replica && has_log).then_some(LastPrimary { id, pos: received })
    }

    /// Members that a primary change must fence, since each may have confirmed a commit of the
    /// primary that no other member has: all but the primary and the removed members whose commits
    /// another replica is known to hold.
    pub fn fence_set(&self, primary: Option<&Rc<Member>>) -> Vec<Rc<Member>> {
        let members = self.members.borrow();
        let is_replica = |m: &Rc<Member>| primary.is_none_or(|p| p.key != m.key);
        let is_held = |pos| self.is_held(pos, primary);
        let is_in_fence_set = |m: &&Rc<Member>| {
            let is_settled = m.removed.get() && m.final_pos.get().is_some_and(is_held);
            is_replica(m) && !is_settled
        };
        members.iter().filter(is_in_fence_set).cloned().collect()
    }
}
