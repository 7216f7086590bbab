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
pub struct WorkerSession {
    /// Its place.
    pub slot: WorkerSlot,
    /// Its name.
    pub name: ObjectName,
    /// When it last answered, or when this host began to keep it.
    pub last_response_at: Instant,
    /// When it was last sent anything.
    pub last_sent_at: Option<Instant>,
    /// Whether an answer to orders is awaited.
    pub orders_in_flight: bool,
    /// Whether an answer to a renewal is awaited; the worker may hold it back.
    pub renewal_in_flight: bool,
    /// Version of the worker's states that was taken up; 0 for none.
    pub seen_version: u64,
    /// Whether the last message had no answer.
    pub last_sync_failed: bool,
    /// Digest of the orders it should have.
    pub digest: u64,
    /// Digest of the orders it confirmed.
    pub confirmed_digest: Option<u64>,
    /// When its lost tasks were first seen here.
    pub loss: Option<LossObservation>,
    /// Reports that the log has not settled.
    pub pending_reports: Option<oneshot::Receiver<AppendOutcome>>,
}

/// When tasks were seen lost, and by whom.
#[derive(Clone, Copy)]
pub struct LossObservation {
    /// When they were first seen lost here.
    pub observed_at: Instant,
    /// Hosts that have folded up to here renew the tasks no more.
    pub offset: u64,
    /// When all listed hosts had folded that far.
    pub folded_by_all_at: Option<Instant>,
}

impl WorkerSession {
    /// Starts to keep a worker; its silence counts from now.
    pub fn new(slot: WorkerSlot, name: ObjectName) -> Self {
        Self {
            slot,
            name,
            last_response_at: Instant::now(),
            last_sent_at: None,
            orders_in_flight: false,
            renewal_in_flight: false,
            seen_version: 0,
            last_sync_failed: false,
            digest: 0,
            confirmed_digest: None,
            loss: None,
            pending_reports: None,
        }
    }
}

/// Returns whether a worker should be sent something now.
pub fn is_due(session: &WorkerSession, timing: &TimingSettings, changed: bool) -> bool {
    let since_sent = session
        .last_sent_at
        .map_or(Duration::MAX, |at| at.elapsed());
    let min_interval = match (changed, session.last_sync_failed) {
        (true, false) => Duration::ZERO,
        // A worker that does not answer is asked again at the pace of its time-out.
        (true, true) => timing.worker_timeout.min(timing.renew),
        // The answer to a renewal is held back, so this only bounds a busy worker.
        (false, _) => match session.seen_version {
            0 => timing.renew,
            _ => timing.tick,
        },
    };
    since_sent >= min_interval
}

/// Returns a settled append's outcome and forgets it; none while it is open.
pub fn poll_outcome(
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
