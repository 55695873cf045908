//! Where requests run now, so that they can be cancelled.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Address of an upstream and the key of the connection.
type Target = (SocketAddr, (i32, i32));

/// Requests under way, by their id.
#[derive(Default)]
pub struct Cancels {
    /// Batches that this daemon runs on upstreams.
    running: RefCell<HashMap<u64, Target>>,
    /// Daemons that this daemon sent requests to.
    sent: RefCell<HashMap<u64, Box<str>>>,
    /// Requests cancelled before they reached an upstream; they must not reach one any more.
    marked: RefCell<HashSet<u64>>,
}

/// A request under way; dropping it ends the note.
pub struct SentGuard<'a> {
    cancels: &'a Cancels,
    id: u64,
}

impl Cancels {
    /// Notes that a batch runs on an upstream.
    pub fn record_running(&self, id: u64, addr: SocketAddr, key: (i32, i32)) {
        self.running.borrow_mut().insert(id, (addr, key));
    }

    /// Notes that it has ended.
    pub fn remove_running(&self, id: u64) {
        self.running.borrow_mut().remove(&id);
    }

    /// Notes that a request is sent to a daemon.
    pub fn record_sent(&self, id: u64, owner: &str) -> SentGuard<'_> {
        self.sent.borrow_mut().insert(id, owner.into());
        SentGuard { cancels: self, id }
    }

    /// The daemon that a request was sent to.
    pub fn owner(&self, id: u64) -> Option<Box<str>> {
        self.sent.borrow().get(&id).cloned()
    }

    /// Asks the upstream to cancel a batch, or marks it if it has not reached one yet.
    pub async fn cancel(&self, id: u64) {
        let target = self.running.borrow().get(&id).copied();
        if let Some((addr, key)) = target {
            let _ = pg::cancel(addr, key).await;
        } else {
            self.marked.borrow_mut().insert(id);
        }
    }

    /// Whether a request was cancelled before it reached an upstream.
    pub fn is_cancelled(&self, id: u64) -> bool {
        self.marked.borrow().contains(&id)
    }

    /// Forgets a mark when its request ends.
    pub fn clear_cancelled(&self, id: u64) {
        self.marked.borrow_mut().remove(&id);
    }
}

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        self.cancels.sent.borrow_mut().remove(&self.id);
    }
}
