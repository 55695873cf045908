//! Positions in a group's history.

use std::fmt;

use crate::Pos;

impl Pos {
    /// Before every entry.
    pub const ZERO: Pos = Pos { term: 0, log: 0 };

    /// Whether a history that ends here contains a confirmed position.
    ///
    /// A confirmed entry is in the history of every later term's primary, before that term's own
    /// entries, so the order over (term, log) decides. It does not hold for unconfirmed entries.
    pub fn contains(self, confirmed: Pos) -> bool {
        self >= confirmed
    }

    /// Reads `TERM:LOG`.
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
