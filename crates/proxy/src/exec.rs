//! Runs single statements: chooses a member, retries where that is safe, maps errors to replies.

mod task;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::{Event, Ms, emit, sleep_ms};
use schema::Pos;

pub use task::StatementTask;

use crate::group::{ConnRequest, Refusal};
use crate::progress::Stage;
use crate::quota::Charge;
use crate::routing::{Requirement, read_requirement};
use crate::stats::ReadLabels;
use crate::{
    Conn, ConnError, ErrorKind, Freshness, Group, Identity, Member, Proxy, Rank, Reply, Role, Route,
};

/// Time for which a member that replied `Busy` is given no reads that any member may serve.
const FULL_MEMBER_BACKOFF_MS: u64 = 15;
/// Delay before a write is retried on a primary that replied `Busy`.
const PRIMARY_BUSY_DELAY_MS: u64 = 10;
/// Shortest reply timeout of a read, unless less time is left; after it the read is retried on
/// another member.
const MIN_READ_TIMEOUT_MS: u64 = 250;
/// Number of `Failed` replies to one read that are retried on other members.
const MAX_FAILED_READS: u64 = 2;
/// How long a write's reply is held back for a lease that covers the instant of the reply.
const LEASE_WAIT_MS: u64 = 400;

/// Failed attempts at one statement.
#[derive(Default)]
pub struct Attempts {
    /// Members that gave no reply to a read, or replied `Failed`; they are not tried again.
    pub excluded: Vec<Box<str>>,
    /// Number of `Failed` replies that were retried.
    failed_reads: u64,
    /// Kind of the last error reply.
    last_error: Option<ErrorKind>,
}

/// What to do after a reply or a lost connection.
pub enum RetryDecision {
    /// Choose a member and run the statement again.
    Retry,
    /// Return this reply to the caller.
    Return(Reply),
}

/// Context of a statement in execution, for routing decisions, logs and metrics.
pub struct StatementContext<'a> {
    pub group: &'a Rc<Group>,
    pub route: &'a Route,
    /// Whom the session belongs to.
    pub identity: Option<Identity>,
    /// Charge of the operation; not used inside a transaction after its first statement.
    pub charge: Charge<'a>,
    /// Newest position in the replies to the session's successful commits and writes outside
    /// transactions.
    pub last_write: Pos,
    /// When the timeout of the route is over, or the stop of the daemon requires the answer.
    pub deadline: Ms,
    /// Identifier of the member that was chosen last; empty before the first attempt.
    pub member: RefCell<Box<str>>,
    /// Time from arrival until the last attempt got its connection or was refused one, in ms.
    pub wait_ms: Cell<u64>,
    /// Role of the member that was chosen last, and the reason for the choice.
    pub read_labels: RefCell<Option<ReadLabels>>,
    /// Number of retries.
    pub retries: Cell<u64>,
}

