//! Sending of the owner's orders to the upstreams.

use crate::work::clock::steady_ms;
use crate::work::owner::UpstreamOrder;
use crate::work::owner_loop::{OwnerLoop, UNCONFIRMED};
use crate::work::ports::{OrderPort, RecordReader, StorePort};

impl<S: StorePort, O: OrderPort, R: RecordReader> OwnerLoop<S, O, R> {
    /// Sends orders, each in a task of its own.
    pub(super) fn send_orders(&self, orders: Vec<UpstreamOrder>) {
        for order in orders {
            tokio::task::spawn_local(self.clone().execute_order(order));
        }
    }

    async fn execute_order(self, order: UpstreamOrder) {
        if !self.may_send() {
            return;
        }
        match order {
            UpstreamOrder::Start(order) => {
                let outcome = self.context.orders.start(&order).await;
                self.update_owner(|owner| owner.on_started(&order, outcome));
            }
            UpstreamOrder::Stop(order) => {
                let result = self.context.orders.stop(&order).await;
                self.update_owner(|owner| owner.on_stopped(&order, result));
            }
            UpstreamOrder::Renew(order) => {
                let result = self.context.orders.renew(&order).await;
                self.update_owner(|owner| owner.on_renewed(&order, result));
            }
        }
    }

    /// Returns whether an order may still go out, and ends the term if it has run out. The process
    /// may have been paused since the order was decided.
    fn may_send(&self) -> bool {
        if !self.ended.get() && self.ownership.has_run_out(steady_ms()) {
            self.end(UNCONFIRMED);
        }
        !self.ended.get()
    }
}
