//! Status reports of a member: requested by heartbeats of its owners, and on demand for
//! confirmations and position samples.

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

/// Time for which one request on demand lets a member wait for a position, in ms.
const MAX_POSITION_WAIT_MS: u64 = 200;
/// Retry delay after a request without a report, in ms.
const RETRY_DELAY_MS: u64 = 20;
/// Time without a demand after which the task ends and its connection is closed, in ms.
const IDLE_TIMEOUT_MS: u64 = 10_000;
/// Delay between two heartbeats while the member has no contact to its primary, in ms.
const LOST_CONTACT_INTERVAL_MS: u64 = 20;

/// Newest report of one member, and the requirements on the next one.
#[derive(Default)]
pub struct MemberProbe {
    report: RefCell<Option<MemberReport>>,
    /// Position that the next report has to reach.
    wanted_pos: Cell<Pos>,
    /// Instant at or after which the next report has to be requested.
    wanted_since: Cell<Ms>,
    /// Notified when a demand exceeds the earlier ones while the task runs.
    requested: Signal,
    /// Whether the task that requests reports on demand runs.
    task_running: Cell<bool>,
}

impl MemberProbe {
    pub fn report(&self) -> Option<MemberReport> {
        self.report.borrow().clone()
    }

    /// Stores a report, unless one of a newer term, or of the same term and requested later, is
    /// known.
    pub fn record(&self, report: MemberReport) {
        let mut newest = self.report.borrow_mut();
        if newest
            .as_ref()
            .is_none_or(|old| (old.term, old.requested_at) <= (report.term, report.requested_at))
        {
            *newest = Some(report);
        }
    }

    /// Discards the report of a member that does not answer.
    pub fn clear(&self) {
        *self.report.borrow_mut() = None;
    }

    /// Demands a report that reaches `pos` and is requested from the member at or after `since`;
    /// returns at once.
    pub fn request_report(&self, daemon: &Rc<Daemon>, handle: &MemberHandle, pos: Pos, since: Ms) {
        let raised = pos > self.wanted_pos.get() || since > self.wanted_since.get();
        self.wanted_pos.set(self.wanted_pos.get().max(pos));
        self.wanted_since.set(self.wanted_since.get().max(since));
        if !self.task_running.replace(true) {
            monoio::spawn(serve_report_requests(daemon.clone(), handle.clone()));
        } else if raised {
            self.requested.notify();
        }
    }

    /// Whether the newest report meets all demands.
    fn is_satisfied(&self) -> bool {
        let report = self.report.borrow();
        report.as_ref().is_some_and(|r| {
            r.last >= self.wanted_pos.get() && r.requested_at >= self.wanted_since.get()
        })
    }
}

/// Requests reports on demand; ends after `IDLE_TIMEOUT_MS` without a demand, or when the member is
/// no longer configured.
async fn serve_report_requests(daemon: Rc<Daemon>, handle: MemberHandle) {
    let mut conn: Option<Upstream> = None;
    loop {
        let Some((group, member)) = handle.upgrade(&daemon) else {
            return;
        };
        let probe = &member.probe;
        if probe.is_satisfied() {
            let generation = probe.requested.generation();
            if !probe.is_satisfied() {
                continue;
            }
            if !notified_within(&probe.requested, generation, IDLE_TIMEOUT_MS).await {
                // The next demand starts a new task.
                probe.task_running.set(false);
                return;
            }
            continue;
        }
        let wait_ms = if probe.wanted_since.get()
            > probe.report().map_or(Ms::default(), |r| r.requested_at)
        {
            0
        } else {
            MAX_POSITION_WAIT_MS
        };
        let sql = (daemon.member_control.wait)(probe.wanted_pos.get(), wait_ms, u64::MAX >> 1);
        let requested_at = Ms::now();
        let timeout = Duration::from_millis(daemon.settings.timing.connect_ms + wait_ms);
        let answer = monoio::time::timeout(timeout, query_member(&mut conn, &member, &sql)).await;
        let report = answer
            .ok()
            .flatten()
            .and_then(|row| (daemon.member_control.parse)(&row, requested_at));
        if let Some(report) = report {
            group.record_report(&member, report);
        } else {
            conn = None;
            sleep(RETRY_DELAY_MS).await;
        }
    }
}

/// Runs a statement on the connection, which is opened if necessary and closed on an error.
async fn query_member(
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

/// Keeps the report of a member current while this daemon owns the member, that is, until `alive`
/// is dropped, and starts an evaluation of the group when the member has lost contact to its
/// primary.
///
/// Each heartbeat, except the first one and the one after a failure, waits for a position that no
/// log reaches. The member answers at once when its role changes or it has lost contact to its
/// primary, so the heartbeat interval does not delay a failover.
pub async fn heartbeat(daemon: Rc<Daemon>, handle: MemberHandle, alive: Weak<()>) {
    let mut conn: Option<Upstream> = None;
    let timing = daemon.settings.timing.clone();
    let mut report_now = true;
    while alive.strong_count() > 0 {
        let Some((group, member)) = handle.upgrade(&daemon) else {
            return;
        };
        let wait_ms = if report_now { 0 } else { timing.heartbeat_ms };
        let unreachable_pos = Pos {
            term: u64::MAX >> 1,
            log: 0,
        };
        let sql = (daemon.member_control.wait)(unreachable_pos, wait_ms, timing.refused_ms);
        let requested_at = Ms::now();
        let timeout = Duration::from_millis(wait_ms + timing.suspect_ms);
        let answer = monoio::time::timeout(timeout, query_member(&mut conn, &member, &sql)).await;
        let report = answer
            .ok()
            .flatten()
            .and_then(|row| (daemon.member_control.parse)(&row, requested_at));
        let Some(report) = report else {
            conn = None;
            report_now = true;
            member.probe.clear();
            group.changed.notify();
            sleep(RETRY_DELAY_MS).await;
            continue;
        };
        let lost_contact = !report.leads && report.contact_ms >= timing.refused_ms;
        report_now = false;
        member.pool.reset_backoff();
        group.record_report(&member, report);
        if lost_contact {
            crate::failover::start_evaluation(&daemon, &group, &member);
            sleep(LOST_CONTACT_INTERVAL_MS).await;
        }
    }
}
