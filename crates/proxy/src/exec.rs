//! Runs single statements: places them, tries again where that is harmless, and judges answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::{Event, Ms, emit};
use schema::Pos;

use crate::group::Refusal;
use crate::routing::{Need, read_need};
use crate::state::pause;
use crate::stats::Place;
use crate::{
    Command, Conn, ErrorKind, Freshness, Group, Lost, Member, Plan, Rank, Reply, Role, Route,
    Statement,
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
pub struct Work<'a> {
    /// The caller's statement.
    pub statement: &'a Statement,
    /// What it runs when it is a prepared one, with its arguments.
    pub plan: Option<(&'a Plan, &'a str)>,
    /// Whether it writes.
    pub write: bool,
    /// When it was read from the caller.
    pub arrival: Ms,
}

impl Work<'_> {
    /// The plan that must be prepared for it.
    pub fn prepared(&self) -> Option<&Plan> {
        self.plan.map(|(plan, _)| plan)
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
    ) -> Result<Reply, Lost> {
        let id = &self.statement.id;
        let Some((plan, args)) = self.plan else {
            let text = &self.statement.text;
            return conn.run(&Command::Run { id, after, text }, within).await;
        };
        let name = conn.plan_name(plan).unwrap_or_default();
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
pub struct Tries {
    /// Members that gave no answer or failed.
    pub avoid: Vec<Box<str>>,
    /// Failures that members told.
    failed: u64,
    /// The last reason.
    last: Option<ErrorKind>,
}

/// What to do after an answer or a loss.
pub enum Next {
    /// Place it again.
    Again,
    /// Tell the caller.
    Tell(Reply),
}

/// Where a statement stands, for decisions and logs.
pub struct Context<'a> {
    /// Its group.
    pub group: &'a Rc<Group>,
    /// Its route.
    pub route: &'a Route,
    /// Newest position that the session has written.
    pub own: Pos,
    /// When its time is over.
    pub until: Ms,
    /// The member that it was sent to last.
    pub member: RefCell<Box<str>>,
    /// Time after its arrival at which it had that member's connection, in ms.
    pub waited: Cell<u64>,
    /// Where it was sent last, and why.
    pub place: RefCell<Option<Place>>,
    /// Attempts that were followed by another.
    pub retries: Cell<u64>,
}

