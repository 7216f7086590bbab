//! Appends this process's records to the journal in groups, and resolves appends whose response
//! was lost by appending `Void` records.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::journal::client::LogStore;
use crate::journal::fold::{FoldResult, FoldVerdict};
use crate::journal::record::{JournalRecord, RecordBody, RecordId};
use crate::routing::verdict::RunVerdict;
use crate::tables::name::ObjectName;

/// Maximum number of records taken from the queue for one append.
const BATCH_RECORDS_MAX: usize = 512;
/// Size in bytes from which no further record is added to an append.
const BATCH_BYTES_MAX: usize = 512 * 1024;
/// Maximum number of records waiting to be appended; further ones are refused.
const QUEUE_MAX: usize = 8_192;
/// Interval at which `Void` records are appended while no other record is queued, in ms.
const VOID_RETRY_MS: u64 = 500;

/// The outcome of appending a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log at this offset and was applied.
    Accepted(u64),
    /// The record was refused when applied, or a `Void` invalidated it. Carries the reason.
    Refused(String),
    /// The record was not appended. Carries the reason.
    NotAppended(String),
    /// The record may be in the log; its outcome is not known yet.
    Unknown,
}

struct QueuedRecord {
    id: RecordId,
    text: String,
}

type WaiterMap = HashMap<RecordId, oneshot::Sender<AppendOutcome>>;

/// Appends records of this process. Clones share the queue.
#[derive(Clone)]
pub struct JournalWriter {
    host: ObjectName,
    boot: u64,
    shared: Arc<WriterShared>,
    queue: mpsc::Sender<QueuedRecord>,
}

struct WriterShared {
    /// Last sequence number assigned. Locked while a record is queued, so that records are
    /// queued in sequence order.
    seq: Mutex<u64>,
    waiters: Mutex<WaiterMap>,
}

impl JournalWriter {
    /// Spawns the task that appends queued records, at most once per `interval`; it ends when
    /// all clones of the writer are dropped.
    pub fn start<L: LogStore>(
        host: ObjectName,
        boot: u64,
        log: L,
        stream: ObjectName,
        interval: Duration,
    ) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE_MAX);
        let shared = Arc::new(WriterShared {
            seq: Mutex::new(0),
            waiters: Mutex::new(HashMap::new()),
        });
        let writer = Self {
            host: host.clone(),
            boot,
            shared: Arc::clone(&shared),
            queue,
        };
        let task = WriterTask {
            host,
            boot,
            log,
            stream,
            interval,
            shared,
            receiver,
            unconfirmed: Vec::new(),
        };
        tokio::spawn(task.run());
        writer
    }

    /// Appends a record and waits until it has been applied or refused, or until `timeout` has
    /// passed, which gives [`AppendOutcome::Unknown`].
    pub async fn append(&self, body: RecordBody, timeout: Duration) -> AppendOutcome {
        let receiver = match self.enqueue(body) {
            Ok(receiver) => receiver,
            Err(reason) => return AppendOutcome::NotAppended(reason),
        };
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(outcome)) => outcome,
            _ => AppendOutcome::Unknown,
        }
    }

    /// Queues a record; the receiver gets its outcome.
    ///
    /// # Errors
    ///
    /// Fails when the queue is full or the record cannot be encoded; it is then not appended.
    pub fn enqueue(&self, body: RecordBody) -> Result<oneshot::Receiver<AppendOutcome>, String> {
        let (sender, receiver) = oneshot::channel();
        let mut seq = lock(&self.shared.seq);
        let id = RecordId {
            boot: self.boot,
            seq: *seq + 1,
        };
        let queued = queued_record(&self.host, id, body)?;
        lock(&self.shared.waiters).insert(id, sender);
        if self.queue.try_send(queued).is_err() {
            lock(&self.shared.waiters).remove(&id);
            return Err("too many records wait for the log".to_owned());
        }
        *seq += 1;
        Ok(receiver)
    }

    /// Notifies the waiter of the record that an applied journal entry resolved.
    pub fn resolve(&self, result: &FoldResult) {
        let Some(id) = result.resolved else { return };
        let outcome = match &result.verdict {
            FoldVerdict::Accepted => AppendOutcome::Accepted(result.offset),
            FoldVerdict::Refused(reason) => AppendOutcome::Refused(reason.clone()),
            FoldVerdict::Repeat => return,
        };
        self.shared.notify(id, outcome);
    }
}

