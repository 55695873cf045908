//! Control statements on a member. All of them may be repeated without harm.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use group::{MemberReport, Seen};
use pg::{LostError, Upstream};

use crate::cluster::{GroupState, MemberState};
use crate::state::Daemon;

/// A connection kept between the steps of one change of primary.
#[derive(Default)]
pub struct Control {
    conn: RefCell<Option<Upstream>>,
}

/// Why a control statement has no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Probe {
    /// The process is gone.
    Refused,
    /// No answer in time, or the connection was lost.
    Silent,
}

impl Control {
    /// Closes the connection.
    pub fn close(&self) {
        self.conn.take();
    }
}

async fn ask(member: &MemberState, sql: &str) -> Result<Vec<Box<str>>, LostError> {
    let kept = member.control.conn.take();
    if let Some(mut conn) = kept
        && let Ok(row) = conn.ask(sql).await
    {
        *member.control.conn.borrow_mut() = Some(conn);
        return Ok(row);
    }
    let mut conn = Upstream::open(&member.login).await?;
    let row = conn.ask(sql).await?;
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
    ) -> Result<MemberReport, Probe> {
        let asked = Ms::now();
        let answer = monoio::time::timeout(Duration::from_millis(within), ask(member, sql)).await;
        let row = match answer {
            Ok(Ok(row)) => row,
            Ok(Err(e)) if e.is_gone() => return Err(Probe::Refused),
            _ => return Err(Probe::Silent),
        };
        let report = (self.shape.parse)(&row, asked).ok_or(Probe::Silent)?;
        group.note(member, report.clone());
        Ok(report)
    }

    /// What a probe of a member finds.
    pub async fn probe(
        &self,
        group: &Rc<GroupState>,
        member: &Rc<MemberState>,
        within: u64,
    ) -> Seen {
        let sql = (self.shape.status)("");
        match self.control(group, member, &sql, within).await {
            Ok(report) => Seen::Report(report),
            Err(Probe::Refused) => Seen::Refused,
            Err(Probe::Silent) => Seen::Silent,
        }
    }
}
