//! What a host tells its peers of its own term as the pool's owner.

use std::cell::Cell;

use crate::work::model::term_report::TermReport;

/// The term that this host has, with its newest proofs.
#[derive(Debug, Default)]
pub struct TermStatus {
    term: Cell<Option<u64>>,
    confirmed_ms: Cell<u64>,
    turned_ms: Cell<u64>,
}

impl TermStatus {
    /// Records that this host has claimed the pool with an append sent at `sent_ms`.
    pub fn begin(&self, term: u64, sent_ms: u64, now_ms: u64) {
        self.term.set(Some(term));
        self.confirmed_ms.set(sent_ms);
        self.turned_ms.set(now_ms);
    }

    /// Records that the store has confirmed an append of the term that was sent at this time.
    pub fn confirm(&self, sent_ms: u64) {
        self.confirmed_ms.set(sent_ms.max(self.confirmed_ms.get()));
    }

    /// Records a round of the owner's loop.
    pub fn turn(&self, now_ms: u64) {
        self.turned_ms.set(now_ms);
    }

    /// Records that this host no longer owns the pool.
    pub fn end(&self) {
        self.term.set(None);
    }

    /// Returns the answer to a peer; none if this host does not own the pool.
    pub fn report(&self, now_ms: u64) -> Option<TermReport> {
        Some(TermReport {
            term: self.term.get()?,
            confirmed_age_ms: now_ms.saturating_sub(self.confirmed_ms.get()),
            turn_age_ms: now_ms.saturating_sub(self.turned_ms.get()),
        })
    }
}
