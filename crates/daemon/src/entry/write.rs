//! Requests for the primary: writes, and whatever no rule knows.

use std::rc::Rc;

use base::{Metric, Ms};
use schema::{GroupAsk, GroupView, Outcome, Run, Why};

use crate::cluster::GroupState;
use crate::entry::call::Tried;
use crate::entry::plan::Plan;
use crate::gather::{gather, sleep};
use crate::home::refusal;
use crate::state::Daemon;

/// Pause between two searches for a primary, in ms.
const SEARCH_STEP_MS: u64 = 15;
/// Time for one search, in ms.
const SEARCH_MS: u64 = 250;

impl Daemon {
    /// Runs a request on the primary, waiting for a new one as long as is allowed.
    pub async fn run_on_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        plan: &Plan,
        run: Run,
        until: Ms,
    ) -> Tried {
        let begin = Ms::now();
        let mut last = Why::NoPrimary;
        loop {
            let found = match group.leader() {
                Some(found) => Some(found),
                None => self.search(group, until).await,
            };
            if let Some((term, leader)) = found {
                match self
                    .try_leader(group, plan, &run, (term, &leader), until)
                    .await
                {
                    Ok(tried) => return tried,
                    Err(why) => last = why,
                }
            }
            if until.left() == 0 || !self.may_hold(group, begin) {
                return Tried {
                    answer: refusal(run.id, last, 0),
                    hold: None,
                };
            }
            sleep(SEARCH_STEP_MS).await;
        }
    }

    /// Whether a request that has not run may go on waiting for a primary.
    ///
    /// Once a group has been without one for the whole allowance, new requests are refused after
    /// a single search instead of piling up.
    fn may_hold(&self, group: &GroupState, begin: Ms) -> bool {
        let hold = self.settings.timing.hold_ms;
        let lost = group.route.borrow().lost;
        begin.elapsed() < hold && lost.is_none_or(|at| at.elapsed() < hold)
    }

    /// Tries the homes of a leader; the error says why the request has not run.
    async fn try_leader(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        plan: &Plan,
        run: &Run,
        leader: (u64, &str),
        until: Ms,
    ) -> Result<Tried, Why> {
        let (term, name) = leader;
        let Some(member) = group.member(name) else {
            return Err(Why::NoPrimary);
        };
        let mut last = Why::NoHome;
        for (home, force) in self.candidates(&member.config) {
            let left_ms = until.left();
            if left_ms == 0 {
                return Err(Why::Deadline);
            }
            let attempt = Run {
                member: name.into(),
                primary: true,
                force,
                left_ms,
                ..run.clone()
            };
            let tried = self.attempt(&home, attempt).await;
            group.note_leader(tried.answer.term, &tried.answer.leader);
            match (tried.answer.outcome, tried.answer.why) {
                (Outcome::Done, _) => return Ok(tried),
                (Outcome::NotRun, why @ (Why::NoHome | Why::Leaving | Why::NoConfig)) => last = why,
                (Outcome::NotRun, why @ (Why::NotPrimary | Why::NoPrimary | Why::KeyFailed)) => {
                    last = why;
                    break;
                }
                (Outcome::Unknown, _)
                    if may_repeat(plan, run)
                        && self.stats.may_retry(&run.group, &self.settings) =>
                {
                    self.stats.count(Metric::Retries);
                    last = Why::NoHome;
                }
                _ => return Ok(tried),
            }
        }
        group.lose_leader(term);
        Err(last)
    }

    /// Asks the homes of all members who leads.
    async fn search(self: &Rc<Self>, group: &Rc<GroupState>, until: Ms) -> Option<(u64, Box<str>)> {
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

/// Whether a request with an unknown outcome may be sent again.
fn may_repeat(plan: &Plan, run: &Run) -> bool {
    plan.repeat || !run.key.is_empty()
}
