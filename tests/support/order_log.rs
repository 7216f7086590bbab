//! Upstreams that run nothing, and a log of the orders that reach them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hemlockramp::tables::name::ObjectName;
use hemlockramp::work::clock::steady_ms;
use hemlockramp::work::model::task_ref::TaskRef;
use hemlockramp::work::model::upstream::{
    OrderFailure, OrderTarget, RenewOrder, RenewReply, StartOrder, StartOutcome, StopOrder,
};
use hemlockramp::work::ports::OrderPort;

use super::memory_store::MemoryStore;

/// Low bits of a fencing token that do not belong to the owner's term.
const TOKEN_RESTART_BITS: u32 = 8;
/// Time that an upstream takes to answer an order, in ms.
const ANSWER_MS: u64 = 50;

/// An order when it was sent.
#[derive(Clone, Debug)]
pub struct SentOrder {
    pub upstream: ObjectName,
    /// The task that it starts; none if it is no start.
    pub starts: Option<TaskRef>,
    pub term: u64,
    /// Time since the owner sent its newest confirmed append, in ms.
    pub unconfirmed_ms: u64,
}

/// Client of the upstreams. Clones share the log.
#[derive(Clone)]
pub struct OrderLog {
    store: MemoryStore,
    sent: Rc<RefCell<Vec<SentOrder>>>,
    pause_ms: Rc<Cell<u64>>,
}

impl OrderLog {
    /// Creates a client that compares each order with the appends of its owner.
    pub fn new(store: MemoryStore) -> Self {
        Self {
            store,
            sent: Rc::default(),
            pause_ms: Rc::default(),
        }
    }

    /// Stops the whole process for this long at the next order.
    pub fn pause_process_at_next_order(&self, pause_ms: u64) {
        self.pause_ms.set(pause_ms);
    }

    /// Returns the orders that were sent, in order.
    pub fn sent(&self) -> Vec<SentOrder> {
        self.sent.borrow().clone()
    }

    async fn send(&self, target: &OrderTarget, starts: Option<&TaskRef>) {
        let term = target.fencing_token >> TOKEN_RESTART_BITS;
        let confirmed_ms = self.store.confirmed_ms(term).unwrap_or_default();
        self.sent.borrow_mut().push(SentOrder {
            upstream: target.upstream.clone(),
            starts: starts.cloned(),
            term,
            unconfirmed_ms: steady_ms() - confirmed_ms,
        });
        std::thread::sleep(Duration::from_millis(self.pause_ms.take()));
        tokio::time::sleep(Duration::from_millis(ANSWER_MS)).await;
    }
}

impl OrderPort for OrderLog {
    async fn start(&self, order: &StartOrder) -> StartOutcome {
        self.send(&order.target, Some(&order.task)).await;
        StartOutcome::Unknown
    }

    async fn stop(&self, order: &StopOrder) -> Result<u64, OrderFailure> {
        self.send(&order.target, None).await;
        Ok(steady_ms())
    }

    async fn renew(&self, order: &RenewOrder) -> Result<RenewReply, OrderFailure> {
        self.send(&order.target, None).await;
        Err(OrderFailure::Silent)
    }
}
