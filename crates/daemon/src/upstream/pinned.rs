//! Pinned connections: an open transaction keeps its connection until it ends.

use std::cell::RefCell;
use std::collections::HashMap;

use base::Ms;

use crate::upstream::pool::PooledConn;

/// A connection with an open transaction.
pub struct PinnedConn {
    pub conn: PooledConn,
    /// Names of the group and the member.
    pub target: (Box<str>, Box<str>),
    /// Id of the peer connection on which the transaction began and which alone may continue it, or
    /// 0 for a session of this daemon.
    pub conn_id: u64,
    /// End of the last batch.
    pub last_used: Ms,
    /// Whether batches may have changed session settings of the connection.
    pub tainted: bool,
}

/// Open transactions of a daemon by lease id, which is the id of the request that began them. A
/// transaction that is running a batch is not contained.
#[derive(Default)]
pub struct PinnedConns {
    open: RefCell<HashMap<u64, PinnedConn>>,
}

impl PinnedConns {
    /// Removes a transaction, to run a batch in it.
    pub fn take(&self, lease: u64) -> Option<PinnedConn> {
        self.open.borrow_mut().remove(&lease)
    }

    /// Inserts a transaction after a batch.
    pub fn put(&self, lease: u64, pinned: PinnedConn) {
        self.open.borrow_mut().insert(lease, pinned);
    }

    /// Ends a transaction by closing its connection, so that the member rolls it back.
    pub fn end(&self, lease: u64) {
        self.open.borrow_mut().remove(&lease);
    }

    /// Ends all transactions that began on a peer connection, which has closed.
    pub fn end_on_conn(&self, conn_id: u64) {
        self.open
            .borrow_mut()
            .retain(|_, conn| conn.conn_id != conn_id);
    }

    /// Ends transactions that have been idle for longer than `idle_ms`.
    pub fn end_idle(&self, idle_ms: u64) {
        self.open
            .borrow_mut()
            .retain(|_, conn| conn.last_used.elapsed() <= idle_ms);
    }

    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Number of open transactions on one member.
    pub fn count_on_member(&self, group: &str, member: &str) -> u64 {
        let on_member = |conn: &&PinnedConn| *conn.target.0 == *group && *conn.target.1 == *member;
        self.open.borrow().values().filter(on_member).count() as u64
    }
}
