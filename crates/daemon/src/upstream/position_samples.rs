//! How old a replica's data can be, measured with this daemon's clock alone.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use base::Ms;
use schema::Pos;

/// Samples kept for one group.
const MARKS_MAX: usize = 64;

/// A position of the primary, and the instant at which it was asked for.
///
/// A replica at or past the position holds all that was acknowledged before the instant, provided
/// that primary and replica are both of `term` at some later instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PositionSample {
    /// Position of the primary.
    pub pos: Pos,
    /// Term that it led.
    pub term: u64,
    /// When it was asked.
    pub asked: Ms,
}

/// The newest samples of one group.
#[derive(Default)]
pub struct PositionSamples {
    /// In the order of `asked`.
    list: RefCell<VecDeque<PositionSample>>,
    /// Whether a new sample is being fetched.
    pub fetching: Cell<bool>,
}

impl PositionSamples {
    /// Adds a sample.
    pub fn add(&self, mark: PositionSample) {
        let mut list = self.list.borrow_mut();
        if list.back().is_some_and(|b| b.asked >= mark.asked) {
            return;
        }
        if list.len() == MARKS_MAX {
            list.pop_front();
        }
        list.push_back(mark);
    }

    /// The newest sample that a replica at `last` contains.
    pub fn newest_contained(&self, last: Pos) -> Option<PositionSample> {
        self.list
            .borrow()
            .iter()
            .rev()
            .find(|m| last >= m.pos)
            .copied()
    }

    /// The newest sample.
    pub fn newest(&self) -> Option<PositionSample> {
        self.list.borrow().back().copied()
    }
}
