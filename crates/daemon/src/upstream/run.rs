//! Runs a batch on a member and reports its outcome.
//!
//! Only `send` passes a batch to an upstream. A failure before it means that the request was not
//! run; after it, a write whose effect is in doubt has an unknown outcome.

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

/// Code field of an error message with SQLSTATE 25006: write on a member that is not the primary.
const READ_ONLY_SQLSTATE: &[u8] = b"C25006\0";

/// Time for a running batch to end once a primary of a newer term is known, in ms.
const SUPERSEDED_GRACE_MS: u64 = 20;

/// Builds a response that carries no answer of an upstream; a `retry_ms` of 0 selects the default
/// of the reason.
pub fn refusal(id: u64, reason: Reason, retry_ms: u64) -> RunResponse {
    let defaults = reply(reason);
    RunResponse {
        id,
        outcome: defaults.outcome,
        why: reason,
        retry_ms: if retry_ms == 0 {
            defaults.retry_ms
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

/// Drop guard that counts a batch as running.
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

/// Target and time limits of a batch.
pub(super) struct RunContext {
    pub group: Rc<GroupState>,
    pub member: Rc<MemberState>,
    /// When the request was received.
    pub received_at: Ms,
    pub deadline: Ms,
}

impl Daemon {
    /// Runs a batch as an owner of the member; `conn_id` is the id of the peer connection of the
    /// request, or 0 for a session of this daemon.
    pub async fn run_batch(self: &Rc<Self>, request: RunRequest, conn_id: u64) -> RunResponse {
        let received_at = Ms::now();
        let guard = RunningGuard::new(&self.running_batches);
        let mut response = self.run_on_member(&request, conn_id, received_at).await;
        drop(guard);
        self.cancels.clear_cancelled(request.id);
        if let Some(group) = self.group(&request.group) {
            let known = group.known_primary.borrow();
            response.term = known.term;
            response.leader = known.name.clone();
        }
        response
    }

    async fn run_on_member(
        self: &Rc<Self>,
        request: &RunRequest,
        conn_id: u64,
        received_at: Ms,
    ) -> RunResponse {
        let Some(group) = self.group(&request.group) else {
            return refusal(request.id, Reason::NoConfig, 0);
        };
        let Some(member) = group.member(&request.member).cloned() else {
            return refusal(request.id, Reason::NoHome, 0);
        };
        let ctx = RunContext {
            group,
            member,
            received_at,
            deadline: received_at.plus(request.left_ms),
        };
        if request.lease != 0 {
            return self.continue_transaction(request, ctx, conn_id).await;
        }
        if let Err(reason) = self.check_accepts(request, &ctx) {
            return refusal(request.id, reason, 0);
        }
        let permit = match ctx
            .member
            .admission
            .admit(&request.user, ctx.deadline)
            .await
        {
            Ok(permit) => permit,
            Err(rejection) => return refusal(request.id, rejection.reason, rejection.retry_ms),
        };
        let conn = match ctx.member.pool.take(&ctx.member.login, ctx.deadline).await {
            Ok(conn) => conn,
            Err(reason) => return refusal(request.id, reason, 0),
        };
        let response = if request.key.is_empty() {
            self.run_on_conn(request, &ctx, conn, conn_id, permit).await
        } else {
            self.run_idempotent(request, &ctx, conn).await
        };
        response.unwrap_or_else(|reason| refusal(request.id, reason, 0))
    }

    /// Checks, from the state of this daemon alone, that it may run the request on the member.
    ///
    /// # Errors
    /// `Leaving` if the daemon is stopping, or if the member's VM leaves and the request is not for
    /// a primary there; `NotPrimary` if the group is paused for a switchover; unless `force` is
    /// set, `NoHome` if the daemon does not own the member and `NotPrimary` if it does not lead.
    fn check_accepts(&self, request: &RunRequest, ctx: &RunContext) -> Result<(), Reason> {
        let member = &ctx.member;
        if self.membership.stopping.get() {
            return Err(Reason::Leaving);
        }
        if !request.force && member.heartbeat.borrow().is_none() {
            return Err(Reason::NoHome);
        }
        let leads = member.probe.report().is_some_and(|r| r.leads);
        if request.primary && ctx.group.paused_until.get().left() > 0 {
            return Err(Reason::NotPrimary);
        }
        if request.primary && !leads && !request.force {
            return Err(Reason::NotPrimary);
        }
        if self.membership.is_leaving(&member.config.name) && !(request.primary && leads) {
            return Err(Reason::Leaving);
        }
        Ok(())
    }

    /// Runs a batch outside any transaction; pins the connection if the batch leaves one open.
    ///
    /// # Errors
    /// The reason why the request was not run or had no effect; other failures are responses.
    async fn run_on_conn(
        self: &Rc<Self>,
        request: &RunRequest,
        ctx: &RunContext,
        mut conn: PooledConn,
        conn_id: u64,
        permit: crate::upstream::admission::Permit,
    ) -> Result<RunResponse, Reason> {
        let precondition = self.check_freshness(request, ctx, &mut conn).await?;
        if ctx.deadline.left() == 0 {
            return Err(Reason::Deadline);
        }
        if self.cancels.is_cancelled(request.id) {
            return Err(Reason::Cancelled);
        }
        let (result, report) = match self.send(request, ctx, &mut conn).await {
            Ok(done) => done,
            Err(reason) => return Ok(refusal(request.id, reason, 0)),
        };
        drop(permit);
        let (status, leads) = (result.status, report.as_ref().is_some_and(|r| r.leads));
        if request.primary
            && !leads
            && !may_commit(request)
            && (status != b'I' || has_read_only_error(&result))
        {
            // Nothing was committed: the member refused the write, or the open transaction is
            // rolled back when the connection closes.
            return Err(Reason::NotPrimary);
        }
        if status != b'I' {
            let pinned = PinnedConn {
                conn,
                target: (request.group.clone(), request.member.clone()),
                conn_id,
                last_used: Ms::now(),
                tainted: request.taint,
            };
            self.pinned.put(request.id, pinned);
            return Ok(completed(request, &result, Pos::ZERO, request.id));
        }
        if request.taint {
            mark_tainted(&mut conn);
        }
        conn.return_to_pool();
        self.check_answer(request, ctx, result, report, precondition)
            .await
    }

    /// Runs a batch in the open transaction that the request's lease names.
    async fn continue_transaction(
        self: &Rc<Self>,
        request: &RunRequest,
        ctx: RunContext,
        conn_id: u64,
    ) -> RunResponse {
        let Some(mut pinned) = self.pinned.take(request.lease) else {
            return refusal(request.id, Reason::LostTransaction, 0);
        };
        if pinned.conn_id != conn_id
            || pinned.target != (request.group.clone(), request.member.clone())
        {
            return refusal(request.id, Reason::LostTransaction, 0);
        }
        let commits = may_commit(request);
        let (result, report) = match self.send(request, &ctx, &mut pinned.conn).await {
            Ok(done) => done,
            // Unless a COMMIT was sent, the loss of the connection rolls the transaction back.
            Err(reason) => {
                return refusal(
                    request.id,
                    if commits {
                        reason
                    } else {
                        Reason::LostTransaction
                    },
                    0,
                );
            }
        };
        pinned.last_used = Ms::now();
        pinned.tainted |= request.taint;
        if result.status != b'I' {
            self.pinned.put(request.lease, pinned);
            return completed(request, &result, Pos::ZERO, request.lease);
        }
        if pinned.tainted {
            mark_tainted(&mut pinned.conn);
        }
        pinned.conn.return_to_pool();
        let precondition = FreshnessPrecondition::NONE;
        let response = self
            .check_answer(request, &ctx, result, report, precondition)
            .await;
        response.unwrap_or_else(|reason| refusal(request.id, reason, 0))
    }

    /// Sends a batch with its barrier and waits for the complete answer; returns it with the
    /// member's report from the barrier.
    ///
    /// # Errors
    /// The reason for the failure; the batch may have run.
    pub(super) async fn send(
        &self,
        request: &RunRequest,
        ctx: &RunContext,
        pooled: &mut PooledConn,
    ) -> Result<(BatchResult, Option<MemberReport>), Reason> {
        let nonce = format!("{:x}", self.new_request_id());
        let barrier = (self.member_control.status)(&nonce);
        let max_answer_bytes =
            usize::try_from(self.settings.limits.answer_bytes).unwrap_or(usize::MAX);
        let job = BatchJob {
            batch: &request.batch,
            vars: &request.vars,
            barrier: &barrier,
            nonce: &nonce,
            max_answer_bytes,
        };
        let requested_at = Ms::now();
        let conn = pooled.conn();
        let key = conn.key;
        self.cancels
            .record_running(request.id, ctx.member.login.addr, key);
        let timeout = Duration::from_millis(ctx.deadline.left());
        let term = ctx.group.known_primary.borrow().term;
        let sent = monoio::select! {
            sent = monoio::time::timeout(timeout, conn.run(&job)) => sent,
            () = await_newer_term(&ctx.group, term, request.primary || request.lease != 0) => Ok(Err(UpstreamError::Superseded)),
        };
        self.cancels.remove_running(request.id);
        let error = match sent {
            Ok(Ok(result)) => {
                let report = result
                    .barrier
                    .as_ref()
                    .and_then(|row| (self.member_control.parse)(row, requested_at));
                if let Some(report) = &report {
                    ctx.group.record_report(&ctx.member, report.clone());
                }
                return Ok((result, report));
            }
            Ok(Err(e)) => e,
            Err(_) => UpstreamError::Io(std::io::ErrorKind::TimedOut.into()),
        };
        // Answers may be outstanding, so the connection must not return to the pool.
        conn.status = b'?';
        let event = if matches!(error, UpstreamError::Crossed) {
            Event::UpstreamMismatch
        } else {
            Event::UpstreamLost
        };
        emit(
            event,
            &[
                ("member", &request.member),
                ("id", &request.id),
                ("error", &error),
            ],
        );
        Err(error.reason())
    }

    /// Checks whether an answer may be returned, and adds its position and age: one of the primary
    /// has to be confirmed by a majority, one of a replica has to meet the precondition still.
    async fn check_answer(
        self: &Rc<Self>,
        request: &RunRequest,
        ctx: &RunContext,
        result: BatchResult,
        report: Option<MemberReport>,
        precondition: FreshnessPrecondition,
    ) -> Result<RunResponse, Reason> {
        let failure = if request.class == Class::Read {
            Reason::Behind
        } else {
            Reason::Unconfirmed
        };
        let Some(report) = report else {
            return Ok(refusal(request.id, failure, 0));
        };
        if request.primary || report.leads {
            let since = (request.class == Class::Read).then_some(ctx.received_at);
            let confirmed = report.leads
                && self
                    .confirm(&ctx.group, (&request.member, &report), since, ctx.deadline)
                    .await;
            if !confirmed {
                return Ok(refusal(request.id, failure, 0));
            }
        } else {
            // If the replica has changed its term since the sample, the sample no longer bounds
            // the age of its data.
            let same_term = precondition.term == report.term
                && precondition.sample.is_none_or(|s| s.term == report.term);
            if !same_term || report.last < precondition.min_pos {
                return Err(Reason::Behind);
            }
        }
        let mut response = completed(request, &result, report.last, 0);
        if let Some(sample) = precondition.sample {
            response.age_ms = sample.requested_at.elapsed();
            if request.max_age_ms.is_some_and(|max| response.age_ms > max) {
                return Err(Reason::Stale);
            }
        }
        Ok(response)
    }
}

/// Returns `SUPERSEDED_GRACE_MS` after a newer term than `term` is known; never for a batch on a
/// replica.
async fn await_newer_term(group: &GroupState, term: u64, on_primary: bool) {
    if !on_primary {
        std::future::pending::<()>().await;
    }
    loop {
        let generation = group.changed.generation();
        if group.known_primary.borrow().term > term {
            sleep(SUPERSEDED_GRACE_MS).await;
            return;
        }
        group.changed.wait_past(generation).await;
    }
}

/// Records unknown settings for a connection, so that they are reset before its next batch.
fn mark_tainted(pooled: &mut PooledConn) {
    let unknown = schema::Var {
        name: "?".into(),
        sql: "".into(),
    };
    pooled.conn().set_vars(&[unknown]);
}

fn has_read_only_error(result: &BatchResult) -> bool {
    let errors = frames(&result.body).into_iter().filter(|f| f.tag == b'E');
    errors.into_iter().any(|f| {
        f.body()
            .windows(READ_ONLY_SQLSTATE.len())
            .any(|w| w == READ_ONLY_SQLSTATE)
    })
}

/// Whether a batch may commit its transaction, judged by its SQL text.
pub fn may_commit(request: &RunRequest) -> bool {
    let commits = |sql: &str| {
        let sql = schema::normalize(sql);
        ["commit", "end"].iter().any(|w| {
            sql.starts_with(w) || sql.contains(&format!("; {w}")) || sql.contains(&format!(";{w}"))
        })
    };
    commits(&request.batch.sql) || request.batch.prepares.iter().any(|p| commits(&p.sql))
}

pub(super) fn completed(
    request: &RunRequest,
    result: &BatchResult,
    pos: Pos,
    lease: u64,
) -> RunResponse {
    RunResponse {
        outcome: Outcome::Done,
        why: Reason::None,
        retry_ms: 0,
        body: ByteBuf::from(result.body.to_vec()),
        status: result.status,
        lease,
        pos,
        ..refusal(request.id, Reason::None, 0)
    }
}
