//! What a keeper knows of one worker.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::journal::writer::AppendOutcome;
use crate::settings::scheduler::TimingSettings;
use crate::systems::task_orders::OrderRow;
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;

/// A worker that this host keeps.
pub struct KeeperRow {
    /// Its place.
    pub slot: WorkerSlot,
    /// Its name.
    pub name: ObjectName,
    /// When it last answered, or when this host began to keep it.
    pub heard: Instant,
    /// When it was last sent anything.
    pub sent: Option<Instant>,
    /// Whether an answer to orders is awaited.
    pub ordering: bool,
    /// Whether an answer to a renewal is awaited; the worker may hold it back.
    pub polling: bool,
    /// Version of the worker's states that was taken up; 0 for none.
    pub seen: u64,
    /// Whether the last message had no answer.
    pub failed: bool,
    /// Digest of the orders it should have.
    pub digest: u64,
    /// Digest of the orders it confirmed.
    pub confirmed: Option<u64>,
    /// When its lost tasks were first seen here.
    pub lost: Option<LostMark>,
    /// Reports that the log has not settled.
    pub pending: Option<oneshot::Receiver<AppendOutcome>>,
}

/// When tasks were seen lost, and by whom.
#[derive(Clone, Copy)]
pub struct LostMark {
    /// When they were first seen lost here.
    pub at: Instant,
    /// Hosts that have folded up to here renew the tasks no more.
    pub offset: u64,
    /// When all listed hosts had folded that far.
    pub known_to_all: Option<Instant>,
}

impl KeeperRow {
    /// Starts to keep a worker; its silence counts from now.
    pub fn new(slot: WorkerSlot, name: ObjectName) -> Self {
        Self {
            slot,
            name,
            heard: Instant::now(),
            sent: None,
            ordering: false,
            polling: false,
            seen: 0,
            failed: false,
            digest: 0,
            confirmed: None,
            lost: None,
            pending: None,
        }
    }
}

/// Returns whether a worker should be sent something now.
pub fn is_due(row: &KeeperRow, timing: &TimingSettings, changed: bool) -> bool {
    let idle = row.sent.map_or(Duration::MAX, |at| at.elapsed());
    let pause = match (changed, row.failed) {
        (true, false) => Duration::ZERO,
        // A worker that does not answer is asked again at the pace of its time-out.
        (true, true) => timing.worker_timeout.min(timing.renew),
        // The answer to a renewal is held back, so this only bounds a busy worker.
        (false, _) => match row.seen {
            0 => timing.renew,
            _ => timing.tick,
        },
    };
    idle >= pause
}

/// Returns a settled append's outcome and forgets it; none while it is open.
pub fn take_outcome(
    pending: &mut Option<oneshot::Receiver<AppendOutcome>>,
) -> Option<AppendOutcome> {
    let outcome = match pending.as_mut()?.try_recv() {
        Ok(outcome) => outcome,
        Err(oneshot::error::TryRecvError::Empty) => return None,
        Err(oneshot::error::TryRecvError::Closed) => AppendOutcome::Unknown,
    };
    *pending = None;
    Some(outcome)
}

/// Returns a hash of the orders as the worker is told them.
pub fn digest_of(orders: &[OrderRow]) -> u64 {
    let mut text = String::new();
    for row in orders {
        // The digest covers what the worker is told, not what the journal knows.
        text.push_str(&serde_json::to_string(&row.order).unwrap_or_default());
    }
    xxh3_64(text.as_bytes())
}
