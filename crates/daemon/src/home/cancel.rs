//! Cancelling what runs on an upstream.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Address of an upstream and the key of the connection.
type Target = (SocketAddr, (i32, i32));

/// Batches that run on upstreams now, by request id.
#[derive(Default)]
pub struct Cancels(RefCell<HashMap<u64, Target>>);

impl Cancels {
    /// Notes that a batch runs.
    pub fn note(&self, id: u64, addr: SocketAddr, key: (i32, i32)) {
        self.0.borrow_mut().insert(id, (addr, key));
    }

    /// Notes that it has ended.
    pub fn forget(&self, id: u64) {
        self.0.borrow_mut().remove(&id);
    }

    /// Asks the upstream to cancel a batch, if it still runs.
    pub async fn cancel(&self, id: u64) {
        let target = self.0.borrow().get(&id).copied();
        if let Some((addr, key)) = target {
            let _ = pg::cancel(addr, key).await;
        }
    }
}
