//! Positions of a group's primary, and when they were asked for.

use std::collections::VecDeque;

use base::Ms;
use schema::Pos;

/// Age above which a confirmed position is of no use, in ms.
const KEEP_MS: u64 = 6000;
/// Smallest distance between two kept positions, in ms.
const STEP_MS: u64 = 20;

/// Confirmed positions of the primary, oldest first.
///
/// A log that contains the position of an entry contains every commit that was acknowledged before
/// the entry's question was sent.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Both halves grow along the list.
    entries: VecDeque<(Ms, Pos)>,
}

impl History {
    /// Adds the position that the leased primary answered to a question sent at `asked`.
    pub fn add(&mut self, asked: Ms, pos: Pos) {
        let oldest = Ms(asked.0.saturating_sub(KEEP_MS));
        while self.entries.front().is_some_and(|e| e.0 < oldest) {
            self.entries.pop_front();
        }
        let Some(&(last, top)) = self.entries.back() else {
            self.entries.push_back((asked, pos));
            return;
        };
        if asked <= last || pos < top {
            return;
        }
        // The newest entry is moved along while it is close to the one before it.
        let before = self.entries.len().checked_sub(2).map(|i| self.entries[i].0);
        if before.is_some_and(|at| last.0 - at.0 < STEP_MS) {
            self.entries.pop_back();
        }
        self.entries.push_back((asked, pos));
    }

    /// The lowest known position that holds every commit acknowledged before `since`.
    pub fn floor(&self, since: Ms) -> Option<Pos> {
        let i = self.entries.partition_point(|e| e.0 < since);
        self.entries.get(i).map(|e| e.1)
    }

    /// When the newest position was asked for.
    pub fn newest(&self) -> Option<Ms> {
        self.entries.back().map(|e| e.0)
    }
}
