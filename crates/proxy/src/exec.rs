//! Runs single statements: places them, tries again where that is harmless, and judges answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::{Event, Ms, emit};
use schema::Pos;

use crate::group::Refusal;
use crate::routing::{Requirement, read_requirement};
use crate::state::sleep_ms;
use crate::stats::ReadLabels;
use crate::{
    Command, Conn, ConnError, ErrorKind, Freshness, Group, Member, PreparedStatement, Rank, Reply,
    Role, Route, Statement,
};

/// Time for which a member without room gets no reads, in ms.
const FULL_MS: u64 = 15;
/// Pause before the primary is asked again after it had no room, in ms.
const AGAIN_MS: u64 = 10;
/// Shortest time after which a read is also tried elsewhere, in ms.
const PATIENCE_MS: u64 = 250;
/// Reads that may fail at members before the failure is passed on.
const FAILURES: u64 = 2;
/// Time for which a write's answer waits for a lease that covers it, in ms.
const COVER_MS: u64 = 400;

/// A statement on its way.
pub struct StatementTask<'a> {
    /// The caller's statement.
    pub statement: &'a Statement,
    /// What it runs when it is a prepared one, with its arguments.
    pub prepared: Option<(&'a PreparedStatement, &'a str)>,
    /// Whether it writes.
    pub write: bool,
    /// When it was read from the caller.
    pub arrival: Ms,
}

impl StatementTask<'_> {
    /// The plan that must be prepared for it.
    pub fn prepared(&self) -> Option<&PreparedStatement> {
        self.prepared.map(|(plan, _)| plan)
    }

    /// Sends it on a connection.
    ///
    /// # Errors
    /// As `Conn::run`.
    pub async fn send(
        &self,
        conn: &mut Conn,
        after: Option<Pos>,
        within: u64,
    ) -> Result<Reply, ConnError> {
        let id = &self.statement.id;
        let Some((plan, args)) = self.prepared else {
            let text = &self.statement.text;
            return conn.run(&Command::Run { id, after, text }, within).await;
        };
        let name = conn.statement_name(plan).unwrap_or_default();
        let command = Command::Execute {
            id,
            after,
            name: &name,
            args,
        };
        conn.run(&command, within).await
    }
}

/// What has been tried for a statement.
#[derive(Default)]
pub struct Attempts {
    /// Members that gave no answer or failed.
    pub excluded: Vec<Box<str>>,
    /// Failures that members told.
    failed: u64,
    /// The last reason.
    last: Option<ErrorKind>,
}

/// What to do after an answer or a loss.
pub enum RetryDecision {
    /// Place it again.
    Retry,
    /// Tell the caller.
    Return(Reply),
}

/// Where a statement stands, for decisions and logs.
pub struct StatementContext<'a> {
    /// Its group.
    pub group: &'a Rc<Group>,
    /// Its route.
    pub route: &'a Route,
    /// Newest position that the session has written.
    pub last_write: Pos,
    /// When its time is over.
    pub deadline: Ms,
    /// The member that it was sent to last.
    pub member: RefCell<Box<str>>,
    /// Time after its arrival at which it had that member's connection, in ms.
    pub wait_ms: Cell<u64>,
    /// Where it was sent last, and why.
    pub read_labels: RefCell<Option<ReadLabels>>,
    /// Attempts that were followed by another.
    pub retries: Cell<u64>,
}

