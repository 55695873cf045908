//! Registry of the requests in progress, for cancellation.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Address of an upstream and the cancel key of the connection.
type CancelTarget = (SocketAddr, (i32, i32));

/// Requests in progress, by request id.
#[derive(Default)]
pub struct CancelRegistry {
    /// Upstream connections on which batches run.
    running: RefCell<HashMap<u64, CancelTarget>>,
    /// Daemons to which requests were forwarded.
    forwarded: RefCell<HashMap<u64, Box<str>>>,
    /// Requests cancelled before they reached an upstream; they must not be sent to one.
    cancelled: RefCell<HashSet<u64>>,
}

/// Drop guard that removes the entry of a forwarded request.
pub struct SentGuard<'a> {
    cancels: &'a CancelRegistry,
    id: u64,
}

impl CancelRegistry {
    /// Records that a batch runs on an upstream connection.
    pub fn record_running(&self, id: u64, addr: SocketAddr, key: (i32, i32)) {
        self.running.borrow_mut().insert(id, (addr, key));
    }

    /// Removes the record of a batch that has ended.
    pub fn remove_running(&self, id: u64) {
        self.running.borrow_mut().remove(&id);
    }

    /// Records that a request is forwarded to a daemon, until the guard is dropped.
    pub fn record_sent(&self, id: u64, owner: &str) -> SentGuard<'_> {
        self.forwarded.borrow_mut().insert(id, owner.into());
        SentGuard { cancels: self, id }
    }

    /// Name of the daemon that a request was forwarded to.
    pub fn owner(&self, id: u64) -> Option<Box<str>> {
        self.forwarded.borrow().get(&id).cloned()
    }

    /// Sends a cancel request to the upstream, or marks a request that has not reached one.
    pub async fn cancel(&self, id: u64) {
        let target = self.running.borrow().get(&id).copied();
        if let Some((addr, key)) = target {
            let _ = pg::cancel(addr, key).await;
        } else {
            self.cancelled.borrow_mut().insert(id);
        }
    }

    /// Whether a request was cancelled before it reached an upstream.
    pub fn is_cancelled(&self, id: u64) -> bool {
        self.cancelled.borrow().contains(&id)
    }

    /// Removes the mark of a cancelled request when the request ends.
    pub fn clear_cancelled(&self, id: u64) {
        self.cancelled.borrow_mut().remove(&id);
    }
}

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        self.cancels.forwarded.borrow_mut().remove(&self.id);
    }
}
