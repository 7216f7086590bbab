//! Group commit: records of all hosts that wait for the owner's next append.
//!
//! The store handles one append per stream at a time. With a slow store, hosts that append for
//! themselves queue for seconds behind each other and behind the owner. In the owner's group
//! commit each record waits for two appends at most.

use std::cell::{Cell, RefCell};

use tokio::sync::{Notify, oneshot};

use crate::work::model::stream::{KeyedValue, StoreFailure};

/// Maximum number of records per append.
const BATCH_MAX: usize = 200;
/// Maximum number of waiting records; further ones are rejected.
const PENDING_MAX: usize = 1_000;

/// A record that waits to be appended, with the channel of the task that waits for it.
#[derive(Debug)]
pub struct PendingRecord {
    /// The encoded record.
    pub entry: KeyedValue,
    reply: oneshot::Sender<Result<(), StoreFailure>>,
}

impl PendingRecord {
    /// Sends the result of the append to the waiting task.
    pub fn close(self, result: Result<(), StoreFailure>) {
        // The receiver is gone if its caller abandoned the call.
        let _ = self.reply.send(result);
    }
}

/// The queue of waiting records; closed while this host does not own the pool.
#[derive(Debug, Default)]
pub struct GroupCommitQueue {
    /// Term of the owner on this host that drains the queue; none while the queue is closed.
    term: Cell<Option<u64>>,
    rows: RefCell<Vec<PendingRecord>>,
    wake: Notify,
}

impl GroupCommitQueue {
    /// Opens the queue for the owner of a term.
    pub fn open(&self, term: u64) {
        self.term.set(Some(term));
    }

    /// Closes the queue, unless another term has opened it. Waiting records fail with `NotDone`,
    /// as none of them has been sent to the store.
    pub fn close(&self, term: u64) {
        if self.term.get() != Some(term) {
            return;
        }
        self.term.set(None);
        for row in self.rows.take() {
            row.close(Err(not_accepting()));
        }
    }

    /// Queues a record and waits until the owner has appended it.
    ///
    /// # Errors
    ///
    /// Returns `NotDone` if this host does not own the pool or the queue is full, else the failure
    /// of the append.
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

    /// Waits until a record is queued.
    pub async fn wait_for_records(&self) {
        self.wake.notified().await;
    }

    /// Removes and returns the records of a term's next append.
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
