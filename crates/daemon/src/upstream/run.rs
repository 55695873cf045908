//! Runs one batch on a member and answers for what is known of it.
//!
//! `send` is the one place where the bytes of a request leave for an upstream. Everything before
//! it may refuse with "not run"; everything after it answers, or says "unknown".

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use base::{Event, Ms, emit};
use group::MemberReport;
use pg::{BatchJob, BatchResult, UpstreamError, frames};
use schema::{ByteBuf, Class, Outcome, Pos, Reason, RunRequest, RunResponse, reply};

use crate::cluster::{GroupState, MemberState};
use crate::join::sleep;
use crate::state::Daemon;
use crate::upstream::freshness::FreshnessPrecondition;
use crate::upstream::pinned::PinnedConn;
use crate::upstream::pool::PooledConn;

/// SQLSTATE of a write on a member that does not lead.
const READ_ONLY: &[u8] = b"C25006\0";

/// Time that a batch has to end once a newer primary is known, in ms.
const OUTRUN_MS: u64 = 20;

/// An answer that is not the upstream's.
pub fn refusal(id: u64, why: Reason, retry_ms: u64) -> RunResponse {
    let row = reply(why);
    RunResponse {
        id,
        outcome: row.outcome,
        why,
        retry_ms: if retry_ms == 0 {
            row.retry_ms
        } else {
            retry_ms
        },
        body: ByteBuf::new(),
        status: b'I',
        lease: 0,
        pos: Pos::ZERO,
        term: 0,
        leader: "".into(),
        age_ms: 0,
    }
}

/// Counts a running batch, also when its task is dropped.
struct RunningGuard<'a>(&'a Cell<u64>);

