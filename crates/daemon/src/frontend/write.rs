//! Requests for the primary: writes, and whatever no rule knows.

use std::rc::Rc;

use base::{Metric, Ms};
use schema::{Outcome, Reason, RunRequest};

use crate::cluster::GroupState;
use crate::frontend::call::AttemptResult;
use crate::frontend::plan::RequestPlan;
use crate::join::sleep;
use crate::state::Daemon;
use crate::upstream::refusal;

/// Pause between two searches for a primary, in ms.
const SEARCH_STEP_MS: u64 = 15;

impl Daemon {
    /// Runs a request on the primary, waiting for a new one as long as is allowed.
    pub async fn run_on_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        plan: &RequestPlan,
        run: RunRequest,
        until: Ms,
    ) -> AttemptResult {
        let begin = Ms::now();
        let mut last = Reason::NoPrimary;
        loop {
            let found = match group.leader() {
                Some(found) => Some(found),
                None => self.find_leader(group, until).await,
            };
            if let Some((term, leader)) = found {
                match self
                    .try_leader(group, plan, &run, (term, &leader), until)
                    .await
                {
                    Ok(result) => return result,
                    Err(why) => last = why,
                }
            }
            if until.left() == 0 || !self.may_wait(group, begin) {
                return AttemptResult {
                    answer: refusal(run.id, last, 0),
                    transaction: None,
                };
            }
            sleep(SEARCH_STEP_MS).await;
        }
    }

    /// Whether a request that has not run may go on waiting for a primary.
    ///
    /// Once a group has been without one for the whole allowance, new requests are refused after
    /// a single search instead of piling up.
    fn may_wait(&self, group: &GroupState, begin: Ms) -> bool {
        let hold = self.settings.timing.hold_ms;
        let lost = group.known_leader.borrow().lost;
        begin.elapsed() < hold && lost.is_none_or(|at| at.elapsed() < hold)
    }

    /// Tries the owners of a leader; the error says why the request has not run.
    async fn try_leader(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        plan: &RequestPlan,
        run: &RunRequest,
        leader: (u64, &str),
        until: Ms,
    ) -> Result<AttemptResult, Reason> {
        let (term, name) = leader;
        let Some(member) = group.member(name) else {
            return Err(Reason::NoPrimary);
        };
        let mut last = Reason::NoHome;
        for (owner, force) in self.candidate_owners(&member.config) {
            let left_ms = until.left();
            if left_ms == 0 {
                return Err(Reason::Deadline);
            }
            let attempt = RunRequest {
                member: name.into(),
                primary: true,
                force,
                left_ms,
                ..run.clone()
            };
            let result = monoio::select! {
                result = self.attempt(&owner, attempt) => result,
                () = self.await_newer_term(group, term) => AttemptResult { answer: refusal(run.id, Reason::LostLink, 0), transaction: None },
            };
            group.record_hint(result.answer.term, &result.answer.leader);
            match (result.answer.outcome, result.answer.why) {
                (Outcome::NotRun, why @ (Reason::NoHome | Reason::Leaving | Reason::NoConfig)) => {
                    last = why;
                }
                (
                    Outcome::NotRun,
                    why @ (Reason::NotPrimary | Reason::NoPrimary | Reason::KeyFailed),
                ) => {
                    last = why;
                    break;
                }
                (Outcome::Unknown, _)
                    if may_repeat(plan, run)
                        && self.stats.may_retry(&run.group, &self.settings) =>
                {
                    self.stats.count(Metric::Retries);
                    last = Reason::NoHome;
                }
                _ => return Ok(result),
            }
        }
        group.clear_leader(term);
        Err(last)
    }
}

/// Whether a request with an unknown outcome may be sent again.
fn may_repeat(plan: &RequestPlan, run: &RunRequest) -> bool {
    plan.repeat || !run.key.is_empty()
}