impl<'a> StatementContext<'a> {
    /// A statement that was sent nowhere yet.
    pub fn new(
        group: &'a Rc<Group>,
        route: &'a Route,
        own: Pos,
        arrival: Ms,
    ) -> StatementContext<'a> {
        StatementContext {
            group,
            route,
            last_write: own,
            deadline: arrival.plus(route.timeout),
            member: RefCell::default(),
            wait_ms: Cell::new(0),
            read_labels: RefCell::default(),
            retries: Cell::new(0),
        }
    }

    /// How it stands in the queue.
    pub fn rank(&self, arrival: Ms) -> Rank {
        Rank {
            priority: self.route.priority,
            target: arrival.plus(self.route.target),
            deadline: self.deadline,
        }
    }

    /// What a member must be for it, or the refusal.
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
        // The primary serves any read, also while no position is known, as after a start.
        if known.is_none() && self.group.is_primary_unavailable() {
            let text = "no position is known to be fresh enough";
            return Err(Reply::error(ErrorKind::Behind, text));
        }
        Ok(known.unwrap_or(Requirement::Primary(arrival)))
    }

    /// Longest wait for one attempt.
    pub fn answer_timeout(&self, write: bool) -> u64 {
        if write {
            return self.deadline.left();
        }
        (self.route.timeout / 2)
            .max(PATIENCE_MS)
            .min(self.deadline.left())
    }

    /// Gets a connection for it, or the refusal.
    pub async fn connect(
        &self,
        need: Requirement,
        work: &StatementTask<'_>,
        tries: &Attempts,
    ) -> Result<Conn, Reply> {
        let rank = self.rank(work.arrival);
        let avoid = tries.excluded.clone();
        let result = self.group.acquire(need, rank, avoid).await;
        if let Ok(conn) = &result {
            self.member.replace(conn.member.id.clone());
            self.wait_ms.set(work.arrival.elapsed());
            self.read_labels
                .replace(Some(self.placed(need, &conn.member)));
        }
        result.map_err(|refusal| self.refuse(work, refusal, tries))
    }

    fn placed(&self, need: Requirement, member: &Member) -> ReadLabels {
        let leads = member
            .last_probe
            .get()
            .is_some_and(|w| w.role == Role::Primary);
        let reason = match need {
            Requirement::Primary(_) if self.route.freshness == Freshness::Newest => "newest",
            Requirement::Primary(_) => "no_position",
            Requirement::Contains(_) | Requirement::Member(_) => "cheapest",
        };
        ReadLabels {
            role: if leads { "primary" } else { "replica" },
            reason,
        }
    }

    fn refuse(&self, work: &StatementTask, refusal: Refusal, tries: &Attempts) -> Reply {
        let text = match refusal {
            Refusal::Full => "no capacity within the time allowed",
            Refusal::Late => "no member could take it in time",
            Refusal::NoPrimary => "no primary can be used now",
        };
        emit(
            Event::StatementNotRun,
            &[
                ("id", &work.statement.id),
                ("group", &self.group.name),
                ("kind", &format!("{:?}", ErrorKind::Busy)),
                ("cause", &format!("{refusal:?}")),
                ("last", &format!("{:?}", tries.last)),
                ("waited", &work.arrival.elapsed()),
                ("queue", &self.group.queue_len()),
                ("lease_left", &self.group.lease().left()),
            ],
        );
        Reply::error(ErrorKind::Busy, text)
    }

    /// Judges an answer that was not a success.
    pub async fn after_error(
        &self,
        work: &StatementTask<'_>,
        conn: &mut Conn,
        reply: Reply,
        tries: &mut Attempts,
    ) -> RetryDecision {
        let Some(kind) = reply.error_kind() else {
            return RetryDecision::Return(reply);
        };
        tries.last = Some(kind);
        let member = &conn.member;
        match kind {
            ErrorKind::Busy => {
                member.full_until.set(Ms::now().plus(FULL_MS));
                if work.write {
                    sleep_ms(AGAIN_MS).await;
                }
            }
            ErrorKind::Behind => member.record_lag(Ms::now()),
            ErrorKind::NoStatement => conn.clear_prepared(),
            // The word that it was primary is out of date.
            ErrorKind::NotPrimary => member.last_probe.set(None),
            ErrorKind::Failed if !work.write && tries.failed < FAILURES => {
                tries.failed += 1;
                tries.excluded.push(member.id.clone());
            }
            _ => return RetryDecision::Return(reply),
        }
        if self.deadline.left() == 0 {
            return RetryDecision::Return(Reply::error(ErrorKind::Busy, "no time is left"));
        }
        self.retries.set(self.retries.get() + 1);
        RetryDecision::Retry
    }

    /// Judges the loss of a connection while a statement was on it.
    pub fn after_loss(
        &self,
        work: &StatementTask,
        conn: Conn,
        e: &ConnError,
        tries: &mut Attempts,
    ) -> RetryDecision {
        let member = conn.member.clone();
        drop(conn);
        self.group.on_lost(&member, e);
        if work.write {
            return RetryDecision::Return(self.in_doubt(work, &e.to_string()));
        }
        self.record_retry(work, &member.id, e);
        tries.excluded.push(member.id.clone());
        if self.deadline.left() == 0 {
            return RetryDecision::Return(Reply::error(ErrorKind::TimedOut, "no answer in time"));
        }
        RetryDecision::Retry
    }

    /// Logs an attempt that is followed by another.
    pub fn record_retry(&self, work: &StatementTask, member: &str, e: &ConnError) {
        self.retries.set(self.retries.get() + 1);
        emit(
            Event::AttemptFailed,
            &[
                ("id", &work.statement.id),
                ("member", &member),
                ("cause", e),
            ],
        );
    }

    /// The answer for a statement whose outcome is unknown.
    pub fn in_doubt(&self, work: &StatementTask, cause: &str) -> Reply {
        emit(
            Event::StatementInDoubt,
            &[
                ("id", &work.statement.id),
                ("group", &self.group.name),
                ("cause", &cause),
                ("lease_left", &self.group.lease().left()),
            ],
        );
        Reply::error(ErrorKind::InDoubt, "the outcome is unknown")
    }

    /// Passes a write's success on if the lease covers the instant of the answer.
    pub async fn confirm_lease(&self, work: &StatementTask<'_>, reply: Reply) -> Reply {
        let answered = Ms::now();
        let term = reply.pos.map_or(0, |p| p.term);
        let until = answered.plus(COVER_MS);
        loop {
            let seen = self.group.changed.generation();
            if self.group.newest_term() > term {
                return self.in_doubt(work, "another primary took over");
            }
            if self.group.lease() >= answered {
                return reply;
            }
            if until.left() == 0 {
                return self.in_doubt(work, "the lease on the primary ran out");
            }
            let wait = std::time::Duration::from_millis(until.left());
            let _ = monoio::time::timeout(wait, self.group.changed.wait_past(seen)).await;
        }
    }
}

