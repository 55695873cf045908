//! Control statements on a member. All of them may be repeated without harm.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use group::{MemberReport, ProbeOutcome};
use pg::{Upstream, UpstreamError};

use crate::cluster::{GroupState, MemberState};
use crate::state::Daemon;

/// A connection kept between the steps of one change of primary.
#[derive(Default)]
pub struct ControlConn {
    conn: RefCell<Option<Upstream>>,
}

/// Why a control statement has no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeFailure {
    /// The process is gone.
    Refused,
    /// No answer in time, or the connection was lost.
    Silent,
}

impl ControlConn {
    /// Closes the connection.
    pub fn close(&self) {
        self.conn.take();
    }
}

async fn ask(member: &MemberState, sql: &str) -> Result<Vec<Box<str>>, UpstreamError> {
    let kept = member.control.conn.take();
    if let Some(mut conn) = kept
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
    /// Runs one control statement on a member within `within` ms.
    pub async fn control(
        &self,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        sql: &str,
        within: u64,
    ) -> Result<MemberReport, ProbeFailure> {
        let asked = Ms::now();
        let answer = monoio::time::timeout(Duration::from_millis(within), ask(member, sql)).await;
        let row = match answer {
            Ok(Ok(row)) => row,
            Ok(Err(e)) if e.is_gone() => return Err(ProbeFailure::Refused),
            _ => return Err(ProbeFailure::Silent),
        };
        let report = (self.member_control.parse)(&row, asked).ok_or(ProbeFailure::Silent)?;
        group.record_report(member, report.clone());
        Ok(report)
    }

    /// What a probe of a member finds.
    pub async fn probe(
        &self,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        within: u64,
    ) -> ProbeOutcome {
        let sql = (self.member_control.status)("");
        match self.control(group, member, &sql, within).await {
            Ok(report) => ProbeOutcome::Report(report),
            Err(ProbeFailure::Refused) => ProbeOutcome::Refused,
            Err(ProbeFailure::Silent) => ProbeOutcome::NoResponse,
        }
    }
}
