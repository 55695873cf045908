//! One attempt at the home of a member: on this daemon or on another.

use std::rc::Rc;

use base::Metric;
use peer::{CallError, Conn};
use schema::{Member, Reason, RunRequest, RunResponse};

use crate::frontend::transaction::Hold;
use crate::state::Daemon;
use crate::upstream::refusal;

/// Time beyond the deadline that a home has for its own answer, in ms.
const GRACE_MS: u64 = 50;

/// Result of one attempt: the answer, and what an open transaction holds on to.
pub struct Tried {
    /// The home's answer, or a refusal made here.
    pub answer: RunResponse,
    /// Set when the batch left a transaction open.
    pub hold: Option<Hold>,
}

impl Daemon {
    /// Daemons to try for a member, best first, with whether they must be forced.
    pub fn candidates(&self, member: &Member) -> Vec<(Box<str>, bool)> {
        let homes = usize::try_from(self.settings.limits.homes).unwrap_or(usize::MAX);
        let ranking = self.roster.ranking(member);
        let mut regular: Vec<Box<str>> = ranking.iter().take(homes).cloned().collect();
        fastrand::shuffle(&mut regular);
        // This daemon itself first, those that could not be reached lately last.
        regular.sort_by_key(|n| (self.roster.is_shunned(n), *n != self.roster.me));
        let stand_ins = ranking
            .into_iter()
            .skip(homes)
            .take(homes)
            .map(|n| (n, true));
        regular
            .into_iter()
            .map(|n| (n, false))
            .chain(stand_ins)
            .collect()
    }

    /// Sends a batch to a daemon and waits for its answer.
    pub async fn attempt(self: &Rc<Self>, home: &str, run: RunRequest) -> Tried {
        if self.cancels.is_marked(run.id) {
            return Tried {
                answer: refusal(run.id, Reason::Cancelled, 0),
                hold: None,
            };
        }
        let member = run.member.clone();
        let _sent = self.cancels.sent(run.id, home);
        if *home == *self.roster.me {
            let answer = self.run_batch(run, 0).await;
            let hold = (answer.lease != 0).then(|| Hold::here(self, &member, &answer));
            return Tried { answer, hold };
        }
        self.stats.count(Metric::Hops);
        let id = run.id;
        let Some(addr) = self.roster.daemon(home) else {
            return Tried {
                answer: refusal(id, Reason::NoHome, 0),
                hold: None,
            };
        };
        let Ok(mut conn) = self.peers.take(addr).await else {
            self.roster.shun(home);
            return Tried {
                answer: refusal(id, Reason::NoHome, 0),
                hold: None,
            };
        };
        match remote(&mut conn, &run).await {
            Ok(answer) if answer.lease != 0 => {
                let hold = Hold::there(home, &member, &answer, conn);
                Tried {
                    answer,
                    hold: Some(hold),
                }
            }
            Ok(answer) => {
                if answer.why == Reason::Leaving {
                    self.avoid_stopping(home);
                } else {
                    self.peers.put(conn);
                }
                Tried { answer, hold: None }
            }
            Err(answer) => {
                self.roster.shun(home);
                Tried { answer, hold: None }
            }
        }
    }
}

/// One call; the error is the answer that follows from it.
pub async fn remote(conn: &mut Conn, run: &RunRequest) -> Result<RunResponse, RunResponse> {
    let answer: Result<RunResponse, CallError> =
        conn.call("/v1/run", run, run.left_ms + GRACE_MS).await;
    match answer {
        Ok(answer) if answer.id == run.id => Ok(answer),
        Ok(_) => Err(refusal(run.id, Reason::Crossed, 0)),
        Err(e) if e.is_not_sent() => Err(refusal(run.id, Reason::NoHome, 0)),
        Err(_) => Err(refusal(run.id, Reason::LostLink, 0)),
    }
}
