//! Answers of upstreams to the owner's orders, on their way to the owner.

use crate::work::model::upstream::{
    OrderFailure, RenewOrder, RenewReply, StartOrder, StartOutcome, StopOrder,
};
use crate::work::owner::PoolOwner;

/// An order with what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamAnswer {
    /// Answer to a start order.
    Started(StartOrder, StartOutcome),
    /// Answer to a stop order.
    Stopped(StopOrder, Result<u64, OrderFailure>),
    /// Answer to a renewal.
    Renewed(RenewOrder, Result<RenewReply, OrderFailure>),
}

impl UpstreamAnswer {
    /// Passes the answer to the owner.
    pub fn apply(self, owner: &mut PoolOwner) {
        match self {
            Self::Started(order, outcome) => owner.on_started(&order, outcome),
            Self::Stopped(order, result) => owner.on_stopped(&order, result),
            Self::Renewed(order, result) => owner.on_renewed(&order, result),
        }
    }
}

/// An answer with its times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivedAnswer {
    /// The answer.
    pub answer: UpstreamAnswer,
    /// When the order was sent, steady ms.
    pub sent_ms: u64,
    /// When the answer arrived, steady ms.
    pub arrived_ms: u64,
}

impl ArrivedAnswer {
    /// Returns the answer's place among those that wait; the lowest is handled first.
    ///
    /// Orders grant leases, so the answer to the oldest order concerns the lease that ends first. An
    /// upstream that answers at once, as it was asked to, comes before all others: its ends are
    /// acknowledged only right after an answer.
    pub fn rank_ms(&self) -> u64 {
        match self.is_immediate() {
            true => 0,
            false => self.sent_ms,
        }
    }

    /// Returns whether the answer is one to a renewal that was not to be held open.
    pub fn is_immediate(&self) -> bool {
        matches!(&self.answer, UpstreamAnswer::Renewed(order, Ok(_)) if order.wait_ms == 0)
    }
}
