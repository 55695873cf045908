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
                return AttemptResult {
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
        for (home, force) in self.candidates(&member.config) {
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
            let tried = monoio::select! {
                tried = self.attempt(&home, attempt) => tried,
                () = self.superseded(group, term) => AttemptResult { answer: refusal(run.id, Reason::LostLink, 0), hold: None },
            };
            group.note_hint(tried.answer.term, &tried.answer.leader);
            match (tried.answer.outcome, tried.answer.why) {
                (Outcome::NotRun, why @ (Reason::NoHome | Reason::Leaving | Reason::NoConfig)) => {
                    last = why
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
                _ => return Ok(tried),
            }
        }
        group.lose_leader(term);
        Err(last)
    }
}

/// Whether a request with an unknown outcome may be sent again.
fn may_repeat(plan: &RequestPlan, run: &RunRequest) -> bool {
    plan.repeat || !run.key.is_empty()
}
