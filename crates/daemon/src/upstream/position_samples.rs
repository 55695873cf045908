//! Position samples of a primary, which bound the age of a replica's data by this daemon's clock
//! alone.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use base::Ms;
use schema::Pos;

/// Maximum number of samples kept per group.
const MAX_SAMPLES: usize = 64;

/// Position that a primary reported, with the instant at which it was requested.
///
/// A replica at or past the position holds every write that was acknowledged before that instant,
/// provided that both the primary and the replica were at `term` at some time after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PositionSample {
    /// Last position of the primary's log.
    pub pos: Pos,
    /// Term of the primary.
    pub term: u64,
    /// When the position was requested.
    pub requested_at: Ms,
}

/// Newest position samples of a group.
#[derive(Default)]
pub struct PositionSamples {
    /// Ordered by `requested_at`.
    samples: RefCell<VecDeque<PositionSample>>,
    /// Whether a new sample is being fetched.
    pub fetching: Cell<bool>,
}

impl PositionSamples {
    /// Adds a sample, unless it was requested no later than the newest one.
    pub fn add(&self, sample: PositionSample) {
        let mut samples = self.samples.borrow_mut();
        if samples
            .back()
            .is_some_and(|b| b.requested_at >= sample.requested_at)
        {
            return;
        }
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// Newest sample whose position is at or before `replica_pos`.
    pub fn newest_contained(&self, replica_pos: Pos) -> Option<PositionSample> {
        self.samples
            .borrow()
            .iter()
            .rev()
            .find(|s| replica_pos >= s.pos)
            .copied()
    }

    pub fn newest(&self) -> Option<PositionSample> {
        self.samples.borrow().back().copied()
    }
}
