//! Decides when a primary change may order the promotion: once no daemon can hold a lease on the
//! old primary any more.
//!
//! A member loses its fence when it restarts, and may then confirm further commits of the old
//! primary to daemons that still hold a lease. The promotion is therefore ordered only if every
//! member of the fence set was fenced without interruption for `FENCE_DURATION_MS`, shown by two
//! reports over one connection. An interruption makes the time count anew.
//!
//! A member may join the group unnoticed while the others are fenced, and confirm commits alone
//! until the old primary is demoted. The old primary's own log shows them (`Demotion`).

use std::collections::BTreeMap;

use base::Ms;
use schema::Pos;

use crate::MemberKey;
use crate::lease::FENCE_DURATION_MS;

/// What a member answered to a control command of a primary change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FenceReport {
    /// When the command was sent.
    pub sent_at: Ms,
    /// When the answer was read.
    pub received_at: Ms,
    /// Instant since which the member is known not to have restarted.
    pub up_since: Ms,
    /// Term of the primary change that the member is fenced for; 0 if it is not fenced.
    pub fenced: u64,
    /// Newest position in the member's log.
    pub pos: Pos,
}

/// The old primary's last answer as a replica: from then on it confirms no commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demotion {
    /// When the answer was read.
    pub at: Ms,
    /// End of its log, which contains every commit that it has confirmed.
    pub pos: Pos,
}

impl Demotion {
    /// Whether a log that ends at `pos` contains every confirmed commit.
    ///
    /// It may lack the end of the old primary's log if no member can have confirmed that: all
    /// members of the group were listed at `listed_at`, at least `listing_delay_ms` after the
    /// demotion, and none of them has a longer log.
    pub fn is_covered(&self, pos: Pos, listed_at: Ms, listing_delay_ms: u64) -> bool {
        pos >= self.pos || listed_at >= self.at.plus(listing_delay_ms)
    }
}

/// The fences of one primary change.
#[derive(Clone, Debug)]
pub struct FenceHold {
    /// Term of the primary change.
    term: u64,
    /// The latest report of each fenced member, and since when it has been fenced at the latest.
    fences: BTreeMap<MemberKey, (FenceReport, Ms)>,
}

impl FenceHold {
    /// No member is fenced yet.
    pub fn new(term: u64) -> FenceHold {
        FenceHold {
            term,
            fences: BTreeMap::new(),
        }
    }

    /// Records a report; a member that is not fenced for this change is forgotten.
    pub fn record(&mut self, key: MemberKey, report: FenceReport) {
        if report.fenced != self.term {
            self.fences.remove(&key);
            return;
        }
        let uninterrupted = self
            .fences
            .get(&key)
            .filter(|(previous, _)| report.up_since <= previous.received_at);
        let since = uninterrupted.map_or(report.received_at, |(_, since)| *since);
        self.fences.insert(key, (report, since));
    }

    /// Forgets a member whose connection was lost: it may have restarted.
    pub fn forget(&mut self, key: MemberKey) {
        self.fences.remove(&key);
    }

    /// Whether the member reported that it is fenced for this change.
    pub fn is_fenced(&self, key: MemberKey) -> bool {
        self.fences.contains_key(&key)
    }

    /// When the members are to be asked again; `None` while one of them is not fenced.
    pub fn due_at(&self, members: &[MemberKey]) -> Option<Ms> {
        let since = |key| self.fences.get(key).map(|(_, since)| *since);
        let fenced: Option<Vec<Ms>> = members.iter().map(since).collect();
        let all_since = fenced?.into_iter().max()?;
        Some(all_since.plus(FENCE_DURATION_MS))
    }

    /// Whether the latest report of every member shows that all of them have been fenced for
    /// `FENCE_DURATION_MS`, so that the promotion may be ordered.
    pub fn is_complete(&self, members: &[MemberKey]) -> bool {
        let Some(due_at) = self.due_at(members) else {
            return false;
        };
        let is_late_enough = |key| {
            let fence = self.fences.get(key);
            fence.is_some_and(|(report, _)| report.sent_at >= due_at)
        };
        members.iter().all(is_late_enough)
    }

    /// Since when a member has been fenced at the latest.
    pub fn since(&self, key: MemberKey) -> Option<Ms> {
        self.fences.get(&key).map(|(_, since)| *since)
    }

    /// Position of a fenced member.
    pub fn pos(&self, key: MemberKey) -> Option<Pos> {
        self.fences.get(&key).map(|(report, _)| report.pos)
    }
}
