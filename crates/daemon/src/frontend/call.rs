//! One attempt to run a batch through an owner of a member, which may be this daemon.

use std::rc::Rc;

use base::Metric;
use peer::{CallError, Conn};
use schema::{Member, Reason, RunRequest, RunResponse};

use crate::frontend::transaction::OpenTransaction;
use crate::state::Daemon;
use crate::upstream::refusal;

/// Time added to the deadline to form the timeout of a call, so that the owner's own deadline error
/// arrives first.
const ANSWER_GRACE_MS: u64 = 50;

/// Result of one attempt.
pub struct AttemptResult {
    /// The owner's answer, or a refusal created by this daemon.
    pub answer: RunResponse,
    /// Set when the batch left a transaction open.
    pub transaction: Option<OpenTransaction>,
}

impl Daemon {
    /// Daemons to try for a member, in order: first its regular owners, shuffled, but with this
    /// daemon first and avoided ones last; then as many fallbacks, in the order of the ranking.
    ///
    /// The flag (`RunRequest::force`) is set for fallbacks, which do not own the member.
    pub fn candidate_owners(&self, member: &Member) -> Vec<(Box<str>, bool)> {
        let owner_count = usize::try_from(self.settings.limits.homes).unwrap_or(usize::MAX);
        let ranking = self.membership.owner_ranking(member);
        let mut regular: Vec<Box<str>> = ranking.iter().take(owner_count).cloned().collect();
        fastrand::shuffle(&mut regular);
        // Avoided daemons come last; otherwise this daemon, if it is an owner, comes first.
        regular.sort_by_key(|name| {
            (
                self.membership.is_avoided(name),
                *name != self.membership.own_name,
            )
        });
        let fallback = ranking
            .into_iter()
            .skip(owner_count)
            .take(owner_count)
            .map(|name| (name, true));
        regular
            .into_iter()
            .map(|name| (name, false))
            .chain(fallback)
            .collect()
    }

    /// Runs a batch through one owner and waits for the answer; a request that was already
    /// cancelled is answered with `Cancelled` instead.
    pub async fn attempt(self: &Rc<Self>, owner: &str, run: RunRequest) -> AttemptResult {
        if self.cancels.is_cancelled(run.id) {
            return AttemptResult {
                answer: refusal(run.id, Reason::Cancelled, 0),
                transaction: None,
            };
        }
        let member = run.member.clone();
        let _sent = self.cancels.record_forwarded(run.id, owner);
        if *owner == *self.membership.own_name {
            let answer = self.run_batch(run, 0).await;
            let transaction =
                (answer.lease != 0).then(|| OpenTransaction::local(self, &member, &answer));
            return AttemptResult {
                answer,
                transaction,
            };
        }
        self.stats.count(Metric::Hops);
        let id = run.id;
        let Some(addr) = self.membership.daemon_addr(owner) else {
            return AttemptResult {
                answer: refusal(id, Reason::NoHome, 0),
                transaction: None,
            };
        };
        let Ok(mut conn) = self.peers.take(addr).await else {
            self.membership.mark_unreachable(owner);
            return AttemptResult {
                answer: refusal(id, Reason::NoHome, 0),
                transaction: None,
            };
        };
        match call_owner(&mut conn, &run).await {
            Ok(answer) if answer.lease != 0 => {
                let transaction = OpenTransaction::remote(owner, &member, &answer, conn);
                AttemptResult {
                    answer,
                    transaction: Some(transaction),
                }
            }
            Ok(answer) => {
                if answer.why == Reason::Leaving {
                    self.mark_stopping(owner);
                } else {
                    self.peers.put(conn);
                }
                AttemptResult {
                    answer,
                    transaction: None,
                }
            }
            // Any failed exchange counts as unreachable, also one with another request's response.
            Err(refusal) => {
                self.membership.mark_unreachable(owner);
                AttemptResult {
                    answer: refusal,
                    transaction: None,
                }
            }
        }
    }
}

/// Sends a batch to an owner over a peer connection and waits for the response.
///
/// # Errors
/// The refusal to answer with, after which the connection must be dropped: `NoHome` when the batch
/// was not sent, `LostLink` when its outcome is unknown, `Crossed` when the response belongs to
/// another request.
pub async fn call_owner(conn: &mut Conn, run: &RunRequest) -> Result<RunResponse, RunResponse> {
    let answer: Result<RunResponse, CallError> = conn
        .call("/v1/run", run, run.left_ms + ANSWER_GRACE_MS)
        .await;
    match answer {
        Ok(answer) if answer.id == run.id => Ok(answer),
        Ok(_) => Err(refusal(run.id, Reason::Crossed, 0)),
        Err(e) if e.is_not_sent() => Err(refusal(run.id, Reason::NoHome, 0)),
        Err(_) => Err(refusal(run.id, Reason::LostLink, 0)),
    }
}
