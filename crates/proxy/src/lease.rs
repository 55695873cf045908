//! A daemon's right to use the primary of a group.
//!
//! A change of primary first fences both replicas. So the word of a replica that is not fenced
//! proves that no change had reached it when it was asked, and that none takes effect before the
//! lease has run out. A replica that has just started has forgotten that it was fenced: its word
//! counts only together with the other replica's.

use base::Ms;

use crate::Role;

/// Time that a replica's word entitles to use the primary, counted from the question, in ms.
/// It is shorter than the time that a promotion takes to have effect.
pub const LEASE_MS: u64 = 800;
/// Time since its start after which a replica's word counts by itself, in ms.
/// It is longer than a change of primary takes from fence to effect.
pub const SETTLED_MS: u64 = 3000;

/// What a member said of itself, and when it was asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// When the question was sent.
    pub asked: Ms,
    /// Its part.
    pub role: Role,
    /// Newest term that it knows.
    pub term: u64,
    /// Whether it is fenced for a change of primary.
    pub fenced: bool,
    /// An instant since which it has been up without a restart.
    pub up_since: Ms,
}

impl Word {
    fn supports(&self, term: u64) -> bool {
        self.role == Role::Replica && self.term == term && !self.fenced
    }

    fn is_settled(&self) -> bool {
        self.asked.0.saturating_sub(self.up_since.0) >= SETTLED_MS
    }
}

/// The instant until which the primary of `term` may be used, given the words of all members.
pub fn lease_until(term: u64, words: &[Word]) -> Ms {
    let mut alone = Ms(0);
    let mut newest = [Ms(0); 2];
    for word in words.iter().filter(|w| w.supports(term)) {
        let until = word.asked.plus(LEASE_MS);
        if word.is_settled() {
            alone = alone.max(until);
        }
        if until > newest[0] {
            newest = [until, newest[0]];
        } else if until > newest[1] {
            newest[1] = until;
        }
    }
    alone.max(newest[1])
}
