//! Position samples of a group's primary.

use std::collections::VecDeque;

use base::Ms;
use schema::Pos;

/// Age after which a position sample is discarded, in ms.
const RETENTION_MS: u64 = 6000;
/// Shortest time between two samples that are kept, in ms; the newest may follow sooner.
const MIN_SAMPLE_INTERVAL_MS: u64 = 20;

/// Position samples that the primary reported under a lease, oldest first.
///
/// A log that contains the position of a sample contains every commit that was acknowledged before
/// the sample was requested.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Request time and position; neither decreases along the list.
    samples: VecDeque<(Ms, Pos)>,
    /// Newest known term, and a position that the log of its primary contains. A log that contains
    /// it contains every commit that was acknowledged at an earlier term.
    branch: (u64, Pos),
}

impl History {
    /// Handles the report of a primary that its log of `term` has reached `pos`. Only the first
    /// report of a term counts, as it is the closest to the point at which the term began.
    pub fn begin_term(&mut self, term: u64, pos: Pos) {
        if term <= self.branch.0 {
            return;
        }
        self.branch = (term, pos);
        let samples = std::mem::take(&mut self.samples);
        let on_branch = |(at, pos)| (at, self.on_branch(pos));
        self.samples = samples.into_iter().map(on_branch).collect();
    }

    /// A position on the branch of the newest term that includes every acknowledged commit that
    /// `pos` includes. The position itself may have been rolled back when the term began, and is
    /// then in no log any more.
    pub fn on_branch(&self, pos: Pos) -> Pos {
        let (term, base) = self.branch;
        if pos.term >= term {
            pos
        } else if pos.term == base.term {
            pos.min(base)
        } else {
            base
        }
    }

    /// Adds the position that the primary, under a lease, reported in answer to a request sent at
    /// `sent_at`.
    pub fn add(&mut self, sent_at: Ms, pos: Pos) {
        let oldest = Ms(sent_at.0.saturating_sub(RETENTION_MS));
        while self.samples.front().is_some_and(|e| e.0 < oldest) {
            self.samples.pop_front();
        }
        let Some(&(last, newest_pos)) = self.samples.back() else {
            self.samples.push_back((sent_at, pos));
            return;
        };
        if sent_at <= last || pos < newest_pos {
            return;
        }
        // The newest sample is replaced if it is too close to the one before it.
        let previous = self.samples.len().checked_sub(2).map(|i| self.samples[i].0);
        if previous.is_some_and(|at| last.0 - at.0 < MIN_SAMPLE_INTERVAL_MS) {
            self.samples.pop_back();
        }
        self.samples.push_back((sent_at, pos));
    }

    /// The lowest sampled position that includes every commit acknowledged before `since`; `None`
    /// if no sample was requested at `since` or later.
    pub fn floor(&self, since: Ms) -> Option<Pos> {
        let i = self.samples.partition_point(|e| e.0 < since);
        self.samples.get(i).map(|e| e.1)
    }

    /// When the newest sample was requested.
    pub fn newest_sample_at(&self) -> Option<Ms> {
        self.samples.back().map(|e| e.0)
    }
}
