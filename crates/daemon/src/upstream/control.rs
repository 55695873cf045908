//! Control statements on a member. All of them are idempotent.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use group::{MemberReport, ProbeOutcome};
use pg::{Upstream, UpstreamError};

use crate::cluster::{GroupState, MemberState};
use crate::state::Daemon;

/// Connection to a member that is kept open between the steps of a primary change.
#[derive(Default)]
pub struct ControlConn {
    conn: RefCell<Option<Upstream>>,
}

/// Reason why a control statement got no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeFailure {
    /// The connection failed with an I/O error other than a timeout; the process has probably
    /// ended.
    Refused,
    /// No valid answer arrived before the timeout.
    NoResponse,
}

impl ControlConn {
    pub fn close(&self) {
        self.conn.take();
    }
}

/// Runs a control statement on the kept connection; if that fails, again on a new one, which is
/// safe because control statements are idempotent.
async fn query_member(member: &MemberState, sql: &str) -> Result<Vec<Box<str>>, UpstreamError> {
    let reused = member.control.conn.take();
    if let Some(mut conn) = reused
        && let Ok(row) = conn.query_row(sql).await
    {
        *member.control.conn.borrow_mut() = Some(conn);
        return Ok(row);
    }
    let mut conn = Upstream::open(&member.login).await?;
    let row = conn.query_row(sql).await?;
    *member.control.conn.borrow_mut() = Some(conn);
    Ok(row)
}

impl Daemon {
    /// Runs a control statement on a member and records the report.
    pub async fn run_control(
        &self,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        sql: &str,
        timeout_ms: u64,
    ) -> Result<MemberReport, ProbeFailure> {
        let requested_at = Ms::now();
        let answer =
            monoio::time::timeout(Duration::from_millis(timeout_ms), query_member(member, sql))
                .await;
        let row = match answer {
            Ok(Ok(row)) => row,
            Ok(Err(e)) if e.is_server_gone() => return Err(ProbeFailure::Refused),
            _ => return Err(ProbeFailure::NoResponse),
        };
        let report =
            (self.member_control.parse)(&row, requested_at).ok_or(ProbeFailure::NoResponse)?;
        group.record_report(member, report.clone());
        Ok(report)
    }

    /// Sends a health probe to a member.
    pub async fn probe(
        &self,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        timeout_ms: u64,
    ) -> ProbeOutcome {
        let sql = (self.member_control.status)("");
        match self.run_control(group, member, &sql, timeout_ms).await {
            Ok(report) => ProbeOutcome::Report(report),
            Err(ProbeFailure::Refused) => ProbeOutcome::Refused,
            Err(ProbeFailure::NoResponse) => ProbeOutcome::NoResponse,
        }
    }
}
