//! Checks the evidence when a member has lost its primary.

use std::rc::Rc;

use base::{Event, Ms, emit};
use fleet::ranked;
use group::{Decision, FailureThresholds, MemberReport, ProbeOutcome, evaluate, has_leader};

use crate::cluster::{GroupState, MemberState};
use crate::join::{join_within, sleep};
use crate::state::Daemon;

/// Time for one probe of all members, in ms.
const PROBE_MS: u64 = 120;
/// Lead that each failover controller leaves to those ranked before it, in ms.
const RANK_STEP_MS: u64 = 100;
/// Attempts while other failover controllers raise the term as well, and the pause between them,
/// in ms.
const DUELS_MAX: u64 = 5;
const DUEL_PAUSE_MS: std::ops::Range<u64> = 5..80;
/// Pause after an examination that changed nothing, in ms.
const REST_MS: u64 = 30;

/// Begins to examine a group, unless that is going on already.
pub fn start_evaluation(daemon: &Rc<Daemon>, group: &Rc<GroupState>, member: &Rc<MemberState>) {
    if group.changing.replace(true) {
        return;
    }
    let (daemon, group, member) = (daemon.clone(), group.clone(), member.clone());
    monoio::spawn(async move {
        daemon.examine(&group, &member).await;
        for member in &group.members {
            member.control.close();
        }
        group.changing.set(false);
    });
}

impl Daemon {
    async fn examine(self: &Rc<Self>, group: &Rc<GroupState>, member: &Rc<MemberState>) {
        let silence = FailureThresholds {
            refused_ms: self.settings.timing.refused_ms,
            silent_ms: self.settings.timing.suspect_ms,
            isolated_ms: self.settings.timing.suspect_ms * 2,
        };
        let lost = member.probe.report();
        let seen = self.probe_all(group).await;
        if self.follow_known(group, member, &seen).await {
            return;
        }
        if evaluate(&seen, silence) == Decision::Keep("fewer than a majority of members report") {
            emit(
                Event::FailoverDeclined,
                &[
                    ("group", &group.name),
                    ("why", &"fewer than a majority of members report"),
                ],
            );
            sleep(RANK_STEP_MS).await;
            return;
        }
        let Decision::Change(why) = evaluate(&seen, silence) else {
            sleep(REST_MS).await;
            return;
        };
        let rank = self.rank(group, &seen);
        sleep(rank * RANK_STEP_MS).await;
        // A failover controller ranked before may have finished meanwhile, so what was seen counts
        // no more.
        let begin = Ms::now();
        let mut seen = if rank == 0 {
            seen
        } else {
            self.probe_all(group).await
        };
        if self.follow_known(group, member, &seen).await
            || evaluate(&seen, silence) != Decision::Change(why)
        {
            return;
        }
        let silent = lost.map_or(0, |r| r.contact_ms + r.requested_at.elapsed());
        emit(
            Event::PrimarySuspected,
            &[
                ("group", &group.name),
                ("why", &why),
                ("silent_ms", &silent),
            ],
        );
        let evidence = ChangeTrigger {
            why,
            silent_ms: silent,
            begin,
            planned: false,
        };
        for _ in 0..DUELS_MAX {
            if self.change_primary(group, &seen, evidence).await {
                return;
            }
            // Another failover controller has raised the term as well; the pauses differ, so one
            // gets ahead.
            sleep(fastrand::u64(DUEL_PAUSE_MS)).await;
            seen = self.probe_all(group).await;
            if self.follow_known(group, member, &seen).await || has_leader(&seen) {
                return;
            }
        }
    }

    /// Probes all members side by side, in the order of the configuration.
    pub(super) async fn probe_all(self: &Rc<Self>, group: &Rc<GroupState>) -> Vec<ProbeOutcome> {
        let calls = group.members.iter().enumerate().map(|(i, member)| {
            let (daemon, group, member) = (self.clone(), group.clone(), member.clone());
            async move { (i, daemon.probe(&group, &member, PROBE_MS).await) }
        });
        let answers = join_within(calls.collect(), PROBE_MS, |_| false).await;
        let mut seen = vec![ProbeOutcome::NoResponse; group.members.len()];
        for (i, one) in answers {
            seen[i] = one;
        }
        seen
    }

    /// Makes the member follow the primary of the newest term, if one is seen that it does not
    /// follow yet; true when there was something to do.
    async fn follow_known(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        seen: &[ProbeOutcome],
    ) -> bool {
        let reports: Vec<(usize, &MemberReport)> = seen
            .iter()
            .enumerate()
            .filter_map(|(i, s)| {
                if let ProbeOutcome::Report(r) = s {
                    Some((i, r))
                } else {
                    None
                }
            })
            .collect();
        let Some((at, leader)) = reports
            .iter()
            .filter(|(_, r)| r.leads)
            .max_by_key(|(_, r)| r.term)
        else {
            return false;
        };
        if reports.iter().any(|(_, r)| r.term > leader.term) {
            return false;
        }
        let addr = group.members[*at].config.addr.clone();
        let mine = reports
            .iter()
            .find(|(i, _)| Rc::ptr_eq(&group.members[*i], member));
        let Some((i, own)) = mine else { return false };
        if i == at || (own.term == leader.term && own.follows == addr) {
            return false;
        }
        self.order_follow(group, member, leader.term, &addr).await
    }

    /// Tells a member to follow the primary of a term.
    pub(super) async fn order_follow(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        term: u64,
        addr: &str,
    ) -> bool {
        let sql = (self.member_control.follow)(term, addr);
        let within = self.settings.timing.connect_ms;
        let granted = self
            .control(group, member, &sql, within)
            .await
            .is_ok_and(|r| r.granted);
        if granted {
            emit(
                Event::MemberFollows,
                &[
                    ("group", &group.name),
                    ("member", &member.config.name),
                    ("term", &term),
                ],
            );
        }
        granted
    }

    /// This daemon's rank among the owners of the members that report, which all failover
    /// controllers see alike.
    fn rank(&self, group: &GroupState, seen: &[ProbeOutcome]) -> u64 {
        let owners = usize::try_from(self.settings.limits.homes).unwrap_or(usize::MAX);
        let reporting = group
            .members
            .iter()
            .zip(seen)
            .filter(|(_, s)| matches!(s, ProbeOutcome::Report(_)));
        let names: std::collections::BTreeSet<Box<str>> = reporting
            .flat_map(|(m, _)| self.membership.ranking(&m.config).into_iter().take(owners))
            .collect();
        let order = ranked(&group.name, names.iter().map(|n| &**n));
        order
            .iter()
            .position(|n| **n == *self.membership.me)
            .unwrap_or(order.len()) as u64
    }
}

/// Why a change is made.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChangeTrigger {
    /// What was seen of the old primary.
    pub why: &'static str,
    /// How long it has been silent, in ms.
    pub silent_ms: u64,
    /// When the change began.
    pub begin: Ms,
    /// Whether it is a switchover.
    pub planned: bool,
}
