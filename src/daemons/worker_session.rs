//! State that the worker controller holds for one worker, and when to sync with it.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::journal::writer::AppendOutcome;
use crate::settings::scheduler::TimingSettings;
use crate::systems::task_orders::OrderRow;
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;

/// A worker assigned to this host.
pub struct WorkerSession {
    /// Its slot in the rack tables.
    pub slot: WorkerSlot,
    pub name: ObjectName,
    /// When it last responded, or when it was assigned to this host.
    pub last_response_at: Instant,
    /// When the last sync request was sent.
    pub last_sent_at: Option<Instant>,
    /// Whether a sync request with orders is in flight.
    pub orders_in_flight: bool,
    /// Whether a lease renewal is in flight; the worker may hold its response back (long poll).
    pub renewal_in_flight: bool,
    /// Version of the worker's task states last processed; 0 for none.
    pub seen_version: u64,
    /// Whether the last sync request got no valid response.
    pub last_sync_failed: bool,
    /// Digest of the orders that the worker should have.
    pub digest: u64,
    /// Digest of the orders that the worker last confirmed.
    pub confirmed_digest: Option<u64>,
    /// When its lost tasks were first observed on this host.
    pub loss: Option<LossObservation>,
    /// Outcome of the appended task reports, until it is known.
    pub pending_reports: Option<oneshot::Receiver<AppendOutcome>>,
}

/// When this host observed a worker's tasks as lost, and when all hosts had folded that.
#[derive(Clone, Copy)]
pub struct LossObservation {
    /// When they were first observed as lost on this host.
    pub observed_at: Instant,
    /// Journal offset up to which a host must have folded to no longer renew the tasks' leases.
    pub offset: u64,
    /// When all listed entry hosts were known to have folded up to `offset`.
    pub folded_by_all_at: Option<Instant>,
}

impl WorkerSession {
    /// Creates the state of a newly assigned worker, whose silence is measured from now.
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

/// Returns whether a sync request should be sent now; `changed` tells whether the worker lacks
/// the newest orders.
pub fn is_due(session: &WorkerSession, timing: &TimingSettings, changed: bool) -> bool {
    let since_sent = session
        .last_sent_at
        .map_or(Duration::MAX, |at| at.elapsed());
    let min_interval = match (changed, session.last_sync_failed) {
        (true, false) => Duration::ZERO,
        // An unresponsive worker is retried at the interval of its time-out.
        (true, true) => timing.worker_timeout.min(timing.renew),
        // The response to a renewal is a long poll, so this only limits the rate at which a
        // worker with frequent state changes is polled.
        (false, _) => match session.seen_version {
            0 => timing.renew,
            _ => timing.tick,
        },
    };
    since_sent >= min_interval
}

/// Takes the outcome of a pending append; returns `None` while the append is not settled.
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

/// Returns a hash of the orders as they are sent to the worker.
pub fn digest_of(orders: &[OrderRow]) -> u64 {
    let mut text = String::new();
    for row in orders {
        // Only the order itself counts: the journal's task state is not sent to the worker.
        text.push_str(&serde_json::to_string(&row.order).unwrap_or_default());
    }
    xxh3_64(text.as_bytes())
}
