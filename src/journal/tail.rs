//! Reads the journal from the log and folds it, on every host alike.

use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::journal::client::{LogStore, ReadRange};
use crate::journal::fold::{FoldResult, JournalEntry};
use crate::journal::snapshot::read_newest_snapshot;
use crate::journal::state::FoldState;
use crate::tables::name::ObjectName;

/// Most records read at once.
const READ_RECORDS_MAX: usize = 2_000;
/// Long poll for new records, in ms.
const READ_WAIT_MS: u64 = 1_000;
/// Pause after a failed read, in ms.
const READ_RETRY_MS: u64 = 200;

/// How far a host's reading has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailStatus {
    /// Reading the snapshot and the records after it.
    Starting,
    /// Has folded all that stood in the log when last asked.
    Current,
    /// Records that it needs are no longer kept and no snapshot covers them.
    Gap(String),
}

/// The folded state with its freshness. Cloning shares it.
#[derive(Clone)]
pub struct JournalView {
    inner: Arc<ViewInner>,
}

struct ViewInner {
    state: RwLock<FoldState>,
    status: watch::Sender<TailStatus>,
    version: watch::Sender<u64>,
    /// When the log last answered a read.
    last_read_at: watch::Sender<Option<Instant>>,
    /// When the newest record was folded.
    last_applied_at: watch::Sender<Instant>,
}

impl Default for JournalView {
    fn default() -> Self {
        Self {
            inner: Arc::new(ViewInner {
                state: RwLock::new(FoldState::default()),
                status: watch::Sender::new(TailStatus::Starting),
                version: watch::Sender::new(0),
                last_read_at: watch::Sender::new(None),
                last_applied_at: watch::Sender::new(Instant::now()),
            }),
        }
    }
}

impl JournalView {
    /// Locks the state for reading; hold it briefly.
    pub fn state(&self) -> RwLockReadGuard<'_, FoldState> {
        let locked = self.inner.state.read();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how far reading has come.
    pub fn status(&self) -> TailStatus {
        self.inner.status.borrow().clone()
    }

    /// Returns a receiver that is told of each change of the state.
    pub fn watch_version(&self) -> watch::Receiver<u64> {
        self.inner.version.subscribe()
    }

    /// Returns how long the log has not answered a read; none before the first answer.
    pub fn time_since_read(&self) -> Option<Duration> {
        let last_read_at = *self.inner.last_read_at.borrow();
        last_read_at.map(|at| at.elapsed())
    }

    /// Returns the log's time now, in ms, as far as is known: that of the newest record
    /// and what has passed since it was folded.
    pub fn log_now_ms(&self) -> u64 {
        let since = self.inner.last_applied_at.borrow().elapsed();
        self.state().now_ms + since.as_millis() as u64
    }

    fn replace(&self, state: FoldState) {
        let locked = self.inner.state.write();
        *locked.unwrap_or_else(PoisonError::into_inner) = state;
        self.inner.version.send_modify(|version| *version += 1);
    }

    fn apply_entries(&self, records: &[JournalEntry], mut on_result: impl FnMut(&FoldResult)) {
        let locked = self.inner.state.write();
        let mut state = locked.unwrap_or_else(PoisonError::into_inner);
        self.inner.last_applied_at.send_replace(Instant::now());
        let results: Vec<FoldResult> = records.iter().map(|record| state.apply(record)).collect();
        drop(state);
        self.inner.version.send_modify(|version| *version += 1);
        results.iter().for_each(&mut on_result);
    }

    fn set_status(&self, status: TailStatus) {
        self.inner.status.send_replace(status);
    }
}

/// Streams of one region.
#[derive(Clone, Debug)]
pub struct JournalStreams {
    /// Records.
    pub journal: ObjectName,
    /// Snapshot parts.
    pub snapshots: ObjectName,
}

/// Reads the log for ever, folding into `view` and telling `on_result` of each record.
pub async fn follow<L: LogStore>(
    log: L,
    streams: JournalStreams,
    view: JournalView,
    on_result: impl Fn(&FoldResult),
) {
    while !load_snapshot(&log, &streams, &view).await {
        tokio::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
    }
    loop {
        read_batch(&log, &streams, &view, &on_result).await;
    }
}

/// Loads the newest snapshot; returns whether reading may go on from there.
async fn load_snapshot<L: LogStore>(log: &L, streams: &JournalStreams, view: &JournalView) -> bool {
    match read_newest_snapshot(log, &streams.snapshots).await {
        Ok(Some(state)) => {
            log::info!(
                "journal: starts from a snapshot before offset {}.",
                state.next_offset
            );
            view.replace(state);
            true
        }
        Ok(None) => true,
        Err(failure) => {
            log::warn!("journal: snapshots cannot be read: {failure}.");
            false
        }
    }
}

async fn read_batch<L: LogStore>(
    log: &L,
    streams: &JournalStreams,
    view: &JournalView,
    on_result: &impl Fn(&FoldResult),
) {
    let from = view.state().next_offset;
    let current = view.status() == TailStatus::Current;
    let range = ReadRange {
        from,
        max: READ_RECORDS_MAX,
        wait_ms: if current { READ_WAIT_MS } else { 0 },
    };
    let response = match log.read(&streams.journal, range).await {
        Ok(response) => response,
        Err(failure) => {
            log::debug!("journal: the log cannot be read: {failure}.");
            tokio::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
            return;
        }
    };
    view.inner.last_read_at.send_replace(Some(Instant::now()));
    if response.first_retained > from {
        return recover_from_gap(log, streams, view, response.first_retained).await;
    }
    if response.next < from {
        view.set_status(TailStatus::Gap(format!(
            "the log ends at {}, before {from}",
            response.next
        )));
        tokio::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
        return;
    }
    let records: Vec<JournalEntry> = response.records.iter().map(JournalEntry::from).collect();
    let reached = records.last().map_or(from, |record| record.offset + 1);
    if !records.is_empty() {
        view.apply_entries(&records, on_result);
    }
    if reached >= response.next {
        view.set_status(TailStatus::Current);
    }
}

/// Records were lost to retention: only a newer snapshot helps.
async fn recover_from_gap<L: LogStore>(
    log: &L,
    streams: &JournalStreams,
    view: &JournalView,
    first_retained: u64,
) {
    let found = read_newest_snapshot(log, &streams.snapshots).await;
    if let Ok(Some(state)) = found
        && state.next_offset >= first_retained
    {
        log::info!(
            "journal: crosses a gap to offset {} by snapshot.",
            state.next_offset
        );
        return view.replace(state);
    }
    let reason = format!("records before {first_retained} are gone and no snapshot covers them");
    if view.status() != TailStatus::Gap(reason.clone()) {
        log::error!("journal: {reason}; nothing is served.");
        view.set_status(TailStatus::Gap(reason));
    }
    tokio::time::sleep(Duration::from_millis(READ_RETRY_MS)).await;
}
