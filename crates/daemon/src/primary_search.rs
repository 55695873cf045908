//! Search for the primary of a group, by asking the owners of its members.

use std::rc::Rc;

use base::Ms;
use schema::{GroupRequest, GroupView};

use crate::cluster::GroupState;
use crate::join::{join_within, notified_within, sleep};
use crate::state::Daemon;

/// Timeout of one search for the primary, in ms.
const SEARCH_TIMEOUT_MS: u64 = 250;
/// Time without a change of a group's state after which a waiting request searches for a newer
/// primary, in ms.
const SEARCH_AFTER_MS: u64 = 300;
/// Time for outstanding answers to arrive once a newer primary is known, in ms.
const ANSWER_GRACE_MS: u64 = 50;

impl Daemon {
    /// Asks the owners of all members for their views of the group; returns term and member name of
    /// the primary, if one is known then.
    pub async fn find_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        deadline: Ms,
    ) -> Option<(u64, Box<str>)> {
        let known_term = group.known_primary.borrow().term;
        let mut calls = Vec::new();
        for member in &group.members {
            for (owner, _) in self.candidate_owners(&member.config).into_iter().take(2) {
                let (daemon, name) = (self.clone(), group.name.clone());
                calls.push(async move { daemon.fetch_group_view(&owner, &name).await });
            }
        }
        let names_primary = |v: &GroupView| !v.leader.is_empty() && v.term >= known_term;
        let timeout_ms = SEARCH_TIMEOUT_MS.min(deadline.left());
        let views = join_within(calls, timeout_ms, |views| {
            views.iter().flatten().any(names_primary)
        })
        .await;
        let mut silent_ms = 0;
        for view in views.into_iter().flatten() {
            group.record_primary(view.term, &view.leader);
            let contact_ages = view
                .reports
                .iter()
                .filter(|r| !r.leads)
                .map(|r| r.contact_ms);
            silent_ms = contact_ages.fold(silent_ms, u64::max);
        }
        let found = group.primary();
        if found.is_none() {
            group.record_no_primary(silent_ms);
        }
        found
    }

    /// Returns `ANSWER_GRACE_MS` after a newer term than `term` is known.
    ///
    /// A primary that is frozen or partitioned answers nobody, so a request that waits for it
    /// searches for a newer one in the meantime. The outcome of what was sent to the old primary is
    /// then unknown.
    pub async fn await_newer_term(self: &Rc<Self>, group: &Rc<GroupState>, term: u64) {
        loop {
            let generation = group.changed.generation();
            if group.known_primary.borrow().term > term {
                sleep(ANSWER_GRACE_MS).await;
                return;
            }
            if !notified_within(&group.changed, generation, SEARCH_AFTER_MS).await {
                self.find_primary(group, Ms::now().plus(SEARCH_TIMEOUT_MS))
                    .await;
            }
        }
    }

    /// Requests an owner's view of a group.
    async fn fetch_group_view(self: &Rc<Self>, owner: &str, group: &str) -> Option<GroupView> {
        if *owner == *self.membership.own_name {
            return self.group_view(group);
        }
        let request = GroupRequest {
            group: group.into(),
        };
        let addr = self.membership.daemon_addr(owner)?;
        self.peers
            .call(addr, "/v1/group", &request, SEARCH_TIMEOUT_MS)
            .await
            .ok()
    }

    /// This daemon's view of a group, from the newest reports of the members.
    pub fn group_view(&self, name: &str) -> Option<GroupView> {
        let group = self.group(name)?;
        // An old report does not show that its member is still the primary.
        let timing = &self.settings.timing;
        let max_report_age_ms = timing.heartbeat_ms + timing.suspect_ms;
        let reports = group
            .members
            .iter()
            .filter_map(|m| Some((m.probe.report()?, m)));
        let primaries =
            reports.filter(|(r, _)| r.leads && r.requested_at.elapsed() <= max_report_age_ms);
        let newest_primary = primaries.max_by_key(|(r, _)| r.term);
        let newest_term = group.reports().iter().map(|r| r.term).max().unwrap_or(0);
        let primary_name = newest_primary
            .filter(|(r, _)| r.term >= newest_term)
            .map(|(_, m)| m.config.name.clone());
        Some(GroupView {
            term: newest_term,
            leader: primary_name.unwrap_or_default(),
            reports: group.peer_reports(),
        })
    }
}
