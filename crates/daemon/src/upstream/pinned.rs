//! Open transactions: each holds one connection until it ends.

use std::cell::RefCell;
use std::collections::HashMap;

use base::Ms;

use crate::upstream::pool::PooledConn;

/// A connection inside a transaction.
pub struct PinnedConn {
    /// The connection.
    pub taken: PooledConn,
    /// Group and member it belongs to.
    pub place: (Box<str>, Box<str>),
    /// The peer connection that it was begun on, or 0 for a session of this daemon.
    pub link: u64,
    /// When its last batch ended.
    pub used: Ms,
    /// Whether settings of the connection were changed.
    pub taint: bool,
}

/// All open transactions of a daemon that are not running a batch just now.
#[derive(Default)]
pub struct PinnedConns {
    open: RefCell<HashMap<u64, PinnedConn>>,
}

impl PinnedConns {
    /// Takes a transaction out to run a batch in it.
    pub fn take(&self, id: u64) -> Option<PinnedConn> {
        self.open.borrow_mut().remove(&id)
    }

    /// Puts a transaction back after a batch.
    pub fn put(&self, id: u64, lease: PinnedConn) {
        self.open.borrow_mut().insert(id, lease);
    }

    /// Ends a transaction; its connection closes, so that the member rolls it back.
    pub fn end(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Ends all transactions that were begun on a peer connection, when that connection closes.
    pub fn end_link(&self, link: u64) {
        self.open.borrow_mut().retain(|_, l| l.link != link);
    }

    /// Ends transactions that have been idle for longer than `idle_ms`.
    pub fn sweep(&self, idle_ms: u64) {
        self.open
            .borrow_mut()
            .retain(|_, l| l.used.elapsed() <= idle_ms);
    }

    /// Open transactions.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Open transactions on one member.
    pub fn on_member(&self, group: &str, member: &str) -> u64 {
        let here = |l: &&PinnedConn| *l.place.0 == *group && *l.place.1 == *member;
        self.open.borrow().values().filter(here).count() as u64
    }
}
