//! One change of primary: raise the term on a majority, promote the most advanced member.

use std::rc::Rc;

use base::{Event, Ms, emit};
use group::{MemberReport, ProbeOutcome, choose_candidate, majority};
use schema::{Change, TermRecord};

use crate::cluster::GroupState;
use crate::failover::evaluate::ChangeTrigger;
use crate::join::{join_within, sleep};
use crate::state::Daemon;

/// Time for members to grant a term, in ms.
const GRANT_MS: u64 = 300;
/// Time for a member to become primary, in ms.
const PROMOTE_MS: u64 = 500;
/// Attempts to make another member follow, and the pause between them in ms.
const FOLLOW_TRIES: u64 = 20;
const FOLLOW_STEP_MS: u64 = 250;
/// Time for the record on the platform, in ms. Nothing waits for it.
const RECORD_MS: u64 = 2000;

impl Daemon {
    /// Runs one change; true when a member leads the new term.
    pub(super) async fn change_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        seen: &[ProbeOutcome],
        evidence: ChangeTrigger,
    ) -> bool {
        let unix_ms = Ms::unix();
        let check_ms = evidence.begin.elapsed();
        let known = seen.iter().filter_map(|s| {
            if let ProbeOutcome::Report(r) = s {
                Some(r.term)
            } else {
                None
            }
        });
        let term = known
            .max()
            .unwrap_or(0)
            .max(group.known_leader.borrow().term)
            + 1;
        let proposer = format!("{}#{:x}", self.membership.me, fastrand::u64(..));
        let asked = Ms::now();
        let grants = self.raise_all(group, seen, term, &proposer).await;
        let stays = |i: usize| !self.membership.is_leaving(&group.members[i].config.name);
        let Some(best) = choose_candidate(&grants, stays) else {
            return self.fail(group, term, "no majority granted the term");
        };
        emit(
            Event::TermRaised,
            &[
                ("group", &group.name),
                ("term", &term),
                ("winner", &group.members[best].config.name),
            ],
        );
        let grant_ms = asked.elapsed();
        let asked = Ms::now();
        let member = &group.members[best];
        let sql = (self.member_control.promote)(term, &proposer);
        let promoted = self.control(group, member, &sql, PROMOTE_MS).await;
        if !promoted.is_ok_and(|r| r.granted && r.leads && r.term == term) {
            return self.fail(group, term, "the winner was not promoted");
        }
        group.record_leader(term, &member.config.name);
        let change = Change {
            group: group.name.clone(),
            term,
            warden: self.membership.me.clone(),
            evidence: evidence.why.into(),
            winner: member.config.name.clone(),
            unix_ms,
            silent_ms: evidence.silent_ms,
            check_ms,
            grant_ms,
            promote_ms: asked.elapsed(),
            planned: evidence.planned,
            steps: told(group, seen, &grants),
        };
        let took = evidence.begin.elapsed();
        emit(
            Event::PrimaryChanged,
            &[
                ("group", &group.name),
                ("term", &term),
                ("leader", &change.winner),
                ("took_ms", &took),
            ],
        );
        self.stats.add_change(change);
        self.spread_change(group, term, best);
        true
    }

    fn fail(&self, group: &GroupState, term: u64, why: &str) -> bool {
        emit(
            Event::ChangeFailed,
            &[("group", &group.name), ("term", &term), ("why", &why)],
        );
        false
    }

    /// Raises the term on every member that reported, side by side.
    async fn raise_all(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        seen: &[ProbeOutcome],
        term: u64,
        proposer: &str,
    ) -> Vec<Option<MemberReport>> {
        let reported = |i: usize| matches!(seen[i], ProbeOutcome::Report(_));
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
                        daemon.control(&group, &member, &sql, GRANT_MS).await.ok(),
                    )
                }
            });
        let mut grants = vec![None; group.members.len()];
        let calls: Vec<_> = calls.collect();
        if calls.len() < majority(grants.len()) {
            return grants;
        }
        for (i, report) in join_within(calls, GRANT_MS, |_| false).await {
            grants[i] = report;
        }
        grants
    }

    /// Tells the other members, and records the term on the platform, in the background.
    fn spread_change(self: &Rc<Self>, group: &Rc<GroupState>, term: u64, best: usize) {
        let addr = group.members[best].config.addr.clone();
        for (i, member) in group.members.iter().enumerate() {
            if i == best {
                continue;
            }
            let (daemon, group, member, addr) =
                (self.clone(), group.clone(), member.clone(), addr.clone());
            monoio::spawn(async move {
                for _ in 0..FOLLOW_TRIES {
                    let newer = group.known_leader.borrow().term > term;
                    if newer || daemon.order_follow(&group, &member, term, &addr).await {
                        member.control.close();
                        return;
                    }
                    sleep(FOLLOW_STEP_MS).await;
                }
            });
        }
        let record = TermRecord {
            term,
            leader: group.members[best].config.name.clone(),
            warden: self.membership.me.clone(),
        };
        let (daemon, name) = (self.clone(), group.name.replace('/', "."));
        monoio::spawn(async move { daemon.record_term(&name, &record).await });
    }

    /// Writes the term to the platform unless a newer one stands there.
    async fn record_term(&self, name: &str, record: &TermRecord) {
        let Ok(stored) = self.platform.object("terms", name, RECORD_MS).await else {
            return;
        };
        let old: Option<TermRecord> = serde_json::from_value(stored.value).ok();
        if old.is_some_and(|o| o.term >= record.term) {
            return;
        }
        let value = serde_json::to_value(record).expect("a record is plain data");
        let _ = self
            .platform
            .update("terms", name, stored.version, &value, RECORD_MS)
            .await;
    }
}

/// What was seen and granted, one line for each member.
fn told(
    group: &GroupState,
    seen: &[ProbeOutcome],
    grants: &[Option<MemberReport>],
) -> Vec<Box<str>> {
    let line = |i: usize| {
        let state = match &seen[i] {
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
    (0..seen.len()).map(line).collect()
}
