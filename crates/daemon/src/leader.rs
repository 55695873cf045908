//! Finds out who leads a group, from what the homes of its members know.

use std::rc::Rc;

use base::Ms;
use schema::{GroupAsk, GroupView};

use crate::cluster::GroupState;
use crate::gather::gather;
use crate::state::Daemon;

/// Time for one search, in ms.
const SEARCH_MS: u64 = 250;

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
        for view in views.into_iter().flatten() {
            group.note_leader(view.term, &view.leader);
        }
        group.leader()
    }

    /// What a daemon knows of a group.
    async fn ask_group(self: &Rc<Self>, home: &str, group: &str) -> Option<GroupView> {
        if *home == *self.roster.me {
            return self.view_group(group);
        }
        let ask = GroupAsk {
            group: group.into(),
            verify: false,
            left_ms: SEARCH_MS,
        };
        let addr = self.roster.daemon(home)?;
        self.peers
            .call(addr, "/v1/group", &ask, SEARCH_MS)
            .await
            .ok()
    }

    /// What this daemon knows of a group.
    pub fn view_group(&self, name: &str) -> Option<GroupView> {
        let group = self.group(name)?;
        let leads = group
            .members
            .iter()
            .filter_map(|m| Some((m.watch.report()?, m)));
        let leads = leads.filter(|(r, _)| r.leads).max_by_key(|(r, _)| r.term);
        let newest = group.reports().iter().map(|r| r.term).max().unwrap_or(0);
        let leader = leads
            .filter(|(r, _)| r.term >= newest)
            .map(|(_, m)| m.config.name.clone());
        Some(GroupView {
            term: newest,
            leader: leader.unwrap_or_default(),
            pos: group.newest(),
            verified: false,
            reports: group.told_reports(),
        })
    }
}
