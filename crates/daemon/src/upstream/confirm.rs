//! Confirmation by a majority of members, of writes and of reads on a primary.

use std::rc::Rc;

use base::Ms;
use group::{MemberReport, confirmed, majority, was_newest_term};

use crate::cluster::{GroupState, MemberHandle};
use crate::join::notified_within;
use crate::state::Daemon;
use crate::upstream::position_samples::PositionSample;

/// Longest wait for a report before the situation is judged anew, in ms.
const STEP_MS: u64 = 200;

impl Daemon {
    /// Waits until a majority holds what the primary reported, at the primary's own term.
    ///
    /// With `since`, the term must also have been the newest of a majority at that instant, so
    /// that no later primary can have acknowledged anything before it.
    pub async fn confirm(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        primary: (&str, &MemberReport),
        since: Option<Ms>,
        until: Ms,
    ) -> bool {
        let (name, own) = primary;
        let count = group.members.len();
        let begin = Ms::now();
        loop {
            let seen = group.changed.generation();
            let others = group.members.iter().filter(|m| *m.config.name != *name);
            let reports: Vec<MemberReport> = others
                .clone()
                .filter_map(|m| m.probe.report())
                .chain([own.clone()])
                .collect();
            let held = confirmed(own.last, own.term, reports.iter(), count);
            let newest =
                since.is_none_or(|at| was_newest_term(own.term, at, reports.iter(), count));
            if held && newest {
                return true;
            }
            // Members of a later term can confirm nothing of this one any more.
            let gone = reports.iter().filter(|r| r.term > own.term).count();
            if count - gone < majority(count) || until.left() == 0 {
                return false;
            }
            for member in others {
                let handle = MemberHandle::new(group, member);
                member
                    .probe
                    .request_report(self, &handle, own.last, since.unwrap_or_default());
            }
            let cut_ms = self.settings.timing.suspect_ms * 2;
            let heard = reports.iter().any(|r| r.requested_at > begin);
            if !heard && begin.elapsed() > cut_ms && count > 1 {
                crate::failover::step_down(self, group, name, own.term);
                return false;
            }
            notified_within(&group.changed, seen, until.left().min(STEP_MS)).await;
        }
    }

    /// Asks the primary for its position, no earlier than `since`.
    pub async fn sample_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        since: Ms,
        until: Ms,
    ) -> Option<PositionSample> {
        loop {
            let seen = group.changed.generation();
            let found = match group.leader() {
                Some(found) => Some(found),
                None => self.find_leader(group, until).await,
            };
            let (_, leader) = found?;
            let member = group.member(&leader)?;
            if let Some(r) = member.probe.report().filter(|r| r.requested_at >= since) {
                if !r.leads {
                    return None;
                }
                let mark = PositionSample {
                    pos: r.last,
                    term: r.term,
                    asked: r.requested_at,
                };
                group.samples.add(mark);
                return Some(mark);
            }
            if until.left() == 0 {
                return None;
            }
            let handle = MemberHandle::new(group, member);
            member
                .probe
                .request_report(self, &handle, schema::Pos::ZERO, since);
            notified_within(&group.changed, seen, until.left()).await;
        }
    }
}