/// Runs a statement outside transactions.
pub async fn run_single(
    cx: &StatementContext<'_>,
    work: &StatementTask<'_>,
    values: &crate::session::SessionVars,
) -> Reply {
    let mut tries = Attempts::default();
    loop {
        let need = match cx.requirement(work.write, work.arrival) {
            Ok(need) => need,
            Err(refusal) => return refusal,
        };
        let mut conn = match cx.connect(need, work, &tries).await {
            Ok(conn) => conn,
            Err(refusal) => return refusal,
        };
        let patience = cx.answer_timeout(work.write);
        if let Err(e) = conn.set_up(values, work.prepared(), patience).await {
            // Nothing of the caller's has run yet.
            cx.record_retry(work, &conn.member.id, &e);
            let member = conn.member.clone();
            drop(conn);
            cx.group.on_lost(&member, &e);
            continue;
        }
        let after = match need {
            Requirement::Contains(pos) => Some(pos),
            Requirement::Primary(_) | Requirement::Member(_) => None,
        };
        let asked = Ms::now();
        if work.write {
            cx.group.pending_writes.borrow_mut().push(asked);
        }
        let result = work
            .send(&mut conn, after, cx.answer_timeout(work.write))
            .await;
        if work.write {
            remove_pending_write(cx.group, asked);
        }
        let next = match result {
            Ok(reply) => {
                cx.group.on_reply(&conn.member, asked, &reply);
                conn.member.record_latency(asked.elapsed(), Ms::now());
                let next = cx.after_error(work, &mut conn, reply, &mut tries).await;
                cx.group.release(conn);
                next
            }
            Err(e) => cx.after_loss(work, conn, &e, &mut tries),
        };
        match next {
            RetryDecision::Retry => {}
            RetryDecision::Return(reply) if work.write && reply.error_kind().is_none() => {
                return cx.confirm_lease(work, reply).await;
            }
            RetryDecision::Return(reply) => return reply,
        }
    }
}

/// Notes that a write no longer waits.
pub fn remove_pending_write(group: &Group, asked: Ms) {
    let mut writes = group.pending_writes.borrow_mut();
    if let Some(i) = writes.iter().position(|&at| at == asked) {
        writes.swap_remove(i);
    }
}
