//! A daemon's right to use the primary of a group.
//!
//! A change of primary first fences every replica, and takes effect `CHANGE_MS` later at the
//! earliest. A replica is fenced all that time; then the promoted one says so, while another may
//! say for a moment that it is neither fenced nor of a newer term. So the words of all replicas
//! together prove that no change had begun when the first of them was asked. From then on one
//! replica suffices, as long as its words follow each other so closely that no change fits
//! between them, on a connection that is older than the former word: a restart forgets the fence.
//! A replica that was fenced for a change and then follows its term goes on proving, too.

use std::collections::BTreeMap;

use base::Ms;

use crate::Role;
use crate::member::Key;

/// Shortest time from the fence of a change of primary to its effect, in ms.
const CHANGE_MS: u64 = 900;
/// Time that a word entitles to use the primary, counted from the question, in ms.
pub const LEASE_MS: u64 = CHANGE_MS - 100;
/// Longest distance between two words of a replica that prove something together, in ms.
const LINK_MS: u64 = CHANGE_MS - 100;

/// What a member said of itself, and when it was asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// When the question was sent.
    pub asked: Ms,
    /// Its part.
    pub role: Role,
    /// Newest term that it knows.
    pub term: u64,
    /// Term of the change of primary that it is fenced for; 0 when it is not fenced.
    pub fenced: u64,
    /// An instant since which it has been up without a restart.
    pub up_since: Ms,
}

impl Word {
    fn supports(&self, term: u64) -> bool {
        self.role == Role::Replica && self.term == term && self.fenced == 0
    }

    /// Whether no change of primary can have taken effect between `before` and this word, other
    /// than the one that `before` was fenced for and that this word follows.
    fn follows(&self, before: &Word) -> bool {
        let near = self.asked.0.saturating_sub(before.asked.0) <= LINK_MS;
        let same_life = self.up_since <= before.asked;
        let step = match (before.fenced, self.fenced) {
            (0, 0) => self.term == before.term,
            (0, fence) => self.term == before.term && fence > self.term,
            (fence, 0) => self.term == fence,
            (fence, now) => self.term == before.term && now == fence,
        };
        near && same_life && step && self.role == Role::Replica
    }
}

/// The lease on the primary of the newest known term.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Term of the primary; it never falls.
    term: u64,
    /// Instant until which the primary may be used.
    until: Ms,
    /// The newest word of each replica, and whether it proves something alone.
    words: BTreeMap<Key, (Word, bool)>,
}

impl Lease {
    /// The instant until which the primary of a term may be used.
    pub fn until(&self, term: u64) -> Ms {
        if self.term == term { self.until } else { Ms(0) }
    }

    /// Takes a member's word. `replicas` are all members that a change would fence.
    pub fn hear(&mut self, key: Key, word: Word, replicas: &[Key]) {
        if word.term > self.term {
            self.term = word.term;
            self.until = Ms(0);
        }
        let before = self.words.get(&key);
        let linked = before.is_some_and(|(before, proven)| *proven && word.follows(before));
        self.words.insert(key, (word, linked));
        if !word.supports(self.term) {
            return;
        }
        if linked {
            self.until = self.until.max(word.asked.plus(LEASE_MS));
        }
        self.anchor(word.asked, replicas);
    }

    /// Proves the words of all replicas together.
    fn anchor(&mut self, now: Ms, replicas: &[Key]) {
        if replicas.is_empty() {
            return;
        }
        let mut first = now;
        for key in replicas {
            let Some((word, _)) = self.words.get(key) else {
                return;
            };
            if !word.supports(self.term) {
                return;
            }
            first = first.min(word.asked);
        }
        if now.0.saturating_sub(first.0) > LINK_MS {
            return;
        }
        for key in replicas {
            if let Some((_, proven)) = self.words.get_mut(key) {
                *proven = true;
            }
        }
        self.until = self.until.max(first.plus(LEASE_MS));
    }
}
