//! Which members a primary change must fence, and what is known of those that have left and of earlier
//! primaries.

use std::rc::Rc;

use base::{Event, emit};

use super::PrimaryChange;
use crate::failover::AbortReason;
use crate::{ChangeRecord, LastPrimary, Leader, Member, MemberKey, Role};

/// Time without a primary, from its first list of members on, after which a daemon changes it that may
/// not know which members have left, in ms.
const UNKNOWN_PAST_WAIT_MS: u64 = 3000;

/// The listed member of this identifier.
fn listed(members: &[Rc<Member>], id: &str) -> Option<Rc<Member>> {
    let mut listed = members.iter().filter(|m| !m.removed.get());
    listed.find(|m| *m.id == *id).cloned()
}

/// Tells whether a member is listed among these as a replica with the log that it had when it was ordered
/// to lead.
fn has_not_led(record: &ChangeRecord, members: &[Rc<Member>]) -> impl Fn(&str) -> bool {
    |id| {
        let has_log = |m: &Member| !record.has_lost_log(id, m.log_end());
        listed(members, id).is_some_and(|m| is_replica(&m) && has_log(&m))
    }
}

fn is_replica(member: &Member) -> bool {
    let probe = member.last_probe.get();
    probe.is_some_and(|p| p.role == Role::Replica)
}