fn queued_record(
    host: &ObjectName,
    id: RecordId,
    body: RecordBody,
) -> Result<QueuedRecord, String> {
    let record = JournalRecord {
        id,
        host: host.clone(),
        body,
    };
    let text = serde_json::to_string(&record).map_err(|error| error.to_string())?;
    Ok(QueuedRecord { id, text })
}

impl WriterShared {
    fn notify(&self, id: RecordId, outcome: AppendOutcome) {
        let waiter = lock(&self.waiters).remove(&id);
        if let Some(waiter) = waiter {
            // The send fails if the caller has timed out.
            let _ = waiter.send(outcome);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct WriterTask<L> {
    host: ObjectName,
    boot: u64,
    log: L,
    stream: ObjectName,
    interval: Duration,
    shared: Arc<WriterShared>,
    receiver: mpsc::Receiver<QueuedRecord>,
    /// Records that may or may not be in the log, because their append was not confirmed.
    unconfirmed: Vec<RecordId>,
}

impl<L: LogStore> WriterTask<L> {
    async fn run(mut self) {
        loop {
            let Some(batch) = self.next_batch().await else {
                return;
            };
            let next = Instant::now() + self.interval;
            self.append_batch(batch).await;
            tokio::time::sleep_until(next).await;
        }
    }

    /// Waits for records and returns them as a batch; an empty one if only `Void` records are due.
    /// Returns `None` when all writers are dropped.
    async fn next_batch(&mut self) -> Option<Vec<QueuedRecord>> {
        let mut batch = Vec::new();
        if self.unconfirmed.is_empty() {
            batch.push(self.receiver.recv().await?);
        } else {
            let wait = Duration::from_millis(VOID_RETRY_MS);
            match tokio::time::timeout(wait, self.receiver.recv()).await {
                Ok(Some(record)) => batch.push(record),
                Ok(None) => return None,
                Err(_) => return Some(batch),
            }
        }
        let mut bytes = batch[0].text.len();
        while batch.len() < BATCH_RECORDS_MAX && bytes < BATCH_BYTES_MAX {
            let Ok(record) = self.receiver.try_recv() else {
                break;
            };
            bytes += record.text.len();
            batch.push(record);
        }
        Some(batch)
    }

    async fn append_batch(&mut self, batch: Vec<QueuedRecord>) {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let mut texts: Vec<String> = unconfirmed
            .iter()
            .filter_map(|id| self.encode_void(*id))
            .collect();
        texts.extend(batch.iter().map(|record| record.text.clone()));
        if texts.is_empty() {
            return;
        }
        metrics::counter!("hemlockramp_journal_appends_total").increment(1);
        let Err(failure) = self.log.append(&self.stream, texts).await else {
            return;
        };
        log::warn!(
            "journal: append of {} records was not confirmed: {failure}.",
            batch.len()
        );
        self.unconfirmed = unconfirmed;
        for record in batch {
            match failure.verdict {
                RunVerdict::NotRun => {
                    let reason = format!("the log refused it: {}", failure.reason);
                    self.shared
                        .notify(record.id, AppendOutcome::NotAppended(reason));
                }
                _ => self.unconfirmed.push(record.id),
            }
        }
    }

    /// Encodes a `Void` for a record, with the next sequence number of this process.
    fn encode_void(&self, target: RecordId) -> Option<String> {
        let mut seq = lock(&self.shared.seq);
        *seq += 1;
        let id = RecordId {
            boot: self.boot,
            seq: *seq,
        };
        let queued = queued_record(&self.host, id, RecordBody::Void(target)).ok()?;
        Some(queued.text)
    }
}
