//! Confirmation of writes, and of reads on a primary, by a majority of members.

use std::rc::Rc;

use base::Ms;
use group::{MemberReport, confirmed, majority, was_newest_term};

use crate::cluster::{GroupState, MemberHandle};
use crate::join::notified_within;
use crate::state::Daemon;
use crate::upstream::position_samples::PositionSample;

/// Maximum wait for a report before the conditions are checked again, in ms.
const MAX_REPORT_WAIT_MS: u64 = 200;

impl Daemon {
    /// Waits until a majority of members holds the position that the primary reported, at the
    /// primary's own term; returns whether that happened before the deadline.
    ///
    /// With `since`, the term must also have been the newest of a majority at that instant, which
    /// proves that no primary of a newer term had acknowledged a write before it.
    pub async fn confirm(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        primary: (&str, &MemberReport),
        since: Option<Ms>,
        deadline: Ms,
    ) -> bool {
        let (primary_name, primary_report) = primary;
        let count = group.members.len();
        let started_at = Ms::now();
        loop {
            let generation = group.changed.generation();
            let others = group
                .members
                .iter()
                .filter(|m| *m.config.name != *primary_name);
            let reports: Vec<MemberReport> = others
                .clone()
                .filter_map(|m| m.probe.report())
                .chain([primary_report.clone()])
                .collect();
            let held = confirmed(
                primary_report.last,
                primary_report.term,
                reports.iter(),
                count,
            );
            let term_current = since
                .is_none_or(|at| was_newest_term(primary_report.term, at, reports.iter(), count));
            if held && term_current {
                return true;
            }
            // A member at a newer term can no longer confirm a position of this term.
            let superseded = reports
                .iter()
                .filter(|r| r.term > primary_report.term)
                .count();
            if count - superseded < majority(count) || deadline.left() == 0 {
                return false;
            }
            for member in others {
                let handle = MemberHandle::new(group, member);
                member.probe.request_report(
                    self,
                    &handle,
                    primary_report.last,
                    since.unwrap_or_default(),
                );
            }
            let isolated_ms = self.settings.timing.suspect_ms * 2;
            let heard = reports.iter().any(|r| r.requested_at > started_at);
            if !heard && started_at.elapsed() > isolated_ms && count > 1 {
                crate::failover::step_down(self, group, primary_name, primary_report.term);
                return false;
            }
            notified_within(
                &group.changed,
                generation,
                deadline.left().min(MAX_REPORT_WAIT_MS),
            )
            .await;
        }
    }

    /// Samples the position of the primary, with a report requested at or after `since`.
    pub async fn sample_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        since: Ms,
        deadline: Ms,
    ) -> Option<PositionSample> {
        loop {
            let generation = group.changed.generation();
            let found = match group.leader() {
                Some(found) => Some(found),
                None => self.find_leader(group, deadline).await,
            };
            let (_, leader) = found?;
            let member = group.member(&leader)?;
            if let Some(report) = member.probe.report().filter(|r| r.requested_at >= since) {
                if !report.leads {
                    return None;
                }
                let sample = PositionSample {
                    pos: report.last,
                    term: report.term,
                    requested_at: report.requested_at,
                };
                group.samples.add(sample);
                return Some(sample);
            }
            if deadline.left() == 0 {
                return None;
            }
            let handle = MemberHandle::new(group, member);
            member
                .probe
                .request_report(self, &handle, schema::Pos::ZERO, since);
            notified_within(&group.changed, generation, deadline.left()).await;
        }
    }
}
