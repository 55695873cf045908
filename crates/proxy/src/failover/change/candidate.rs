//! Which member a primary change promotes.

use std::rc::Rc;

use base::Ms;

use super::PrimaryChange;
use crate::failover::AbortReason;
use crate::{Demotion, Member};

impl PrimaryChange<'_> {
    /// Whether a member's log contains every commit that the old primary may have confirmed.
    pub(super) fn is_covered(&self, candidate: &Member, listed_at: Ms) -> bool {
        let Some(demotion) = self.demotion() else {
            return true;
        };
        let pos = self.hold.pos(candidate.key).unwrap_or_default();
        let listed_at = if self.may_lack_end() {
            listed_at
        } else {
            Ms(0)
        };
        demotion.is_covered(pos, listed_at, self.proxy.settings.listing_delay_ms)
    }

    /// Whether no fenced member has a longer log than the candidate, except for the end of the last
    /// primary's, which nobody else has confirmed. `false` if that will be known only later.
    ///
    /// # Errors
    /// Another member has more than the only one that may be promoted.
    pub(super) fn is_longest(
        &self,
        candidate: &Member,
        fence_set: &[Rc<Member>],
        listed_at: Ms,
    ) -> Result<bool, AbortReason> {
        let pos = |m: &Member| self.hold.pos(m.key).unwrap_or_default();
        let newest_term = self.group.newest_term();
        let leader = self.group.last_leader().filter(|l| l.term >= newest_term);
        let mut is_certain = true;
        for member in fence_set.iter().filter(|m| pos(m) > pos(candidate)) {
            let is_last_primary = leader.as_ref().is_some_and(|l| l.id == member.id);
            if !is_last_primary || !self.may_lack_end() {
                return Err(AbortReason::Outstanding(candidate.id.clone()));
            }
            let demotion = Demotion {
                at: self.hold.since(member.key).unwrap_or_else(Ms::now),
                pos: pos(member),
            };
            let delay_ms = self.proxy.settings.listing_delay_ms;
            is_certain &= demotion.is_covered(pos(candidate), listed_at, delay_ms);
        }
        Ok(is_certain)
    }

    /// The fenced member to promote: the one with the longest log; among equals, one that is listed and
    /// not leaving. While an earlier order may take effect, only its member.
    ///
    /// # Errors
    /// The member of the earlier order is not among them, or the longest log is that of a member that is
    /// not listed: daemons that reach the old primary do without such a member, as `lease_replicas`.
    pub(super) fn candidate(&self, fence_set: &[Rc<Member>]) -> Result<Rc<Member>, AbortReason> {
        let candidate = self.best_member(fence_set)?;
        if candidate.removed.get() {
            return Err("the member with the longest log is not listed".into());
        }
        Ok(candidate)
    }

    pub(super) fn best_member(&self, fence_set: &[Rc<Member>]) -> Result<Rc<Member>, AbortReason> {
        let key = |m: &&Rc<Member>| (self.hold.pos(m.key), m.is_serving());
        let mut orders = self.record.orders.iter().filter(|o| !o.is_void);
        let Some(order) = orders.next() else {
            let longest = fence_set.iter().max_by_key(key).cloned();
            return longest.ok_or_else(|| "no replica can be promoted".into());
        };
        if order.is_unknown() {
            return Err(AbortReason::UnknownOrder);
        }
        let ordered = fence_set.iter().find(|m| m.id == order.member);
        let is_only = orders.all(|o| o.member == order.member);
        let ordered = ordered.filter(|_| is_only).cloned();
        ordered.ok_or_else(|| AbortReason::Outstanding(order.member.clone()))
    }
}
