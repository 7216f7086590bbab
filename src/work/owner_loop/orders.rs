//! Sending of the owner's orders to the upstreams.

use crate::work::clock::steady_ms;
use crate::work::owner::UpstreamOrder;
use crate::work::owner_loop::upstream_answer::UpstreamAnswer;
use crate::work::owner_loop::{OwnerLoop, UNCONFIRMED};
use crate::work::ports::{OrderPort, RecordReader, StorePort};

impl<S: StorePort, O: OrderPort, R: RecordReader> OwnerLoop<S, O, R> {
    /// Sends orders, each in a task of its own. Renewals go first, since leases depend on them.
    pub(super) fn send_orders(&self, mut orders: Vec<UpstreamOrder>) {
        orders.sort_by_key(|order| !matches!(order, UpstreamOrder::Renew(_)));
        for order in orders {
            tokio::task::spawn_local(self.clone().execute_order(order));
        }
    }

    async fn execute_order(self, order: UpstreamOrder) {
        if !self.may_send() {
            return;
        }
        let sent_ms = steady_ms();
        let answer = match order {
            UpstreamOrder::Start(order) => {
                let outcome = self.context.orders.start(&order).await;
                UpstreamAnswer::Started(order, outcome)
            }
            UpstreamOrder::Stop(order) => {
                let result = self.context.orders.stop(&order).await;
                UpstreamAnswer::Stopped(order, result)
            }
            UpstreamOrder::Renew(order) => {
                let result = self.context.orders.renew(&order).await;
                UpstreamAnswer::Renewed(order, result)
            }
        };
        self.deliver(answer, sent_ms);
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
