//! What a member says of itself.

use base::Ms;
use schema::Pos;

/// One member's report.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// Newest term that the member granted or follows.
    pub term: u64,
    /// Whether it leads that term.
    pub leads: bool,
    /// Last position of its log; its term never exceeds `term`.
    pub last: Pos,
    /// Time since it heard its primary, in ms; 0 for a primary.
    pub contact_ms: u64,
    /// Whether the request that this answers was granted.
    pub granted: bool,
    /// Address of the primary it follows, or empty.
    pub follows: Box<str>,
    /// When the request left; the report holds at some instant after it.
    pub asked: Ms,
}
