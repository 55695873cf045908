//! Status report of a group member.

use base::Ms;
use schema::Pos;

/// State of a member, as reported in its answer to a control statement.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// Newest term that the member has granted, or of whose primary it is a follower.
    pub term: u64,
    /// Whether the member is the primary of `term`.
    pub leads: bool,
    /// Last position of the member's log; `last.term` never exceeds `term`.
    pub last: Pos,
    /// Time since the member last heard from the primary, granted a term or was told to follow a
    /// primary, in ms; 0 on a primary.
    pub contact_ms: u64,
    /// Whether the member granted the request that this report answers; false for a status or wait
    /// statement, which requests nothing.
    pub granted: bool,
    /// Address of the primary that the member follows, or empty.
    pub follows: Box<str>,
    /// When the request was sent; the report describes the member at or after this instant.
    pub requested_at: Ms,
}
