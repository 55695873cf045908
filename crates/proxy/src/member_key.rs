//! Keys of members.

use std::cell::Cell;

/// Identifies a member within one daemon; never reused for another member.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MemberKey(pub u64);

thread_local! {
    static NEXT_KEY: Cell<u64> = const { Cell::new(0) };
}

impl MemberKey {
    /// A key that no member has.
    pub(crate) fn next() -> MemberKey {
        MemberKey(NEXT_KEY.replace(NEXT_KEY.get() + 1))
    }
}