impl<'a> RunningGuard<'a> {
    fn new(count: &'a Cell<u64>) -> RunningGuard<'a> {
        count.set(count.get() + 1);
        RunningGuard(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Where a batch runs, and until when.
pub(super) struct RunContext {
    pub group: Rc<GroupState>,
    pub member: Rc<MemberState>,
    /// When the request came.
    pub begin: Ms,
    pub until: Ms,
}

impl Daemon {
    /// Runs one batch as the owner of a member; `link` is the peer connection it came on.
    pub async fn run_batch(self: &Rc<Self>, run: RunRequest, link: u64) -> RunResponse {
        let begin = Ms::now();
        let counted = RunningGuard::new(&self.running);
        let mut answer = self.run_here(&run, link, begin).await;
        drop(counted);
        self.cancels.clear_cancelled(run.id);
        if let Some(group) = self.group(&run.group) {
            let route = group.known_leader.borrow();
            answer.term = route.term;
            answer.leader = route.leader.clone();
        }
        answer
    }

    async fn run_here(self: &Rc<Self>, run: &RunRequest, link: u64, begin: Ms) -> RunResponse {
        let Some(group) = self.group(&run.group) else {
            return refusal(run.id, Reason::NoConfig, 0);
        };
        let Some(member) = group.member(&run.member).cloned() else {
            return refusal(run.id, Reason::NoHome, 0);
        };
        let place = RunContext {
            group,
            member,
            begin,
            until: begin.plus(run.left_ms),
        };
        if run.lease != 0 {
            return self.go_on(run, place, link).await;
        }
        if let Err(why) = self.admit(run, &place) {
            return refusal(run.id, why, 0);
        }
        let permit = match place.member.admission.admit(&run.user, place.until).await {
            Ok(permit) => permit,
            Err(refused) => return refusal(run.id, refused.why, refused.retry_ms),
        };
        let taken = match place
            .member
            .pool
            .take(&place.member.login, place.until)
            .await
        {
            Ok(taken) => taken,
            Err(why) => return refusal(run.id, why, 0),
        };
        let answer = if run.key.is_empty() {
            self.begin_on(run, &place, taken, link, permit).await
        } else {
            self.run_idempotent(run, &place, taken).await
        };
        answer.unwrap_or_else(|why| refusal(run.id, why, 0))
    }

    /// Checks that need no upstream.
    fn admit(&self, run: &RunRequest, place: &RunContext) -> Result<(), Reason> {
        let member = &place.member;
        if self.membership.stopping.get() {
            return Err(Reason::Leaving);
        }
        if !run.force && member.heartbeat.borrow().is_none() {
            return Err(Reason::NoHome);
        }
        let leads = member.probe.report().is_some_and(|r| r.leads);
        if run.primary && place.group.paused_until.get().left() > 0 {
            return Err(Reason::NotPrimary);
        }
        if run.primary && !leads && !run.force {
            return Err(Reason::NotPrimary);
        }
        if self.membership.is_leaving(&member.config.name) && !(run.primary && leads) {
            return Err(Reason::Leaving);
        }
        Ok(())
    }

    async fn begin_on(
        self: &Rc<Self>,
        run: &RunRequest,
        place: &RunContext,
        mut taken: PooledConn,
        link: u64,
        permit: crate::upstream::admission::Permit,
    ) -> Result<RunResponse, Reason> {
        let proof = self.check_freshness(run, place, &mut taken).await?;
        if place.until.left() == 0 {
            return Err(Reason::Deadline);
        }
        if self.cancels.is_cancelled(run.id) {
            return Err(Reason::Cancelled);
        }
        let (ran, report) = match self.send(run, place, &mut taken).await {
            Ok(done) => done,
            Err(why) => return Ok(refusal(run.id, why, 0)),
        };
        drop(permit);
        let (status, leads) = (ran.status, report.as_ref().is_some_and(|r| r.leads));
        if run.primary && !leads && !may_commit(run) && (status != b'I' || is_read_only(&ran)) {
            // Nothing was committed: the member refused to write, or its transaction ends here.
            return Err(Reason::NotPrimary);
        }
        if status != b'I' {
            let lease = PinnedConn {
                taken,
                place: (run.group.clone(), run.member.clone()),
                link,
                used: Ms::now(),
                taint: run.taint,
            };
            self.pinned.put(run.id, lease);
            return Ok(completed(run, &ran, Pos::ZERO, run.id));
        }
        if run.taint {
            taint(&mut taken);
        }
        taken.give_back();
        self.check_answer(run, place, ran, report, proof).await
    }

    /// Goes on with an open transaction.
    async fn go_on(self: &Rc<Self>, run: &RunRequest, place: RunContext, link: u64) -> RunResponse {
        let Some(mut lease) = self.pinned.take(run.lease) else {
            return refusal(run.id, Reason::LostTransaction, 0);
        };
        if lease.link != link || lease.place != (run.group.clone(), run.member.clone()) {
            return refusal(run.id, Reason::LostTransaction, 0);
        }
        let ends = may_commit(run);
        let (ran, report) = match self.send(run, &place, &mut lease.taken).await {
            Ok(done) => done,
            // Without a COMMIT under way the loss of the connection rolls everything back.
            Err(why) => {
                return refusal(run.id, if ends { why } else { Reason::LostTransaction }, 0);
            }
        };
        lease.used = Ms::now();
        lease.taint |= run.taint;
        if ran.status != b'I' {
            self.pinned.put(run.lease, lease);
            return completed(run, &ran, Pos::ZERO, run.lease);
        }
        if lease.taint {
            taint(&mut lease.taken);
        }
        lease.taken.give_back();
        let proof = FreshnessPrecondition::NONE;
        let answer = self.check_answer(run, &place, ran, report, proof).await;
        answer.unwrap_or_else(|why| refusal(run.id, why, 0))
    }

    /// Sends a batch and collects its whole answer. After an error it may have run.
    pub(super) async fn send(
        &self,
        run: &RunRequest,
        place: &RunContext,
        taken: &mut PooledConn,
    ) -> Result<(BatchResult, Option<MemberReport>), Reason> {
        let nonce = format!("{:x}", self.new_request_id());
        let barrier = (self.member_control.status)(&nonce);
        let limit = usize::try_from(self.settings.limits.answer_bytes).unwrap_or(usize::MAX);
        let job = BatchJob {
            batch: &run.batch,
            vars: &run.vars,
            barrier: &barrier,
            nonce: &nonce,
            limit,
        };
        let asked = Ms::now();
        let conn = taken.conn();
        let key = conn.key;
        self.cancels
            .record_running(run.id, place.member.login.addr, key);
        let limit = Duration::from_millis(place.until.left());
        let term = place.group.known_leader.borrow().term;
        let sent = monoio::select! {
            sent = monoio::time::timeout(limit, conn.run(&job)) => sent,
            () = await_newer_term(&place.group, term, run.primary || run.lease != 0) => Ok(Err(UpstreamError::Superseded)),
        };
        self.cancels.remove_running(run.id);
        let error = match sent {
            Ok(Ok(ran)) => {
                let report = ran
                    .barrier
                    .as_ref()
                    .and_then(|row| (self.member_control.parse)(row, asked));
                if let Some(report) = &report {
                    place.group.record_report(&place.member, report.clone());
                }
                return Ok((ran, report));
            }
            Ok(Err(e)) => e,
            Err(_) => UpstreamError::Io(std::io::ErrorKind::TimedOut.into()),
        };
        // Answers may still be under way, so the connection must not go back to the pool.
        conn.status = b'?';
        let event = if matches!(error, UpstreamError::Crossed) {
            Event::UpstreamMismatch
        } else {
            Event::UpstreamLost
        };
        emit(
            event,
            &[("member", &run.member), ("id", &run.id), ("error", &error)],
        );
        Err(error.reason())
    }

    /// Decides whether an answer may leave, and with which position.
    async fn check_answer(
        self: &Rc<Self>,
        run: &RunRequest,
        place: &RunContext,
        ran: BatchResult,
        report: Option<MemberReport>,
        proof: FreshnessPrecondition,
    ) -> Result<RunResponse, Reason> {
        let lost = if run.class == Class::Read {
            Reason::Behind
        } else {
            Reason::Unconfirmed
        };
        let Some(report) = report else {
            return Ok(refusal(run.id, lost, 0));
        };
        if run.primary || report.leads {
            let since = (run.class == Class::Read).then_some(place.begin);
            let sure = report.leads
                && self
                    .confirm(&place.group, (&run.member, &report), since, place.until)
                    .await;
            if !sure {
                return Ok(refusal(run.id, lost, 0));
            }
        } else {
            // A replica that moved to another term since the sample proves nothing about it.
            let same =
                proof.term == report.term && proof.sample.is_none_or(|m| m.term == report.term);
            if !same || report.last < proof.floor {
                return Err(Reason::Behind);
            }
        }
        let mut answer = completed(run, &ran, report.last, 0);
        if let Some(mark) = proof.sample {
            answer.age_ms = mark.asked.elapsed();
            if run.max_age_ms.is_some_and(|max| answer.age_ms > max) {
                return Err(Reason::Stale);
            }
        }
        Ok(answer)
    }
}

/// Returns once a newer term than `term` is known, when the batch runs on a primary.
async fn await_newer_term(group: &GroupState, term: u64, on_primary: bool) {
    if !on_primary {
        std::future::pending::<()>().await;
    }
    loop {
        let seen = group.changed.generation();
        if group.known_leader.borrow().term > term {
            sleep(OUTRUN_MS).await;
            return;
        }
        group.changed.wait_past(seen).await;
    }
}

/// Makes the next user of a connection reset its settings.
fn taint(taken: &mut PooledConn) {
    let unknown = schema::Var {
        name: "?".into(),
        sql: "".into(),
    };
    taken.conn().set_vars(&[unknown]);
}

fn is_read_only(ran: &BatchResult) -> bool {
    let errors = frames(&ran.body).into_iter().filter(|f| f.tag == b'E');
    errors
        .into_iter()
        .any(|f| f.body().windows(READ_ONLY.len()).any(|w| w == READ_ONLY))
}

/// Whether a batch may commit the transaction that it runs in.
pub fn may_commit(run: &RunRequest) -> bool {
    let commits = |sql: &str| {
        let sql = schema::normalize(sql);
        ["commit", "end"].iter().any(|w| {
            sql.starts_with(w) || sql.contains(&format!("; {w}")) || sql.contains(&format!(";{w}"))
        })
    };
    commits(&run.batch.sql) || run.batch.prepares.iter().any(|p| commits(&p.sql))
}

pub(super) fn completed(run: &RunRequest, ran: &BatchResult, pos: Pos, lease: u64) -> RunResponse {
    RunResponse {
        outcome: Outcome::Done,
        why: Reason::None,
        retry_ms: 0,
        body: ByteBuf::from(ran.body.to_vec()),
        status: ran.status,
        lease,
        pos,
        ..refusal(run.id, Reason::None, 0)
    }
}
