//! Registry of the requests in progress, for cancellation.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Address of an upstream and the cancel key of the connection.
type CancelTarget = (SocketAddr, (i32, i32));

/// Requests in progress, by request id.
#[derive(Default)]
pub struct CancelRegistry {
    /// Upstream connection on which each batch runs.
    running: RefCell<HashMap<u64, CancelTarget>>,
    /// Daemon to which each request of this daemon's sessions was sent, which may be this one.
    forwarded: RefCell<HashMap<u64, Box<str>>>,
    /// Requests cancelled while no batch of theirs ran; they must not be sent to an upstream.
    cancelled: RefCell<HashSet<u64>>,
}

/// Drop guard that removes the entry of a forwarded request.
pub struct ForwardedGuard<'a> {
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

    /// Records that a request is sent to an owner, until the guard is dropped.
    pub fn record_forwarded(&self, id: u64, owner: &str) -> ForwardedGuard<'_> {
        self.forwarded.borrow_mut().insert(id, owner.into());
        ForwardedGuard { cancels: self, id }
    }

    /// Name of the daemon that a request was sent to.
    pub fn owner(&self, id: u64) -> Option<Box<str>> {
        self.forwarded.borrow().get(&id).cloned()
    }

    /// Sends a cancel request to the upstream if a batch of the request runs there; otherwise marks
    /// the request as cancelled.
    pub async fn cancel(&self, id: u64) {
        let target = self.running.borrow().get(&id).copied();
        if let Some((addr, key)) = target {
            let _ = pg::cancel(addr, key).await;
        } else {
            self.cancelled.borrow_mut().insert(id);
        }
    }

    /// Whether a request was marked as cancelled.
    pub fn is_cancelled(&self, id: u64) -> bool {
        self.cancelled.borrow().contains(&id)
    }

    /// Removes the mark of a cancelled request when the request ends.
    pub fn clear_cancelled(&self, id: u64) {
        self.cancelled.borrow_mut().remove(&id);
    }
}

impl Drop for ForwardedGuard<'_> {
    fn drop(&mut self) {
        self.cancels.forwarded.borrow_mut().remove(&self.id);
    }
}
