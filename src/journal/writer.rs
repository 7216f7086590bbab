//! Group commit of records, and the settling of appends whose answer was lost.

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

/// Most records in one append.
const BATCH_RECORDS_MAX: usize = 512;
/// Most bytes in one append.
const BATCH_BYTES_MAX: usize = 512 * 1024;
/// Records waiting to be appended before new ones are refused.
const QUEUE_MAX: usize = 8_192;
/// Time between two tries to append `Void` records, in ms.
const VOID_RETRY_MS: u64 = 500;

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It stands in the log at this offset and is in force.
    Accepted(u64),
    /// It stands in the log and is not in force, or never will stand there.
    Refused(String),
    /// The log did not take it.
    NotAppended(String),
    /// It may stand in the log; nobody knows yet.
    Unknown,
}

struct QueuedRecord {
    id: RecordId,
    text: String,
}

type WaiterMap = HashMap<RecordId, oneshot::Sender<AppendOutcome>>;

/// Appends records of this process. Cloning shares the queue.
#[derive(Clone)]
pub struct JournalWriter {
    host: ObjectName,
    boot: u64,
    shared: Arc<WriterShared>,
    queue: mpsc::Sender<QueuedRecord>,
}

struct WriterShared {
    /// Last sequence number given out; held while queueing so that order is kept.
    seq: Mutex<u64>,
    waiters: Mutex<WaiterMap>,
}

impl JournalWriter {
    /// Starts the writer's task; it ends when all clones are dropped.
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

    /// Appends one record and waits until the fold has settled it, or `timeout` has passed.
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

    /// Queues one record; the receiver gets its outcome.
    ///
    /// # Errors
    ///
    /// Fails when the queue is full; the record is then surely not appended.
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

    /// Tells the waiters what the fold settled.
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
            // The caller may have given up.
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
    /// Records whose append had no answer.
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

    /// Waits for records; an empty batch means that only `Void` records are due.
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
            "journal: {} records are not confirmed: {failure}.",
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

    /// Encodes a `Void` for a record, with the next id of this process.
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
