//! How long an owner may act on the store's newest confirmation.

use std::cell::Cell;

use crate::work::owner_loop::claimed_term::ClaimedTerm;

/// The newest proof that no later owner has claimed the pool, and the time for which it holds. A
/// later owner reckons with no orders from this one beyond that time.
#[derive(Debug)]
pub(super) struct Ownership {
    /// When the newest confirmed append was sent, steady ms.
    confirmed_ms: Cell<u64>,
    timeout_ms: u64,
}

impl Ownership {
    /// Creates the ownership of a term, of which the claim is the first proof.
    pub(super) fn new(claimed: ClaimedTerm, timeout_ms: u64) -> Self {
        Self {
            confirmed_ms: Cell::new(claimed.fenced_ms),
            timeout_ms,
        }
    }

    /// Records that the store has confirmed an append that was sent at this time.
    pub(super) fn confirm(&self, sent_ms: u64) {
        self.confirmed_ms.set(sent_ms.max(self.confirmed_ms.get()));
    }

    /// Returns whether no append was confirmed within the ownership timeout.
    pub(super) fn has_run_out(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.confirmed_ms.get()) > self.timeout_ms
    }
}
