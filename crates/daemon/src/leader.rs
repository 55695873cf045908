//! Finds out who leads a group, from what the homes of its members know.

use std::rc::Rc;

use base::Ms;
use schema::{GroupRequest, GroupView};

use crate::cluster::GroupState;
use crate::join::{gather, signalled, sleep};
use crate::state::Daemon;

/// Time for one search, in ms.
const SEARCH_MS: u64 = 250;
/// Time without an answer after which a request looks for a newer primary, in ms.
const STUCK_MS: u64 = 300;
/// Time that answers under way have once a newer primary is known, in ms.
const GRACE_MS: u64 = 50;

impl Daemon {
    /// Asks the homes of all members who leads.
    pub async fn search(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        until: Ms,
    ) -> Option<(u64, Box<str>)> {
        let known = group.route.borrow().term;
        let mut calls = Vec::new();
        for member in &group.members {
            for (home, _) in self.candidates(&member.config).into_iter().take(2) {
                let (daemon, name) = (self.clone(), group.name.clone());
                calls.push(async move { daemon.ask_group(&home, &name).await });
            }
        }
        let newer = |v: &GroupView| !v.leader.is_empty() && v.term >= known;
        let within = SEARCH_MS.min(until.left());
        let views = gather(calls, within, |views| views.iter().flatten().any(newer)).await;
        let mut silent_ms = 0;
        for view in views.into_iter().flatten() {
            group.note_leader(view.term, &view.leader);
            let lost = view
                .reports
                .iter()
                .filter(|r| !r.leads)
                .map(|r| r.contact_ms);
            silent_ms = lost.fold(silent_ms, u64::max);
        }
        let found = group.leader();
        if found.is_none() {
            group.note_lost(silent_ms);
        }
        found
    }

    /// Returns once a newer term than `term` is known, and answers under way had their time.
    ///
    /// A primary that is frozen or cut off answers nobody, so a request that waits for it looks
    /// for a newer one meanwhile. What was sent to the old primary has an unknown outcome then.
    pub async fn superseded(self: &Rc<Self>, group: &Rc<GroupState>, term: u64) {
        loop {
            let seen = group.changed.count();
            if group.route.borrow().term > term {
                sleep(GRACE_MS).await;
                return;
            }
            if !signalled(&group.changed, seen, STUCK_MS).await {
                self.search(group, Ms::now().plus(SEARCH_MS)).await;
            }
        }
    }

    /// What a daemon knows of a group.
    async fn ask_group(self: &Rc<Self>, home: &str, group: &str) -> Option<GroupView> {
        if *home == *self.membership.me {
            return self.view_group(group);
        }
        let ask = GroupRequest {
            group: group.into(),
        };
        let addr = self.membership.daemon(home)?;
        self.peers
            .call(addr, "/v1/group", &ask, SEARCH_MS)
            .await
            .ok()
    }

    /// What this daemon knows of a group.
    pub fn view_group(&self, name: &str) -> Option<GroupView> {
        let group = self.group(name)?;
        // A report of a member that nobody asks any more says nothing of who leads now.
        let timing = &self.settings.timing;
        let fresh_ms = timing.heartbeat_ms + timing.suspect_ms;
        let reports = group
            .members
            .iter()
            .filter_map(|m| Some((m.watch.report()?, m)));
        let leads = reports.filter(|(r, _)| r.leads && r.asked.elapsed() <= fresh_ms);
        let leads = leads.max_by_key(|(r, _)| r.term);
        let newest = group.reports().iter().map(|r| r.term).max().unwrap_or(0);
        let leader = leads
            .filter(|(r, _)| r.term >= newest)
            .map(|(_, m)| m.config.name.clone());
        Some(GroupView {
            term: newest,
            leader: leader.unwrap_or_default(),
            reports: group.told_reports(),
        })
    }
}
