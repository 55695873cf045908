//! Primary change: obtains a new term from a majority, then promotes the granting member with the
//! highest last position.

use std::rc::Rc;

use base::{Event, Ms, emit};
use group::{MemberReport, ProbeOutcome, choose_candidate, majority};
use schema::{Change, TermRecord};

use crate::cluster::GroupState;
use crate::failover::evaluate::ChangeTrigger;
use crate::join::{join_within, sleep};
use crate::state::Daemon;

/// Timeout for members to grant a term, in ms.
const GRANT_TIMEOUT_MS: u64 = 300;
/// Timeout for a member to become primary, in ms.
const PROMOTE_TIMEOUT_MS: u64 = 500;
/// Maximum attempts to make another member follow the new primary.
const MAX_FOLLOW_ATTEMPTS: u64 = 20;
/// Delay between two attempts to make a member follow the new primary, in ms.
const FOLLOW_RETRY_DELAY_MS: u64 = 250;
/// Timeout of each platform call that records the term, in ms. No caller waits for the record.
const RECORD_TIMEOUT_MS: u64 = 2000;

impl Daemon {
    /// Runs one attempt at a primary change; returns whether a member was promoted.
    pub(super) async fn change_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        probes: &[ProbeOutcome],
        trigger: ChangeTrigger,
    ) -> bool {
        let unix_ms = Ms::unix();
        let check_ms = trigger.started_at.elapsed();
        let known_terms = probes.iter().filter_map(|p| {
            if let ProbeOutcome::Report(r) = p {
                Some(r.term)
            } else {
                None
            }
        });
        let term = known_terms
            .max()
            .unwrap_or(0)
            .max(group.known_primary.borrow().term)
            + 1;
        let proposer = format!("{}#{:x}", self.membership.own_name, fastrand::u64(..));
        let requested_at = Ms::now();
        let grants = self.request_grants(group, probes, term, &proposer).await;
        let preferred = |i: usize| !self.membership.is_leaving(&group.members[i].config.name);
        let Some(winner) = choose_candidate(&grants, preferred) else {
            return self.report_failure(group, term, "no majority granted the term");
        };
        emit(
            Event::TermRaised,
            &[
                ("group", &group.name),
                ("term", &term),
                ("winner", &group.members[winner].config.name),
            ],
        );
        let grant_ms = requested_at.elapsed();
        let requested_at = Ms::now();
        let member = &group.members[winner];
        let sql = (self.member_control.promote)(term, &proposer);
        let promoted = self
            .run_control(group, member, &sql, PROMOTE_TIMEOUT_MS)
            .await;
        if !promoted.is_ok_and(|r| r.granted && r.leads && r.term == term) {
            return self.report_failure(group, term, "the winner was not promoted");
        }
        group.record_primary(term, &member.config.name);
        let change = Change {
            group: group.name.clone(),
            term,
            warden: self.membership.own_name.clone(),
            evidence: trigger.reason.into(),
            winner: member.config.name.clone(),
            unix_ms,
            silent_ms: trigger.silent_ms,
            check_ms,
            grant_ms,
            promote_ms: requested_at.elapsed(),
            planned: trigger.planned,
            steps: describe_steps(group, probes, &grants),
        };
        let took_ms = trigger.started_at.elapsed();
        emit(
            Event::PrimaryChanged,
            &[
                ("group", &group.name),
                ("term", &term),
                ("leader", &change.winner),
                ("took_ms", &took_ms),
            ],
        );
        self.stats.add_change(change);
        self.announce_change(group, term, winner);
        true
    }

    /// Logs the failure of a primary change and returns false, its result.
    fn report_failure(&self, group: &GroupState, term: u64, why: &str) -> bool {
        emit(
            Event::ChangeFailed,
            &[("group", &group.name), ("term", &term), ("why", &why)],
        );
        false
    }

    /// Requests the term from every member that reported, concurrently; from none if fewer than a
    /// majority reported. Returns the members' answers, which may be refusals.
    async fn request_grants(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        probes: &[ProbeOutcome],
        term: u64,
        proposer: &str,
    ) -> Vec<Option<MemberReport>> {
        let reported = |i: usize| matches!(probes[i], ProbeOutcome::Report(_));
        let sql = (self.member_control.raise)(term, proposer);
        let calls = group
            .members
            .iter()
            .enumerate()
            .filter(|(i, _)| reported(*i))
            .map(|(i, member)| {
                let (daemon, group, member, sql) =
                    (self.clone(), group.clone(), member.clone(), sql.clone());
                async move {
                    (
                        i,
                        daemon
                            .run_control(&group, &member, &sql, GRANT_TIMEOUT_MS)
                            .await
                            .ok(),
                    )
                }
            });
        let mut grants = vec![None; group.members.len()];
        let calls: Vec<_> = calls.collect();
        if calls.len() < majority(grants.len()) {
            return grants;
        }
        for (i, report) in join_within(calls, GRANT_TIMEOUT_MS, |_| false).await {
            grants[i] = report;
        }
        grants
    }

    /// Makes the other members follow the winner and records the term on the platform, in the
    /// background.
    fn announce_change(self: &Rc<Self>, group: &Rc<GroupState>, term: u64, winner: usize) {
        let addr = group.members[winner].config.addr.clone();
        for (i, member) in group.members.iter().enumerate() {
            if i == winner {
                continue;
            }
            let (daemon, group, member, addr) =
                (self.clone(), group.clone(), member.clone(), addr.clone());
            monoio::spawn(async move {
                for _ in 0..MAX_FOLLOW_ATTEMPTS {
                    let superseded = group.known_primary.borrow().term > term;
                    if superseded || daemon.request_follow(&group, &member, term, &addr).await {
                        member.control.close();
                        return;
                    }
                    sleep(FOLLOW_RETRY_DELAY_MS).await;
                }
            });
        }
        let record = TermRecord {
            term,
            leader: group.members[winner].config.name.clone(),
            warden: self.membership.own_name.clone(),
        };
        let (daemon, name) = (self.clone(), group.name.replace('/', "."));
        monoio::spawn(async move { daemon.record_term(&name, &record).await });
    }

    /// Records the term on the platform, unless it already holds the same term or a newer one.
    async fn record_term(&self, name: &str, record: &TermRecord) {
        let Ok(stored) = self.platform.object("terms", name, RECORD_TIMEOUT_MS).await else {
            return;
        };
        let old: Option<TermRecord> = serde_json::from_value(stored.value).ok();
        if old.is_some_and(|o| o.term >= record.term) {
            return;
        }
        let value =
            serde_json::to_value(record).expect("a term record has only strings and numbers");
        let _ = self
            .platform
            .update("terms", name, stored.version, &value, RECORD_TIMEOUT_MS)
            .await;
    }
}

/// Probe outcome and grant of each member, one line per member.
fn describe_steps(
    group: &GroupState,
    probes: &[ProbeOutcome],
    grants: &[Option<MemberReport>],
) -> Vec<Box<str>> {
    let line = |i: usize| {
        let state = match &probes[i] {
            ProbeOutcome::Report(r) if r.leads => format!("led term {} at {}", r.term, r.last),
            ProbeOutcome::Report(r) => format!(
                "had not heard its primary for {} ms, at {}",
                r.contact_ms, r.last
            ),
            ProbeOutcome::Refused => "refused connections".to_owned(),
            ProbeOutcome::NoResponse => "did not answer".to_owned(),
        };
        let grant = match &grants[i] {
            Some(r) if r.granted => format!("granted at {}", r.last),
            Some(r) => format!("refused, its term is {}", r.term),
            None => "no grant".to_owned(),
        };
        format!("{}: {state}; {grant}", group.members[i].config.name).into()
    };
    (0..probes.len()).map(line).collect()
}
