//! Control interface of a group member: a struct of closures, so that another kind of database
//! is supported by another constructor function.

use base::Ms;
use schema::Pos;

use crate::MemberReport;

/// Builds a statement from a term and the name of a proposer or the address of a primary.
type TermStatement = Box<dyn Fn(u64, &str) -> String>;

/// Builds the wait statement from a position, a time limit and a contact limit, both in ms.
type WaitStatement = Box<dyn Fn(Pos, u64, u64) -> String>;

/// Parses an answer, given the instant at which its request was sent.
type ReportParser = Box<dyn Fn(&[Box<str>], Ms) -> Option<MemberReport>>;

/// Builders of the control statements of a member, and the parser of their answers.
///
/// Where members cannot refuse lower terms, `raise` can be a conditional update on the platform.
/// Such a group becomes unavailable when the platform and the primary fail together.
pub struct MemberControl {
    /// Requests a status report; the first column of the answer repeats the nonce.
    pub status: Box<dyn Fn(&str) -> String>,
    /// Requests a status report once the log reaches a position, the role changes, the primary has
    /// been silent for the contact limit, or the time limit has passed.
    pub wait: WaitStatement,
    /// Asks the member to grant a term to a proposer; each term is granted to one proposer only.
    pub raise: TermStatement,
    /// Promotes the member to primary of a term that it granted to this proposer.
    pub promote: TermStatement,
    /// Makes the member follow the primary of a term.
    pub follow: TermStatement,
    /// Parses the columns of an answer into a report.
    pub parse: ReportParser,
}

/// Returns the control statements of members that offer the control functions in SQL.
pub fn sql_functions() -> MemberControl {
    MemberControl {
        status: Box::new(|nonce| format!("SELECT hollyreach_status('{nonce}')")),
        wait: Box::new(|pos, limit_ms, contact_ms| {
            format!(
                "SELECT hollyreach_wait('', {}, {}, {limit_ms}, {contact_ms})",
                pos.term, pos.log
            )
        }),
        raise: Box::new(|term, proposer| {
            format!("SELECT hollyreach_raise('', {term}, '{proposer}')")
        }),
        promote: Box::new(|term, proposer| {
            format!("SELECT hollyreach_promote('', {term}, '{proposer}')")
        }),
        follow: Box::new(|term, addr| format!("SELECT hollyreach_follow('', {term}, '{addr}')")),
        parse: Box::new(parse_report),
    }
}

fn parse_report(row: &[Box<str>], requested_at: Ms) -> Option<MemberReport> {
    let number = |i: usize| row.get(i)?.parse::<u64>().ok();
    let flag = |i: usize| row.get(i).map(|v| &**v == "t");
    Some(MemberReport {
        term: number(1)?,
        leads: flag(2)?,
        last: Pos {
            term: number(3)?,
            log: number(4)?,
        },
        contact_ms: number(5)?,
        granted: flag(6)?,
        follows: row.get(7)?.clone(),
        requested_at,
    })
}
