//! Replication positions.

use std::fmt;

use crate::Pos;

impl Pos {
    /// The position before every entry.
    pub const ZERO: Pos = Pos { term: 0, log: 0 };

    /// Returns whether a history that ends at this position contains a confirmed position.
    ///
    /// The history of every later primary contains all confirmed entries, before the entries of its
    /// own term, so comparing (term, log) is enough. This does not hold for unconfirmed entries.
    pub fn contains(self, confirmed: Pos) -> bool {
        self >= confirmed
    }

    /// Parses `TERM:LOG`.
    pub fn parse(text: &str) -> Option<Pos> {
        let (term, log) = text.split_once(':')?;
        Some(Pos {
            term: term.parse().ok()?,
            log: log.parse().ok()?,
        })
    }
}

impl fmt::Display for Pos {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.log)
    }
}
