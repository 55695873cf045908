//! Orders of promotions that are held up on their way to the promotion API.

use std::cell::Cell;
use std::rc::Rc;

use base::Signal;

use crate::PromotionRequest;

/// An order that has been sent and has not arrived. Its sender may have given up or have ended.
pub struct HeldOrder {
    pub request: Rc<PromotionRequest>,
    /// Whether the promotion API has accepted the order; `None` before it arrives.
    accepted: Cell<Option<bool>>,
    /// Notified when the order arrives.
    arrived: Signal,
}

impl HeldOrder {
    pub(crate) fn new(request: Rc<PromotionRequest>) -> HeldOrder {
        HeldOrder {
            request,
            accepted: Cell::new(None),
            arrived: Signal::default(),
        }
    }

    /// Lets the sender have its answer, if it still waits.
    pub(crate) fn answer(&self, accepted: bool) {
        self.accepted.set(Some(accepted));
        self.arrived.notify();
    }

    /// Waits until the order has arrived; returns whether it was accepted.
    pub(crate) async fn accepted(&self) -> bool {
        loop {
            let seen = self.arrived.generation();
            if let Some(accepted) = self.accepted.get() {
                return accepted;
            }
            self.arrived.wait_past(seen).await;
        }
    }
}