impl PrimaryChange<'_> {
    pub(super) fn new_record(&self) -> ChangeRecord {
        let mut record = self.record.clone();
        if let Some(leader) = self.group.last_leader() {
            record.add_leader(leader);
        }
        let seen = self.old_primary.as_ref().zip(self.demotion());
        let seen = seen.map(|(member, demotion)| LastPrimary {
            id: member.id.clone(),
            pos: demotion.pos,
        });
        ChangeRecord {
            departed: self.departed(),
            last_primary: seen
                .or_else(|| self.group.demoted_primary())
                .or_else(|| self.record.last_primary.clone()),
            ..record
        }
    }

    /// Whether one of these members is the last primary, demoted, with the log that it had. Its log
    /// contains whatever members that have left took along.
    pub(super) fn has_last_primary(&self, members: &[Rc<Member>]) -> bool {
        // One on record may have been followed by another since, also by one that was only ordered.
        let is_newest = |last: &&LastPrimary| {
            let is_followed = self
                .record
                .is_followed(last.pos.term, has_not_led(&self.record, members));
            last.pos.term >= self.group.newest_term() && !is_followed
        };
        let recorded = self.record.last_primary.as_ref().filter(is_newest);
        let known = self.group.demoted_primary();
        let Some(last) = known.or_else(|| recorded.cloned()) else {
            return self.has_recorded_leader(members);
        };
        let is_last = |m: &Rc<Member>| {
            let received = m.status.get().map(|s| s.received);
            m.id == last.id && !m.removed.get() && received.is_some_and(|pos| pos >= last.pos)
        };
        members.iter().any(is_last) || self.has_recorded_leader(members)
    }

    /// Whether one of these members is on record as the leader of the newest term and has all of its
    /// log. A member that has lost its log is behind the replicas that it had.
    pub(super) fn has_recorded_leader(&self, members: &[Rc<Member>]) -> bool {
        let Some(leader) = self.recorded_leader(members) else {
            return false;
        };
        let Some(member) = listed(members, &leader.id).filter(|m| is_replica(m)) else {
            return false;
        };
        let mut others = members.iter().filter(|m| !m.removed.get());
        others.all(|m| m.log_end() <= member.log_end())
    }

    /// Members that have left and may have taken acknowledged commits along: those that this daemon
    /// knows, and those on record, unless the listed members hold everything from before its start.
    pub(super) fn departed(&self) -> Vec<Box<str>> {
        let primary = self.old_primary.as_ref();
        let fence_set = self.group_fence_set();
        let known = fence_set.iter().filter(|m| m.removed.get());
        let mut departed: Vec<Box<str>> = known.map(|m| m.id.clone()).collect();
        if !self.group.is_past_held(primary) {
            let recorded = self.record.departed.iter();
            let unknown = recorded.filter(|id| self.group.member(id).is_none());
            departed.extend(unknown.cloned());
        }
        departed.retain(|id| !self.is_loss_accepted(id));
        departed
    }

    /// The group's members to fence. A primary that is only known from the record is not among them:
    /// whatever it has confirmed, another member has.
    pub(super) fn group_fence_set(&self) -> Vec<Rc<Member>> {
        let mut fence_set = self.group.fence_set(self.old_primary.as_ref());
        if self.old_primary.is_none()
            && let Some(leader) = self.recorded_leader(&self.group.listed())
        {
            fence_set.retain(|m| !m.removed.get() || m.id != leader.id);
        }
        fence_set
    }

    /// The member that leads the newest term according to the record.
    pub(super) fn recorded_leader(&self, members: &[Rc<Member>]) -> Option<&Leader> {
        let term = self.group.newest_term();
        let has_not_led = has_not_led(&self.record, members);
        self.record.leader_of(term, has_not_led)
    }

    /// Whether an operator has given up the commits that only this member may have.
    pub(super) fn is_loss_accepted(&self, id: &str) -> bool {
        self.record.accepted_losses.iter().any(|a| **a == *id)
    }

    /// The members to fence, as known now.
    ///
    /// # Errors
    /// The set is incomplete. An unfenced member may hold an acknowledged commit that no other
    /// member has, or let the old primary acknowledge one later.
    pub(super) fn fence_set(&self) -> Result<Vec<Rc<Member>>, AbortReason> {
        let mut fence_set = self.group_fence_set();
        if self.demotion().is_some() || self.has_last_primary(&fence_set) {
            fence_set.retain(|m| !m.removed.get());
        } else {
            self.check_departed()?;
            fence_set.retain(|m| !m.removed.get() || !self.is_loss_accepted(&m.id));
        }
        if fence_set.len() < 2 {
            return Err("fewer than two replicas are known".into());
        }
        Ok(fence_set)
    }

    /// Checks that no unknown member may have left with acknowledged commits, without the log of
    /// the old primary to show them.
    ///
    /// # Errors
    /// One is on record, or this daemon has started too recently to know. Daemons that have been up
    /// for longer act first, and leave a record.
    pub(super) fn check_departed(&self) -> Result<(), AbortReason> {
        if self.group.is_past_held(self.old_primary.as_ref()) {
            return Ok(());
        }
        let mut recorded = self.record.departed.iter();
        let is_known = |id: &str| self.group.member(id).is_some() || self.is_loss_accepted(id);
        if let Some(id) = recorded.find(|id| !is_known(id)) {
            return Err(AbortReason::Departed(id.clone()));
        }
        let since = self.group.no_primary_since.get();
        if since.is_none_or(|since| since.elapsed() < UNKNOWN_PAST_WAIT_MS) {
            return Err("this daemon does not know yet which members have left".into());
        }
        Ok(())
    }

    /// What shows that no member that has left holds an acknowledged commit that the fenced ones lack.
    pub(super) fn past_source(&self) -> &'static str {
        if self.demotion().is_some() {
            "demoted primary"
        } else if self.has_recorded_leader(&self.group_fence_set()) {
            "leader on record"
        } else if self.has_last_primary(&self.group_fence_set()) {
            "last primary"
        } else if self.group.is_past_held(self.old_primary.as_ref()) {
            "own positions"
        } else {
            "record"
        }
    }

    pub(super) fn log_accepted_losses(&self) {
        let departed = self.record.departed.iter();
        for id in departed.filter(|id| self.is_loss_accepted(id)) {
            emit(
                Event::LossAccepted,
                &[
                    ("group", &self.group.name),
                    ("member", id),
                    ("change", &self.token),
                ],
            );
        }
    }

    /// Reads which members the platform lists, and takes over those that were not known or have started
    /// again. Returns whether `keys` are still all members to fence.
    ///
    /// # Errors
    /// The members cannot be read, so one of them may be unknown.
    pub(super) async fn is_fence_set_complete(
        &mut self,
        keys: &[MemberKey],
    ) -> Result<bool, AbortReason> {
        let listed = (self.proxy.failover_api.list_members)(self.group.name.clone()).await;
        let records = listed.ok_or("the members could not be listed")?;
        for record in records {
            let known = self.group.member(&record.id);
            let is_known = known.is_some_and(|m| m.is_same_start(&record));
            if !is_known {
                // It may have been leaving for any time.
                let earliest = None;
                self.group
                    .update_member(&record.id, Some(&record), earliest);
            }
        }
        self.read_replica_record().await?;
        Ok(self.fence_set()?.iter().all(|m| keys.contains(&m.key)))
    }

    /// Reads which members may hold acknowledged commits, and adds those that are not listed and were
    /// not known as members that have left.
    ///
    /// # Errors
    /// The record cannot be read, so one of them may be unknown.
    pub(super) async fn read_replica_record(&mut self) -> Result<(), AbortReason> {
        let api = &self.proxy.failover_api.replicas;
        let read = (api.read)(self.group.name.clone()).await;
        let Some(record) = read.ok_or("the record of replicas could not be read")? else {
            // No daemon that keeps such records has served the group yet.
            return Ok(());
        };
        self.group.drop_vanished(&record);
        for id in self.group.unknown_among(record.members.iter()) {
            self.group.add_departed(&id);
        }
        if let Some(leader) = record.leader {
            self.record.add_leader(leader);
        }
        Ok(())
    }

    /// Whether the candidate's log may lack the end of the old primary's. A member that has left is not
    /// listed, and may have confirmed that.
    pub(super) fn may_lack_end(&self) -> bool {
        self.departed().is_empty() && self.check_departed().is_ok()
    }
}
