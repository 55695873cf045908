//! Routing to the primary: writes, statements that match no rule, and reads that no replica served.

use std::rc::Rc;

use base::{Metric, Ms};
use schema::{Outcome, Reason, RunRequest, reason_after_unknown};

use crate::cluster::GroupState;
use crate::frontend::call::AttemptResult;
use crate::frontend::plan::RequestPlan;
use crate::join::sleep;
use crate::state::Daemon;
use crate::upstream::refusal;

/// Delay between two attempts of a request that waits for a primary, in ms.
const PRIMARY_SEARCH_INTERVAL_MS: u64 = 15;

impl Daemon {
    /// Runs a request on the primary; while there is none, waits up to `hold_ms` for a new one.
    pub async fn run_on_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        plan: &RequestPlan,
        run: RunRequest,
        deadline: Ms,
    ) -> AttemptResult {
        let started_at = Ms::now();
        let mut last_reason = Reason::NoPrimary;
        let mut may_have_run = false;
        loop {
            let found = match group.primary() {
                Some(found) => Some(found),
                None => self.find_primary(group, deadline).await,
            };
            if let Some((term, name)) = found {
                let primary = (term, &*name);
                match self
                    .try_primary(group, plan, &run, primary, deadline, &mut may_have_run)
                    .await
                {
                    Ok(result) if may_have_run && result.answer.outcome == Outcome::NotRun => {
                        last_reason = result.answer.why;
                    }
                    Ok(result) => return result,
                    Err(reason) => last_reason = reason,
                }
            }
            if deadline.left() == 0 || !self.may_wait(group, started_at) {
                if may_have_run {
                    last_reason = reason_after_unknown(last_reason);
                }
                return AttemptResult {
                    answer: refusal(run.id, last_reason, 0),
                    transaction: None,
                };
            }
            sleep(PRIMARY_SEARCH_INTERVAL_MS).await;
        }
    }

    /// Whether a request that has not run may keep waiting for a primary: up to `hold_ms`.
    ///
    /// Once a group has had no primary for `hold_ms`, new requests are refused after a single
    /// search instead of accumulating.
    fn may_wait(&self, group: &GroupState, started_at: Ms) -> bool {
        let hold_ms = self.settings.timing.hold_ms;
        let no_primary_since = group.known_primary.borrow().no_primary_since;
        started_at.elapsed() < hold_ms && no_primary_since.is_none_or(|at| at.elapsed() < hold_ms)
    }

    /// Tries the owners of the primary in turn; after an unknown outcome, only if the request may
    /// be repeated and the retry budget permits it. `may_have_run` is set after an unknown outcome.
    ///
    /// # Errors
    /// The reason of the last refusal, `NoHome` if the last attempt had an unknown outcome and may
    /// be repeated, `NoPrimary` if the member is not configured, or `Deadline`; the request may
    /// then be sent to a primary again.
    async fn try_primary(
        self: &Rc<Self>,
        group: &Rc<GroupState>,
        plan: &RequestPlan,
        run: &RunRequest,
        primary: (u64, &str),
        deadline: Ms,
        may_have_run: &mut bool,
    ) -> Result<AttemptResult, Reason> {
        let (term, name) = primary;
        let Some(member) = group.member(name) else {
            return Err(Reason::NoPrimary);
        };
        let mut last_reason = Reason::NoHome;
        for (owner, force) in self.candidate_owners(&member.config) {
            let left_ms = deadline.left();
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
                (
                    Outcome::NotRun,
                    reason @ (Reason::NoHome | Reason::Leaving | Reason::NoConfig),
                ) => {
                    last_reason = reason;
                }
                (
                    Outcome::NotRun,
                    reason @ (Reason::NotPrimary | Reason::NoPrimary | Reason::KeyFailed),
                ) => {
                    last_reason = reason;
                    break;
                }
                (Outcome::Unknown, _)
                    if may_repeat(plan, run)
                        && self.stats.may_retry(&run.group, &self.settings) =>
                {
                    self.stats.count(Metric::Retries);
                    *may_have_run = true;
                    last_reason = Reason::NoHome;
                }
                _ => return Ok(result),
            }
        }
        group.clear_primary(term);
        Err(last_reason)
    }
}

/// Whether a request with an unknown outcome may be sent again: its rule says so, or its
/// idempotency key keeps it from running twice.
fn may_repeat(plan: &RequestPlan, run: &RunRequest) -> bool {
    plan.repeat || !run.key.is_empty()
}
