//! Control interface of a group member: a struct of closures, so that another kind of database
//! is supported by another constructor function.

use base::Ms;
use schema::Pos;

use crate::MemberReport;

/// Builds a statement from a term and the identifier of a proposer or the address of a primary.
///
/// A proposer is one attempt of a daemon at a primary change: `daemon#random`.
type TermStatement = Box<dyn Fn(u64, &str) -> String>;

/// Builds the wait statement from a position, a timeout and the maximum silence of the primary,
/// both in ms.
type WaitStatement = Box<dyn Fn(Pos, u64, u64) -> String>;

/// Parses the columns of an answer, given the instant at which its request was sent.
type ReportParser = Box<dyn Fn(&[Box<str>], Ms) -> Option<MemberReport>>;

/// Builders of the control statements of a member, and the parser of their answers.
///
/// `raise` requires a member that refuses lower terms. For a database that cannot do so, the term
/// would have to be raised by a conditional update on the platform, and the group would become
/// unavailable when the platform and the primary fail together.
pub struct MemberControl {
    /// Builds the request for a status report. The first column of the answer repeats the nonce, so
    /// that the answer can be told from one to an earlier request.
    pub status: Box<dyn Fn(&str) -> String>,
    /// Builds the request for a status report that is answered once the log reaches a position, the
    /// role changes, the primary has been silent for the maximum silence, or the timeout has
    /// passed.
    pub wait: WaitStatement,
    /// Builds the request to grant a term to a proposer; a member grants each term to one proposer
    /// only.
    pub raise: TermStatement,
    /// Builds the request to become primary of a term that the member granted to this proposer.
    pub promote: TermStatement,
    /// Builds the request to follow the primary of a term.
    pub follow: TermStatement,
    /// Parses the answer to any of the statements.
    pub parse: ReportParser,
}

/// Returns the control interface of members that provide it as the SQL functions `hollyreach_*`.
///
/// The nonce, proposer and address are not escaped, so they must not contain a quote.
pub fn sql_functions() -> MemberControl {
    MemberControl {
        status: Box::new(|nonce| format!("SELECT hollyreach_status('{nonce}')")),
        wait: Box::new(|pos, timeout_ms, max_silence_ms| {
            format!(
                "SELECT hollyreach_wait('', {}, {}, {timeout_ms}, {max_silence_ms})",
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

/// Parses a row of nonce, term, role, last position (term and log), contact age, grant and followed
/// address.
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
