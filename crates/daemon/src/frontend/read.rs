//! Read routing: a replica that meets the read's freshness precondition, preferably in this data
//! centre, or else the primary.

use std::rc::Rc;

use base::{Metric, Ms};
use schema::{Outcome, Reason, RunRequest};

use crate::cluster::{GroupState, MemberState};
use crate::frontend::call::AttemptResult;
use crate::frontend::plan::RequestPlan;
use crate::state::Daemon;
use crate::upstream::refusal;

/// An attempt at a replica may take the remaining time divided by this number, which leaves time
/// for the next replica or the primary.
const ATTEMPT_TIME_DIVISOR: u64 = 3;

/// Result of a read, and where it was served.
pub struct ReadResult {
    pub result: AttemptResult,
    /// `replica`, `cancelled`, or `primary: REASON` with the reason why the last replica tried did
    /// not serve it.
    pub place: String,
}

impl Daemon {
    /// Runs a read on a replica, or on the primary when no replica serves it.
    pub async fn run_read(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        plan: &RequestPlan,
        run: RunRequest,
        deadline: Ms,
    ) -> ReadResult {
        let mut last_reason = Reason::NoHome;
        for member in self.replicas(group) {
            if deadline.left() == 0 {
                break;
            }
            match self.try_replica(&member, &run, deadline).await {
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
                Err(reason) => last_reason = reason,
            }
        }
        let mut result = self.run_on_primary(group, plan, run, deadline).await;
        // A read has no effect, so one with an unknown outcome may be reported as not run.
        if result.answer.outcome == Outcome::Unknown {
            result.answer = refusal(result.answer.id, Reason::Stale, 0);
        }
        ReadResult {
            result,
            place: format!("primary: {last_reason:?}"),
        }
    }

    /// Replicas in the order to try: those in this data centre first; members that are leaving are
    /// left out.
    fn replicas(&self, group: &GroupState) -> Vec<Rc<MemberState>> {
        let primary = group.primary().map(|(_, name)| name).unwrap_or_default();
        let is_candidate = |m: &&Rc<MemberState>| {
            m.config.name != primary && !self.membership.is_leaving(&m.config.name)
        };
        let mut members: Vec<_> = group.members.iter().filter(is_candidate).cloned().collect();
        fastrand::shuffle(&mut members);
        members.sort_by_key(|m| m.config.data_center != self.membership.data_center);
        members
    }

    /// Tries the regular owners of one replica in turn.
    ///
    /// # Errors
    /// The reason why the last owner tried did not serve the read.
    async fn try_replica(
        self: &Rc<Self>,
        member: &Rc<MemberState>,
        run: &RunRequest,
        deadline: Ms,
    ) -> Result<AttemptResult, Reason> {
        let mut last_reason = Reason::NoHome;
        for (owner, force) in self
            .candidate_owners(&member.config)
            .into_iter()
            .filter(|(_, force)| !force)
        {
            let left_ms = (deadline.left() / ATTEMPT_TIME_DIVISOR).max(1);
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
            last_reason = result.answer.why;
            let try_next_owner = matches!(
                last_reason,
                Reason::NoHome | Reason::Overload | Reason::NoConfig | Reason::Leaving
            );
            if !try_next_owner {
                break;
            }
        }
        Err(last_reason)
    }
}
