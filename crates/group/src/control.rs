//! How a member is controlled: one struct of closures, so that another shape of database group
//! is served by writing another function that fills it.

use base::Ms;
use schema::Pos;

use crate::MemberReport;

/// Makes the statement that acts on a term for a proposer or an address.
type OnTerm = Box<dyn Fn(u64, &str) -> String>;

/// Makes the statement that waits for a position.
type OnWait = Box<dyn Fn(Pos, u64, u64) -> String>;

/// Reads an answer that was asked for at an instant.
type Parse = Box<dyn Fn(&[Box<str>], Ms) -> Option<MemberReport>>;

/// Statements that control a member, and how their answers read.
///
/// A group whose members cannot refuse lower terms can fill `raise` with a conditional update on
/// the platform; it then stops when the platform and the primary fail together.
pub struct MemberControl {
    /// Reports the member's state; the first column of the answer repeats the nonce.
    pub status: Box<dyn Fn(&str) -> String>,
    /// As `status`, once the log reaches a position, the role changes, the primary has not been
    /// heard for `contact` ms, or `limit` ms have passed.
    pub wait: OnWait,
    /// Grants a term to one proposer, once.
    pub raise: OnTerm,
    /// Makes the member lead a term that it granted to this proposer.
    pub promote: OnTerm,
    /// Makes the member follow the primary of a term.
    pub follow: OnTerm,
    /// Reads the columns of an answer; the instant is when the request left.
    pub parse: Parse,
}

/// Members that offer their control functions in SQL.
pub fn sql_functions() -> MemberControl {
    MemberControl {
        status: Box::new(|nonce| format!("SELECT hollyreach_status('{nonce}')")),
        wait: Box::new(|pos, limit, contact| {
            format!(
                "SELECT hollyreach_wait('', {}, {}, {limit}, {contact})",
                pos.term, pos.log
            )
        }),
        raise: Box::new(|term, who| format!("SELECT hollyreach_raise('', {term}, '{who}')")),
        promote: Box::new(|term, who| format!("SELECT hollyreach_promote('', {term}, '{who}')")),
        follow: Box::new(|term, addr| format!("SELECT hollyreach_follow('', {term}, '{addr}')")),
        parse: Box::new(parse),
    }
}

fn parse(row: &[Box<str>], asked: Ms) -> Option<MemberReport> {
    let num = |i: usize| row.get(i)?.parse::<u64>().ok();
    let flag = |i: usize| row.get(i).map(|v| &**v == "t");
    Some(MemberReport {
        term: num(1)?,
        leads: flag(2)?,
        last: Pos {
            term: num(3)?,
            log: num(4)?,
        },
        contact_ms: num(5)?,
        granted: flag(6)?,
        follows: row.get(7)?.clone(),
        asked,
    })
}
