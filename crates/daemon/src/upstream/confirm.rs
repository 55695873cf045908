//! Confirmation of writes, and of reads on a primary, by a majority of members.

use std::rc::Rc;

use base::Ms;
use group::{MemberReport, confirmed, had_no_newer_term, majority};

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
    /// With `since`, a majority must also have had no newer term at that instant, which proves that
    /// no primary of a newer term had acknowledged a write before it.
    ///
    /// Gives up early if too many members are at a newer term. If no other member reports for twice
    /// `suspect_ms`, it also makes the primary step down.
    pub async fn confirm(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        primary: (&str, &MemberReport),
        since: Option<Ms>,
        deadline: Ms,
    ) -> bool {
        let (primary_name, primary_report) = primary;
        let group_size = group.members.len();
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
            let held_by_majority = confirmed(
                primary_report.last,
                primary_report.term,
                reports.iter(),
                group_size,
            );
            let no_newer_term = since.is_none_or(|at| {
                had_no_newer_term(primary_report.term, at, reports.iter(), group_size)
            });
            if held_by_majority && no_newer_term {
                return true;
            }
            // A member at a newer term can no longer confirm a position of this term.
            let superseded = reports
                .iter()
                .filter(|r| r.term > primary_report.term)
                .count();
            if group_size - superseded < majority(group_size) || deadline.left() == 0 {
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
            let has_new_report = reports.iter().any(|r| r.requested_at > started_at);
            if !has_new_report && started_at.elapsed() > isolated_ms && group_size > 1 {
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

    /// Samples the position of the primary, with a report requested at or after `since`; `None` if
    /// there is no such report before the deadline, or its member is no longer the primary.
    pub async fn sample_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        since: Ms,
        deadline: Ms,
    ) -> Option<PositionSample> {
        loop {
            let generation = group.changed.generation();
            let found = match group.primary() {
                Some(found) => Some(found),
                None => self.find_primary(group, deadline).await,
            };
            let (_, primary) = found?;
            let member = group.member(&primary)?;
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