impl<'a> Context<'a> {
    /// A statement that was sent nowhere yet.
    pub fn new(group: &'a Rc<Group>, route: &'a Route, own: Pos, arrival: Ms) -> Context<'a> {
        Context {
            group,
            route,
            own,
            until: arrival.plus(route.timeout),
            member: RefCell::default(),
            waited: Cell::new(0),
            place: RefCell::default(),
            retries: Cell::new(0),
        }
    }

    /// How it stands in the queue.
    pub fn rank(&self, arrival: Ms) -> Rank {
        Rank {
            priority: self.route.priority,
            target: arrival.plus(self.route.target),
            until: self.until,
        }
    }

    /// What a member must be for it, or the refusal.
    pub fn need(&self, write: bool, arrival: Ms) -> Result<Need, Reply> {
        if write {
            return Ok(Need::Primary(arrival));
        }
        let known = read_need(self.route, arrival, self.own, &self.group.history.borrow());
        // The primary serves any read, also while no position is known, as after a start.
        if known.is_none() && self.group.is_hopeless() {
            let text = "no position is known to be fresh enough";
            return Err(Reply::error(ErrorKind::Behind, text));
        }
        Ok(known.unwrap_or(Need::Primary(arrival)))
    }

    /// Longest wait for one attempt.
    pub fn patience(&self, write: bool) -> u64 {
        if write {
            return self.until.left();
        }
        (self.route.timeout / 2)
            .max(PATIENCE_MS)
            .min(self.until.left())
    }

    /// Gets a connection for it, or the refusal.
    pub async fn connect(&self, need: Need, work: &Work<'_>, tries: &Tries) -> Result<Conn, Reply> {
        let rank = self.rank(work.arrival);
        let avoid = tries.avoid.clone();
        let result = self.group.acquire(need, rank, avoid).await;
        if let Ok(conn) = &result {
            self.member.replace(conn.member.id.clone());
            self.waited.set(work.arrival.elapsed());
            self.place.replace(Some(self.placed(need, &conn.member)));
        }
        result.map_err(|refusal| self.refuse(work, refusal, tries))
    }

    fn placed(&self, need: Need, member: &Member) -> Place {
        let leads = member.word.get().is_some_and(|w| w.role == Role::Primary);
        let reason = match need {
            Need::Primary(_) if self.route.freshness == Freshness::Newest => "newest",
            Need::Primary(_) => "no_position",
            Need::Holds(_) | Need::This(_) => "cheapest",
        };
        Place {
            role: if leads { "primary" } else { "replica" },
            reason,
        }
    }

    fn refuse(&self, work: &Work, refusal: Refusal, tries: &Tries) -> Reply {
        let text = match refusal {
            Refusal::Full => "no capacity within the time allowed",
            Refusal::Late => "no member could take it in time",
            Refusal::NoPrimary => "no primary can be used now",
        };
        emit(
            Event::NotRun,
            &[
                ("id", &work.statement.id),
                ("group", &self.group.name),
                ("kind", &format!("{:?}", ErrorKind::Busy)),
                ("cause", &format!("{refusal:?}")),
                ("last", &format!("{:?}", tries.last)),
                ("waited", &work.arrival.elapsed()),
                ("queue", &self.group.waiting()),
                ("lease_left", &self.group.lease().left()),
            ],
        );
        Reply::error(ErrorKind::Busy, text)
    }

    /// Judges an answer that was not a success.
    pub async fn after_error(
        &self,
        work: &Work<'_>,
        conn: &mut Conn,
        reply: Reply,
        tries: &mut Tries,
    ) -> Next {
        let Some(kind) = reply.kind() else {
            return Next::Tell(reply);
        };
        tries.last = Some(kind);
        let member = &conn.member;
        match kind {
            ErrorKind::Busy => {
                member.full_until.set(Ms::now().plus(FULL_MS));
                if work.write {
                    pause(AGAIN_MS).await;
                }
            }
            ErrorKind::Behind => member.lacks(Ms::now()),
            ErrorKind::NoStatement => conn.forget_plans(),
            // The word that it was primary is out of date.
            ErrorKind::NotPrimary => member.word.set(None),
            ErrorKind::Failed if !work.write && tries.failed < FAILURES => {
                tries.failed += 1;
                tries.avoid.push(member.id.clone());
            }
            _ => return Next::Tell(reply),
        }
        if self.until.left() == 0 {
            return Next::Tell(Reply::error(ErrorKind::Busy, "no time is left"));
        }
        self.retries.set(self.retries.get() + 1);
        Next::Again
    }

    /// Judges the loss of a connection while a statement was on it.
    pub fn after_loss(&self, work: &Work, conn: Conn, e: &Lost, tries: &mut Tries) -> Next {
        let member = conn.member.clone();
        drop(conn);
        self.group.on_lost(&member, e);
        if work.write {
            return Next::Tell(self.in_doubt(work, &e.to_string()));
        }
        self.tried(work, &member.id, e);
        tries.avoid.push(member.id.clone());
        if self.until.left() == 0 {
            return Next::Tell(Reply::error(ErrorKind::TimedOut, "no answer in time"));
        }
        Next::Again
    }

    /// Logs an attempt that is followed by another.
    pub fn tried(&self, work: &Work, member: &str, e: &Lost) {
        self.retries.set(self.retries.get() + 1);
        emit(
            Event::Tried,
            &[
                ("id", &work.statement.id),
                ("member", &member),
                ("cause", e),
            ],
        );
    }

    /// The answer for a statement whose outcome is unknown.
    pub fn in_doubt(&self, work: &Work, cause: &str) -> Reply {
        emit(
            Event::InDoubt,
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
    pub async fn cover(&self, work: &Work<'_>, reply: Reply) -> Reply {
        let answered = Ms::now();
        let term = reply.pos.map_or(0, |p| p.term);
        let until = answered.plus(COVER_MS);
        loop {
            let seen = self.group.changed.count();
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
pub async fn single(cx: &Context<'_>, work: &Work<'_>, values: &crate::session::Values) -> Reply {
    let mut tries = Tries::default();
    loop {
        let need = match cx.need(work.write, work.arrival) {
            Ok(need) => need,
            Err(refusal) => return refusal,
        };
        let mut conn = match cx.connect(need, work, &tries).await {
            Ok(conn) => conn,
            Err(refusal) => return refusal,
        };
        let patience = cx.patience(work.write);
        if let Err(e) = conn.set_up(values, work.prepared(), patience).await {
            // Nothing of the caller's has run yet.
            cx.tried(work, &conn.member.id, &e);
            let member = conn.member.clone();
            drop(conn);
            cx.group.on_lost(&member, &e);
            continue;
        }
        let after = match need {
            Need::Holds(pos) => Some(pos),
            Need::Primary(_) | Need::This(_) => None,
        };
        let asked = Ms::now();
        if work.write {
            cx.group.writes.borrow_mut().push(asked);
        }
        let result = work.send(&mut conn, after, cx.patience(work.write)).await;
        if work.write {
            forget_write(cx.group, asked);
        }
        let next = match result {
            Ok(reply) => {
                cx.group.on_reply(&conn.member, asked, &reply);
                conn.member.took(asked.elapsed(), Ms::now());
                let next = cx.after_error(work, &mut conn, reply, &mut tries).await;
                cx.group.put(conn);
                next
            }
            Err(e) => cx.after_loss(work, conn, &e, &mut tries),
        };
        match next {
            Next::Again => {}
            Next::Tell(reply) if work.write && reply.kind().is_none() => {
                return cx.cover(work, reply).await;
            }
            Next::Tell(reply) => return reply,
        }
    }
}

/// Notes that a write no longer waits.
pub fn forget_write(group: &Group, asked: Ms) {
    let mut writes = group.writes.borrow_mut();
    if let Some(i) = writes.iter().position(|&at| at == asked) {
        writes.swap_remove(i);
    }
}
