//! Failover controller: evaluates a group when one of its members has lost contact to the primary.

use std::rc::Rc;

use base::{Event, Ms, emit};
use fleet::rank_candidates;
use group::{Decision, FailureThresholds, MemberReport, ProbeOutcome, evaluate, has_primary};

use crate::cluster::{GroupState, MemberState};
use crate::join::{join_within, sleep};
use crate::state::Daemon;

/// Timeout of the health probes of all members, which run concurrently, in ms.
const PROBE_TIMEOUT_MS: u64 = 120;
/// Delay per rank before a failover controller acts, so that the highest-ranked one acts first, in
/// ms.
const RANK_DELAY_MS: u64 = 100;
/// Maximum attempts at a primary change while other failover controllers compete for the term.
const MAX_ATTEMPTS: u64 = 5;
/// Range of the random delay between two attempts, in ms.
const RETRY_DELAY_MS: std::ops::Range<u64> = 5..80;
/// Delay after an evaluation that kept the primary, in ms.
const RECHECK_DELAY_MS: u64 = 30;

/// Starts an evaluation of a group on behalf of a member that has lost contact to the primary,
/// unless this daemon is already evaluating the group or changing its primary.
pub fn start_evaluation(daemon: &Rc<Daemon>, group: &Rc<GroupState>, member: &Rc<MemberState>) {
    if group.change_running.replace(true) {
        return;
    }
    let (daemon, group, member) = (daemon.clone(), group.clone(), member.clone());
    monoio::spawn(async move {
        daemon.evaluate_group(&group, &member).await;
        for member in &group.members {
            member.control.close();
        }
        group.change_running.set(false);
    });
}

impl Daemon {
    async fn evaluate_group(self: &Rc<Self>, group: &Rc<GroupState>, member: &Rc<MemberState>) {
        let thresholds = FailureThresholds {
            refused_ms: self.settings.timing.refused_ms,
            silent_ms: self.settings.timing.suspect_ms,
            isolated_ms: self.settings.timing.suspect_ms * 2,
        };
        // Taken before the probes replace it: the silence of the primary is reported from it.
        let last_report = member.probe.report();
        let probes = self.probe_all(group).await;
        if self.follow_current_primary(group, member, &probes).await {
            return;
        }
        if evaluate(&probes, thresholds)
            == Decision::Keep("fewer than a majority of members report")
        {
            emit(
                Event::FailoverDeclined,
                &[
                    ("group", &group.name),
                    ("why", &"fewer than a majority of members report"),
                ],
            );
            sleep(RANK_DELAY_MS).await;
            return;
        }
        let Decision::Change(reason) = evaluate(&probes, thresholds) else {
            sleep(RECHECK_DELAY_MS).await;
            return;
        };
        let rank = self.rank(group, &probes);
        sleep(rank * RANK_DELAY_MS).await;
        // A higher-ranked failover controller may have changed the primary during the delay, so
        // the members are probed again.
        let started_at = Ms::now();
        let mut probes = if rank == 0 {
            probes
        } else {
            self.probe_all(group).await
        };
        if self.follow_current_primary(group, member, &probes).await
            || evaluate(&probes, thresholds) != Decision::Change(reason)
        {
            return;
        }
        let silent_ms = last_report.map_or(0, |r| r.contact_ms + r.requested_at.elapsed());
        emit(
            Event::PrimarySuspected,
            &[
                ("group", &group.name),
                ("why", &reason),
                ("silent_ms", &silent_ms),
            ],
        );
        let trigger = ChangeTrigger {
            reason,
            silent_ms,
            started_at,
            planned: false,
        };
        for _ in 0..MAX_ATTEMPTS {
            if self.change_primary(group, &probes, trigger).await {
                return;
            }
            // Another failover controller may be competing for the term; random delays let one of
            // them finish first.
            sleep(fastrand::u64(RETRY_DELAY_MS)).await;
            probes = self.probe_all(group).await;
            if self.follow_current_primary(group, member, &probes).await || has_primary(&probes) {
                return;
            }
        }
    }

    /// Probes all members concurrently; the outcomes are in the order of the configuration.
    pub(super) async fn probe_all(self: &Rc<Self>, group: &Rc<GroupState>) -> Vec<ProbeOutcome> {
        let calls = group.members.iter().enumerate().map(|(i, member)| {
            let (daemon, group, member) = (self.clone(), group.clone(), member.clone());
            async move { (i, daemon.probe(&group, &member, PROBE_TIMEOUT_MS).await) }
        });
        let answers = join_within(calls.collect(), PROBE_TIMEOUT_MS, |_| false).await;
        let mut probes = vec![ProbeOutcome::NoResponse; group.members.len()];
        for (i, outcome) in answers {
            probes[i] = outcome;
        }
        probes
    }

    /// Makes the member follow the primary of the newest term, if that primary reported and the
    /// member does not follow it yet; returns whether the member was redirected.
    async fn follow_current_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        probes: &[ProbeOutcome],
    ) -> bool {
        let reports: Vec<(usize, &MemberReport)> = probes
            .iter()
            .enumerate()
            .filter_map(|(i, p)| {
                if let ProbeOutcome::Report(r) = p {
                    Some((i, r))
                } else {
                    None
                }
            })
            .collect();
        let Some((primary_index, primary)) = reports
            .iter()
            .filter(|(_, r)| r.leads)
            .max_by_key(|(_, r)| r.term)
        else {
            return false;
        };
        if reports.iter().any(|(_, r)| r.term > primary.term) {
            return false;
        }
        let addr = group.members[*primary_index].config.addr.clone();
        let own_report = reports
            .iter()
            .find(|(i, _)| Rc::ptr_eq(&group.members[*i], member));
        let Some((own_index, own)) = own_report else {
            return false;
        };
        if own_index == primary_index || (own.term == primary.term && own.follows == addr) {
            return false;
        }
        self.request_follow(group, member, primary.term, &addr)
            .await
    }

    /// Requests that a member follow the primary of a term; returns whether it granted that.
    pub(super) async fn request_follow(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        term: u64,
        addr: &str,
    ) -> bool {
        let sql = (self.member_control.follow)(term, addr);
        let timeout_ms = self.settings.timing.connect_ms;
        let granted = self
            .run_control(group, member, &sql, timeout_ms)
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

    /// Rank of this daemon among the owners of the members that report, from 0. Daemons with the
    /// same probe outcomes compute the same order.
    fn rank(&self, group: &GroupState, probes: &[ProbeOutcome]) -> u64 {
        let owners = usize::try_from(self.settings.limits.homes).unwrap_or(usize::MAX);
        let reporting = group
            .members
            .iter()
            .zip(probes)
            .filter(|(_, p)| matches!(p, ProbeOutcome::Report(_)));
        let names: std::collections::BTreeSet<Box<str>> = reporting
            .flat_map(|(m, _)| {
                self.membership
                    .owner_ranking(&m.config)
                    .into_iter()
                    .take(owners)
            })
            .collect();
        let order = rank_candidates(&group.name, names.iter().map(|n| &**n));
        order
            .iter()
            .position(|n| **n == *self.membership.own_name)
            .unwrap_or(order.len()) as u64
    }
}

/// Reason and start of a primary change.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChangeTrigger {
    /// Reason for the change, as stored in its record.
    pub reason: &'static str,
    /// Time for which the old primary has been silent, in ms.
    pub silent_ms: u64,
    /// Start of the change.
    pub started_at: Ms,
    /// Whether the change is a switchover.
    pub planned: bool,
}
