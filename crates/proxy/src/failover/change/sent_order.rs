//! An order of a promotion that this daemon has sent and that may not have been answered.

use std::future::poll_fn;
use std::task::Poll;

use base::{Event, Ms, emit};

use crate::{BoxFuture, Group, OrderAnswer, PromotionOrder};

/// An order that was sent. Dropping it resets its connection.
pub(super) struct SentOrder {
    pub(super) order: PromotionOrder,
    pub(super) sent_at: Ms,
    /// `None` once it has ended.
    call: Option<BoxFuture<OrderAnswer>>,
}

impl SentOrder {
    /// Nothing is sent before the first `poll`.
    pub(super) fn new(order: PromotionOrder, call: BoxFuture<OrderAnswer>) -> SentOrder {
        SentOrder {
            order,
            sent_at: Ms::now(),
            call: Some(call),
        }
    }

    /// Lets the call go on, without waiting; returns its answer once. `OrderAnswer::Missing` if the
    /// connection was lost.
    pub(super) async fn poll(&mut self) -> Option<OrderAnswer> {
        let call = self.call.as_mut()?;
        let answer = poll_fn(|cx| match call.as_mut().poll(cx) {
            Poll::Ready(answer) => Poll::Ready(Some(answer)),
            Poll::Pending => Poll::Ready(None),
        })
        .await;
        if answer.is_some() {
            self.call = None;
        }
        answer
    }

    /// Whether the call has not ended.
    pub(super) fn is_pending(&self) -> bool {
        self.call.is_some()
    }

    /// Logs that the call has ended, under a claim that was last taken or renewed at `claimed_at`.
    pub(super) fn log_end(&self, group: &Group, answer: OrderAnswer, claimed_at: Ms) {
        emit(
            Event::OrderCallEnded,
            &[
                ("group", &group.name),
                ("member", &self.order.member),
                ("order", &self.order.token),
                ("call", &self.order.call),
                ("answer", &answer),
                ("took_ms", &self.sent_at.elapsed()),
                ("claim_age_ms", &claimed_at.elapsed()),
            ],
        );
    }
}
