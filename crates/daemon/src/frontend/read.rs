//! Reads: the nearest replica that can prove what the read demands, else the primary.

use std::rc::Rc;

use base::{Metric, Ms};
use schema::{Outcome, Reason, RunRequest};

use crate::cluster::{GroupState, MemberState};
use crate::frontend::call::AttemptResult;
use crate::frontend::plan::RequestPlan;
use crate::state::Daemon;
use crate::upstream::refusal;

/// Share of the time left that one attempt at a replica may take, as a divisor.
const ATTEMPT_SHARE: u64 = 3;

/// Where a read was served, with the reason when it was the primary.
pub struct ReadResult {
    /// The last attempt.
    pub result: AttemptResult,
    /// `replica`, or `primary: REASON`.
    pub place: String,
}

impl Daemon {
    /// Runs a read.
    pub async fn run_read(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        plan: &RequestPlan,
        run: RunRequest,
        until: Ms,
    ) -> ReadResult {
        let mut reason = Reason::NoHome;
        for member in self.replicas(group) {
            if until.left() == 0 {
                break;
            }
            match self.try_replica(&member, &run, until).await {
                Ok(result) => {
                    return ReadResult {
                        result,
                        place: "replica".to_owned(),
                    };
                }
                Err(Reason::Cancelled) => {
                    let answer = refusal(run.id, Reason::Cancelled, 0);
                    return ReadResult {
                        result: AttemptResult {
                            answer,
                            transaction: None,
                        },
                        place: "cancelled".to_owned(),
                    };
                }
                Err(why) => reason = why,
            }
        }
        let mut result = self.run_on_primary(group, plan, run, until).await;
        // A read has no effect, so "not run" is true of one whose answer was withheld.
        if result.answer.outcome == Outcome::Unknown {
            result.answer = refusal(result.answer.id, Reason::Stale, 0);
        }
        ReadResult {
            result,
            place: format!("primary: {reason:?}"),
        }
    }

    /// Replicas in the order to try: this data centre first, and those that leave not at all.
    fn replicas(&self, group: &GroupState) -> Vec<Rc<MemberState>> {
        let leader = group.leader().map(|(_, name)| name).unwrap_or_default();
        let stays = |m: &&Rc<MemberState>| {
            m.config.name != leader && !self.membership.is_leaving(&m.config.name)
        };
        let mut list: Vec<_> = group.members.iter().filter(stays).cloned().collect();
        fastrand::shuffle(&mut list);
        list.sort_by_key(|m| m.config.data_center != self.membership.data_center);
        list
    }

    /// Tries the owners of one replica; the error says why it did not serve.
    async fn try_replica(
        self: &Rc<Self>,
        member: &Rc<MemberState>,
        run: &RunRequest,
        until: Ms,
    ) -> Result<AttemptResult, Reason> {
        let mut last = Reason::NoHome;
        for (owner, force) in self
            .candidate_owners(&member.config)
            .into_iter()
            .filter(|(_, force)| !force)
        {
            let left_ms = (until.left() / ATTEMPT_SHARE).max(1);
            let attempt = RunRequest {
                member: member.config.name.clone(),
                force,
                left_ms,
                ..run.clone()
            };
            let result = self.attempt(&owner, attempt).await;
            if result.answer.outcome == Outcome::Done {
                self.stats.count(Metric::ReplicaReads);
                return Ok(result);
            }
            last = result.answer.why;
            let elsewhere = matches!(
                last,
                Reason::NoHome | Reason::Overload | Reason::NoConfig | Reason::Leaving
            );
            if !elsewhere {
                break;
            }
        }
        Err(last)
    }
}
