//! Facts that wait for the owner's next append.
//!
//! Answers this pattern: the store is slow, and takes one append of a stream at a time. Hosts
//! that append for themselves then queue for seconds behind each other and behind the owner;
//! with all of them in the owner's next append, each waits for two at most.

use std::cell::{Cell, RefCell};

use tokio::sync::{Notify, oneshot};

use crate::work::stream::{KeyedValue, StoreFailure};

/// Facts of one append.
const BATCH_MAX: usize = 200;
/// Facts that wait at most; later ones are turned away.
const PENDING_MAX: usize = 1_000;

/// A fact with whoever waits for it.
#[derive(Debug)]
pub struct PendingRecord {
    /// The fact.
    pub entry: KeyedValue,
    reply: oneshot::Sender<Result<(), StoreFailure>>,
}

impl PendingRecord {
    /// Tells whoever waits how the append ended.
    pub fn close(self, result: Result<(), StoreFailure>) {
        // Nobody waits any more if the call was given up.
        let _ = self.reply.send(result);
    }
}

/// The facts that wait; closed while this host does not own the pool.
#[derive(Debug, Default)]
pub struct GroupCommitQueue {
    /// Term of the owner on this host that takes them.
    term: Cell<Option<u64>>,
    rows: RefCell<Vec<PendingRecord>>,
    wake: Notify,
}

impl GroupCommitQueue {
    /// Opens the intake for the owner of a term.
    pub fn open(&self, term: u64) {
        self.term.set(Some(term));
    }

    /// Closes the intake, unless a later owner has opened it; what waits has not been stored.
    pub fn close(&self, term: u64) {
        if self.term.get() != Some(term) {
            return;
        }
        self.term.set(None);
        for row in self.rows.take() {
            row.close(Err(not_accepting()));
        }
    }

    /// Waits until a fact has been stored with the owner's next append.
    ///
    /// # Errors
    ///
    /// Not done if this host does not own the pool; else as the append ended.
    pub async fn record(&self, entry: KeyedValue) -> Result<(), StoreFailure> {
        if self.term.get().is_none() || self.rows.borrow().len() >= PENDING_MAX {
            return Err(not_accepting());
        }
        let (reply, receiver) = oneshot::channel();
        self.rows.borrow_mut().push(PendingRecord { entry, reply });
        self.wake.notify_one();
        let lost = || StoreFailure::Unknown("the owner stopped".to_owned());
        receiver.await.unwrap_or_else(|_| Err(lost()))
    }

    /// Waits for a fact.
    pub async fn wait_for_records(&self) {
        self.wake.notified().await;
    }

    /// Takes the facts of a term's next append.
    pub fn take(&self, term: u64) -> Vec<PendingRecord> {
        if self.term.get() != Some(term) {
            return Vec::new();
        }
        let mut rows = self.rows.borrow_mut();
        let count = rows.len().min(BATCH_MAX);
        rows.drain(..count).collect()
    }
}

fn not_accepting() -> StoreFailure {
    StoreFailure::NotDone("this host does not take facts for others".to_owned())
}
