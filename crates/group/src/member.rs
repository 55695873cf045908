//! Status report of a group member.

use base::Ms;
use schema::Pos;

/// State that a member reports in answer to a control statement.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// Newest term that the member has granted or follows.
    pub term: u64,
    /// Whether the member is the primary of `term`.
    pub leads: bool,
    /// Last position of the member's log; `last.term` never exceeds `term`.
    pub last: Pos,
    /// Time since the last contact from the primary, in ms; 0 on a primary.
    pub contact_ms: u64,
    /// Whether the request that this report answers was granted.
    pub granted: bool,
    /// Address of the primary that the member follows, or empty.
    pub follows: Box<str>,
    /// When the request was sent; the member was in the reported state at some later instant.
    pub requested_at: Ms,
}
