//! What a member reports: a heartbeat at its owners, and reports on demand for confirmations.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use base::{Ms, Signal};
use group::MemberReport;
use pg::Upstream;
use schema::Pos;

use crate::cluster::{MemberHandle, MemberState};
use crate::join::{notified_within, sleep};
use crate::state::Daemon;

/// Longest wait that one demand asks a member for, in ms.
const DEMAND_WAIT_MS: u64 = 200;
/// Pause after a failed attempt, in ms.
const RETRY_MS: u64 = 20;
/// Time without demand after which the connection is closed, in ms.
const IDLE_MS: u64 = 10_000;
/// Pause between two heartbeats while contact is lost, in ms.
const LOST_STEP_MS: u64 = 20;

/// The newest report of one member, and what is wanted next.
#[derive(Default)]
pub struct MemberProbe {
    report: RefCell<Option<MemberReport>>,
    /// Position that is waited for.
    target: Cell<Pos>,
    /// Instant at or after which a report must have been asked for.
    since: Cell<Ms>,
    demand: Signal,
    /// Whether the task that serves demands runs.
    served: Cell<bool>,
}

impl MemberProbe {
    /// The newest report.
    pub fn report(&self) -> Option<MemberReport> {
        self.report.borrow().clone()
    }

    /// Takes a report unless a later one is known.
    pub fn record(&self, report: MemberReport) {
        let mut held = self.report.borrow_mut();
        if held
            .as_ref()
            .is_none_or(|old| (old.term, old.requested_at) <= (report.term, report.requested_at))
        {
            *held = Some(report);
        }
    }

    /// Forgets the report of a member that cannot be reached.
    pub fn clear(&self) {
        *self.report.borrow_mut() = None;
    }

    /// Asks for a report that was asked for at or after `since`, and for one that reaches `pos`.
    pub fn request_report(&self, daemon: &Rc<Daemon>, handle: &MemberHandle, pos: Pos, since: Ms) {
        let higher = pos > self.target.get() || since > self.since.get();
        self.target.set(self.target.get().max(pos));
        self.since.set(self.since.get().max(since));
        if !self.served.replace(true) {
            monoio::spawn(serve_demands(daemon.clone(), handle.clone()));
        } else if higher {
            self.demand.notify();
        }
    }

    /// Whether the newest report leaves nothing to ask.
    fn is_met(&self) -> bool {
        let report = self.report.borrow();
        report
            .as_ref()
            .is_some_and(|r| r.last >= self.target.get() && r.requested_at >= self.since.get())
    }
}

/// Asks for reports while they are wanted; ends when the member is no longer in force.
async fn serve_demands(daemon: Rc<Daemon>, handle: MemberHandle) {
    let mut conn: Option<Upstream> = None;
    loop {
        let Some((group, member)) = handle.get() else {
            return;
        };
        let watch = &member.probe;
        if watch.is_met() {
            let seen = watch.demand.generation();
            if !watch.is_met() {
                continue;
            }
            if !notified_within(&watch.demand, seen, IDLE_MS).await {
                // No task serves demands from here on; the next one starts it again.
                watch.served.set(false);
                return;
            }
            continue;
        }
        let limit = if watch.since.get() > watch.report().map_or(Ms::default(), |r| r.requested_at)
        {
            0
        } else {
            DEMAND_WAIT_MS
        };
        let sql = (daemon.member_control.wait)(watch.target.get(), limit, u64::MAX >> 1);
        let asked = Ms::now();
        let within = Duration::from_millis(daemon.settings.timing.connect_ms + limit);
        let answer = monoio::time::timeout(within, ask(&mut conn, &member, &sql)).await;
        let report = answer
            .ok()
            .flatten()
            .and_then(|row| (daemon.member_control.parse)(&row, asked));
        if let Some(report) = report {
            group.record_report(&member, report);
        } else {
            conn = None;
            sleep(RETRY_MS).await;
        }
    }
}

async fn ask(
    conn: &mut Option<Upstream>,
    member: &MemberState,
    sql: &str,
) -> Option<Vec<Box<str>>> {
    if conn.is_none() {
        *conn = Upstream::open(&member.login).await.ok();
    }
    let result = conn.as_mut()?.query_row(sql).await;
    if result.is_err() {
        *conn = None;
    }
    result.ok()
}

/// Keeps a member's report fresh while this daemon is its owner, and raises suspicion.
///
/// The member answers at once when its role changes or when it loses its primary, so that the
/// period of an idle heartbeat does not delay a change of primary.
pub async fn heartbeat(daemon: Rc<Daemon>, handle: MemberHandle, alive: Weak<()>) {
    let mut conn: Option<Upstream> = None;
    let timing = daemon.settings.timing.clone();
    let mut first = true;
    while alive.strong_count() > 0 {
        let Some((group, member)) = handle.get() else {
            return;
        };
        let limit = if first { 0 } else { timing.heartbeat_ms };
        let never = Pos {
            term: u64::MAX >> 1,
            log: 0,
        };
        let sql = (daemon.member_control.wait)(never, limit, timing.refused_ms);
        let asked = Ms::now();
        let within = Duration::from_millis(limit + timing.suspect_ms);
        let answer = monoio::time::timeout(within, ask(&mut conn, &member, &sql)).await;
        let report = answer
            .ok()
            .flatten()
            .and_then(|row| (daemon.member_control.parse)(&row, asked));
        let Some(report) = report else {
            conn = None;
            first = true;
            member.probe.clear();
            group.changed.notify();
            sleep(RETRY_MS).await;
            continue;
        };
        let lost = !report.leads && report.contact_ms >= timing.refused_ms;
        first = false;
        member.pool.reopen();
        group.record_report(&member, report);
        if lost {
            crate::failover::start_evaluation(&daemon, &group, &member);
            sleep(LOST_STEP_MS).await;
        }
    }
}