impl<'a> StatementContext<'a> {
    pub fn new(
        proxy: &'a Rc<Proxy>,
        group: &'a Rc<Group>,
        route: &'a Route,
        identity: Option<Identity>,
        last_write: Pos,
        deadline: Ms,
    ) -> StatementContext<'a> {
        StatementContext {
            group,
            route,
            identity,
            charge: Charge::new(proxy),
            last_write,
            deadline,
            member: RefCell::default(),
            wait_ms: Cell::new(0),
            read_labels: RefCell::default(),
            retries: Cell::new(0),
        }
    }

    /// Rank of the statement in the wait queue.
    pub fn rank(&self, arrival: Ms) -> Rank {
        Rank {
            priority: self.route.priority,
            target: arrival.plus(self.route.target),
            deadline: self.deadline,
        }
    }

    /// What a member must fulfil to run the statement.
    ///
    /// # Errors
    /// The `Behind` reply when no position sample is fresh enough and the primary is unavailable.
    pub fn requirement(&self, write: bool, arrival: Ms) -> Result<Requirement, Reply> {
        if write {
            return Ok(Requirement::Primary(arrival));
        }
        let known = read_requirement(
            self.route,
            arrival,
            self.last_write,
            &self.group.history.borrow(),
        );
        // Without a fresh position sample, as after a start, the read goes to the primary, which
        // can serve any read.
        if known.is_none() && self.group.is_primary_unavailable() {
            let text = "no position is known to be fresh enough";
            return Err(Reply::error(ErrorKind::Behind, text));
        }
        Ok(known.unwrap_or(Requirement::Primary(arrival)))
    }

    /// Reply timeout of one attempt, in ms. A write gets all the time left, since it is not
    /// retried after a timeout.
    pub fn reply_timeout_ms(&self, write: bool) -> u64 {
        if write {
            return self.deadline.left();
        }
        (self.route.timeout / 2)
            .max(MIN_READ_TIMEOUT_MS)
            .min(self.deadline.left())
    }

    /// Charges the operation to the session's account, unless that was done before.
    ///
    /// # Errors
    /// The `Busy` reply when the account is over its rate.
    pub async fn charge(&self, task: &StatementTask<'_>) -> Result<(), Reply> {
        task.progress.stage.set(Stage::RateLimit);
        let result = self.charge.admit(self.identity, self.deadline).await;
        result.inspect_err(|_| self.log_over_rate(task))
    }

    /// Records that the operation is about to be sent to a member.
    ///
    /// # Errors
    /// The `Busy` reply when no time is left for the reply, or what the operation was charged has
    /// expired while it waited.
    pub fn mark_sent(&self, task: &StatementTask<'_>) -> Result<(), Reply> {
        if self.deadline.left() == 0 {
            return Err(self.refuse(task, Refusal::Late, &Attempts::default()));
        }
        let result = self.charge.mark_sent();
        result.inspect_err(|_| self.log_over_rate(task))
    }

    fn log_over_rate(&self, task: &StatementTask<'_>) {
        emit(
            Event::StatementNotRun,
            &[
                ("id", &task.statement.id),
                ("group", &self.group.name),
                ("kind", &format!("{:?}", ErrorKind::Busy)),
                ("cause", &"OverRate"),
                ("waited", &task.arrival().elapsed()),
            ],
        );
    }

    /// Acquires a connection to a member that meets the requirement.
    ///
    /// # Errors
    /// The `Busy` reply when no connection becomes free in time, or when none is expected to.
    pub async fn connect(
        &self,
        requirement: Requirement,
        task: &StatementTask<'_>,
        attempts: &Attempts,
    ) -> Result<Conn, Reply> {
        task.progress.stage.set(Stage::Connection);
        let rank = self.rank(task.arrival());
        let account = self.identity.map(|identity| identity.account);
        let request = ConnRequest {
            requirement,
            purpose: self.group.statement_purpose(account),
            rank,
            route: Some(self.group.route_key(self.route, task.write)),
            excluded: attempts.excluded.clone(),
            is_new: self.retries.get() == 0,
        };
        let result = self.group.acquire(request).await;
        self.wait_ms.set(task.arrival().elapsed());
        if let Ok(conn) = &result {
            task.progress.stage.set(Stage::SetUp);
            self.member.replace(conn.member.id.clone());
            self.read_labels
                .replace(Some(self.labels_for(requirement, &conn.member)));
        }
        result.map_err(|refusal| self.refuse(task, refusal, attempts))
    }

    /// Metric labels for a read on this member.
    fn labels_for(&self, requirement: Requirement, member: &Member) -> ReadLabels {
        let is_primary = member
            .last_probe
            .get()
            .is_some_and(|p| p.role == Role::Primary);
        let reason = match requirement {
            Requirement::Primary(_) if self.route.freshness == Freshness::Newest => "newest",
            Requirement::Primary(_) => "no_position",
            Requirement::Contains(_) | Requirement::Member(_) => "cheapest",
        };
        ReadLabels {
            role: if is_primary { "primary" } else { "replica" },
            reason,
        }
    }

    /// Logs that the statement was not run and builds the `Busy` reply.
    fn refuse(&self, task: &StatementTask, refusal: Refusal, attempts: &Attempts) -> Reply {
        let text = match refusal {
            Refusal::Full => "no capacity within the time allowed",
            Refusal::Late => "no member could take it in time",
            Refusal::NoPrimary => "no primary can be used now",
            Refusal::NoConn => "no connection for the account in time",
        };
        emit(
            Event::StatementNotRun,
            &[
                ("id", &task.statement.id),
                ("group", &self.group.name),
                ("kind", &format!("{:?}", ErrorKind::Busy)),
                ("cause", &format!("{refusal:?}")),
                ("last", &format!("{:?}", attempts.last_error)),
                ("waited", &task.arrival().elapsed()),
                ("queue", &self.group.queue_len()),
                ("lease_left", &self.group.lease_until().left()),
            ],
        );
        Reply::error(ErrorKind::Busy, text)
    }

    /// The position that the statement names to the member, so that the member refuses to run it
    /// without that position.
    pub fn named_position(&self, requirement: Requirement) -> Option<Pos> {
        match requirement {
            Requirement::Contains(pos) => Some(self.group.on_branch(pos)),
            Requirement::Primary(_) | Requirement::Member(_) => None,
        }
    }

    /// Decides how to go on after a reply of a member chosen by `requirement`: successes, and errors
    /// that a retry would repeat or that make it unsafe, are returned; the others are retried until
    /// the deadline.
    pub async fn after_reply(
        &self,
        task: &StatementTask<'_>,
        conn: &mut Conn,
        requirement: Requirement,
        reply: Reply,
        attempts: &mut Attempts,
    ) -> RetryDecision {
        let Some(kind) = reply.error_kind() else {
            return RetryDecision::Return(reply);
        };
        attempts.last_error = Some(kind);
        let member = &conn.member;
        match kind {
            ErrorKind::Busy => {
                member
                    .full_until
                    .set(Ms::now().plus(FULL_MEMBER_BACKOFF_MS));
                self.group.on_rejected(requirement);
                if task.write {
                    sleep_ms(PRIMARY_BUSY_DELAY_MS).await;
                }
            }
            ErrorKind::Behind => {
                let wanted = self.named_position(requirement).unwrap_or(Pos::ZERO);
                member.record_lag(wanted, reply.pos, Ms::now());
            }
            ErrorKind::NoStatement => conn.clear_prepared(),
            // The last probe result, which said that it was primary, is out of date.
            ErrorKind::NotPrimary => member.last_probe.set(None),
            ErrorKind::Failed if !task.write && attempts.failed_reads < MAX_FAILED_READS => {
                attempts.failed_reads += 1;
                attempts.excluded.push(member.id.clone());
            }
            _ => return RetryDecision::Return(reply),
        }
        if self.deadline.left() == 0 {
            return RetryDecision::Return(Reply::error(ErrorKind::Busy, "no time is left"));
        }
        self.retries.set(self.retries.get() + 1);
        RetryDecision::Retry
    }

    /// Records the time that a member took for a statement.
    pub fn record_service(&self, member: &Member, task: &StatementTask, reply: &Reply, at: Ms) {
        let took_ms = at.elapsed();
        if reply.error_kind().is_none() {
            let key = self.group.route_key(self.route, task.write);
            self.group.on_service(member, key, took_ms);
        } else {
            member.record_latency(took_ms, Ms::now());
        }
    }

    /// Decides how to go on after the connection was lost with a statement in flight: a read is
    /// retried on another member, the outcome of a write is unknown.
    pub fn after_loss(
        &self,
        task: &StatementTask,
        conn: Conn,
        e: &ConnError,
        attempts: &mut Attempts,
    ) -> RetryDecision {
        let member = conn.member.clone();
        drop(conn);
        self.group.on_conn_lost(&member, e);
        if task.write {
            return RetryDecision::Return(self.in_doubt(task, &e.to_string()));
        }
        self.record_retry(task, &member.id, e);
        attempts.excluded.push(member.id.clone());
        if self.deadline.left() == 0 {
            return RetryDecision::Return(Reply::error(ErrorKind::TimedOut, "no answer in time"));
        }
        RetryDecision::Retry
    }

    /// Logs a failed attempt that a retry may follow, and counts the retry.
    pub fn record_retry(&self, task: &StatementTask, member: &str, e: &ConnError) {
        self.retries.set(self.retries.get() + 1);
        emit(
            Event::AttemptFailed,
            &[
                ("id", &task.statement.id),
                ("member", &member),
                ("cause", e),
            ],
        );
    }

    /// Logs a statement whose outcome is unknown and builds the `InDoubt` reply.
    pub fn in_doubt(&self, task: &StatementTask, cause: &str) -> Reply {
        emit(
            Event::StatementInDoubt,
            &[
                ("id", &task.statement.id),
                ("group", &self.group.name),
                ("cause", &cause),
                ("lease_left", &self.group.lease_until().left()),
            ],
        );
        Reply::error(ErrorKind::InDoubt, "the outcome is unknown")
    }

    /// Returns a write's success once the lease covers the instant of the reply, and `InDoubt` if
    /// it does not in time: the member might have been replaced as primary already, and the write
    /// might be missing from the new one.
    pub async fn confirm_lease(&self, task: &StatementTask<'_>, reply: Reply) -> Reply {
        task.progress.stage.set(Stage::Lease);
        let answered_at = Ms::now();
        let term = reply.pos.map_or(0, |p| p.term);
        let wait_deadline = answered_at.plus(LEASE_WAIT_MS);
        loop {
            let generation = self.group.changed.generation();
            if self.group.newest_term() > term {
                return self.in_doubt(task, "another primary took over");
            }
            // Until they are on record, a member may have confirmed the write of which no later daemon
            // would know.
            if self.group.lease_until() >= answered_at && self.group.is_recorded() {
                return reply;
            }
            if wait_deadline.left() == 0 {
                return self.in_doubt(task, "the lease on the primary ran out");
            }
            let wait = std::time::Duration::from_millis(wait_deadline.left());
            let _ = monoio::time::timeout(wait, self.group.changed.wait_past(generation)).await;
        }
    }
}

