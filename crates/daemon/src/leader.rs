//! Finds out who leads a group, from what the owners of its members know.

use std::rc::Rc;

use base::Ms;
use schema::{GroupRequest, GroupView};

use crate::cluster::GroupState;
use crate::join::{join_within, notified_within, sleep};
use crate::state::Daemon;

/// Time for one search, in ms.
const SEARCH_MS: u64 = 250;
/// Time without an answer after which a request looks for a newer primary, in ms.
const STUCK_MS: u64 = 300;
/// Time that answers under way have once a newer primary is known, in ms.
const GRACE_MS: u64 = 50;

impl Daemon {
    /// Asks the owners of all members who leads.
    pub async fn find_leader(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        until: Ms,
    ) -> Option<(u64, Box<str>)> {
        let known = group.known_leader.borrow().term;
        let mut calls = Vec::new();
        for member in &group.members {
            for (owner, _) in self.candidate_owners(&member.config).into_iter().take(2) {
                let (daemon, name) = (self.clone(), group.name.clone());
                calls.push(async move { daemon.ask_group(&owner, &name).await });
            }
        }
        let newer = |v: &GroupView| !v.leader.is_empty() && v.term >= known;
        let within = SEARCH_MS.min(until.left());
        let views = join_within(calls, within, |views| views.iter().flatten().any(newer)).await;
        let mut silent_ms = 0;
        for view in views.into_iter().flatten() {
            group.record_leader(view.term, &view.leader);
            let lost = view
                .reports
                .iter()
                .filter(|r| !r.leads)
                .map(|r| r.contact_ms);
            silent_ms = lost.fold(silent_ms, u64::max);
        }
        let found = group.leader();
        if found.is_none() {
            group.record_no_leader(silent_ms);
        }
        found
    }

    /// Returns once a newer term than `term` is known, and answers under way had their time.
    ///
    /// A primary that is frozen or cut off answers nobody, so a request that waits for it looks
    /// for a newer one meanwhile. What was sent to the old primary has an unknown outcome then.
    pub async fn await_newer_term(self: &Rc<Self>, group: &Rc<GroupState>, term: u64) {
        loop {
            let seen = group.changed.generation();
            if group.known_leader.borrow().term > term {
                sleep(GRACE_MS).await;
                return;
            }
            if !notified_within(&group.changed, seen, STUCK_MS).await {
                self.find_leader(group, Ms::now().plus(SEARCH_MS)).await;
            }
        }
    }

    /// What a daemon knows of a group.
    async fn ask_group(self: &Rc<Self>, owner: &str, group: &str) -> Option<GroupView> {
        if *owner == *self.membership.me {
            return self.group_view(group);
        }
        let ask = GroupRequest {
            group: group.into(),
        };
        let addr = self.membership.daemon(owner)?;
        self.peers
            .call(addr, "/v1/group", &ask, SEARCH_MS)
            .await
            .ok()
    }

    /// What this daemon knows of a group.
    pub fn group_view(&self, name: &str) -> Option<GroupView> {
        let group = self.group(name)?;
        // A report of a member that nobody asks any more says nothing of who leads now.
        let timing = &self.settings.timing;
        let fresh_ms = timing.heartbeat_ms + timing.suspect_ms;
        let reports = group
            .members
            .iter()
            .filter_map(|m| Some((m.probe.report()?, m)));
        let leads = reports.filter(|(r, _)| r.leads && r.requested_at.elapsed() <= fresh_ms);
        let leads = leads.max_by_key(|(r, _)| r.term);
        let newest = group.reports().iter().map(|r| r.term).max().unwrap_or(0);
        let leader = leads
            .filter(|(r, _)| r.term >= newest)
            .map(|(_, m)| m.config.name.clone());
        Some(GroupView {
            term: newest,
            leader: leader.unwrap_or_default(),
            reports: group.peer_reports(),
        })
    }
}