/// Runs a statement outside a transaction.
pub async fn run_single(
    cx: &StatementContext<'_>,
    task: &StatementTask<'_>,
    vars: &crate::statement::SessionVars,
) -> Reply {
    let mut attempts = Attempts::default();
    if let Err(refusal) = cx.charge(task).await {
        return refusal;
    }
    loop {
        let requirement = match cx.requirement(task.write, task.arrival()) {
            Ok(requirement) => requirement,
            Err(refusal) => return refusal,
        };
        let mut conn = match cx.connect(requirement, task, &attempts).await {
            Ok(conn) => conn,
            Err(refusal) => return refusal,
        };
        let timeout_ms = cx.reply_timeout_ms(task.write);
        if let Err(e) = conn.set_up(vars, task.prepared(), timeout_ms).await {
            // The caller's statement has not been sent yet, so a retry is safe.
            cx.record_retry(task, &conn.member.id, &e);
            let member = conn.member.clone();
            drop(conn);
            cx.group.on_conn_lost(&member, &e);
            continue;
        }
        if let Err(refusal) = cx.mark_sent(task) {
            cx.group.release(conn);
            return refusal;
        }
        let after = cx.named_position(requirement);
        let sent_at = Ms::now();
        task.progress.writes.set(task.write);
        if task.write {
            cx.group.pending_writes.borrow_mut().push(sent_at);
        }
        let result = task
            .send(&mut conn, after, cx.reply_timeout_ms(task.write))
            .await;
        if task.write {
            remove_pending_write(cx.group, sent_at);
        }
        cx.charge.record_reply(result.as_ref().ok());
        let decision = match result {
            Ok(reply) => {
                cx.group.on_reply(&conn.member, sent_at, &reply);
                cx.record_service(&conn.member, task, &reply, sent_at);
                let decision = cx
                    .after_reply(task, &mut conn, requirement, reply, &mut attempts)
                    .await;
                cx.group.release(conn);
                decision
            }
            Err(e) => cx.after_loss(task, conn, &e, &mut attempts),
        };
        match decision {
            RetryDecision::Retry => {}
            RetryDecision::Return(reply) if task.write && reply.error_kind().is_none() => {
                return cx.confirm_lease(task, reply).await;
            }
            RetryDecision::Return(reply) => return reply,
        }
    }
}

/// Removes one write, sent at `sent_at`, from the group's pending writes.
pub fn remove_pending_write(group: &Group, sent_at: Ms) {
    let mut writes = group.pending_writes.borrow_mut();
    if let Some(i) = writes.iter().position(|&at| at == sent_at) {
        writes.swap_remove(i);
    }
}
