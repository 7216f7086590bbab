//! Measurement of the owner's loop: how long its turns take, how long it is away from them, and how
//! long the store's confirmations of its appends stay unhandled.
//!
//! The owner runs on one thread beside all that it waits for, so whatever fills the thread delays
//! heartbeats and renewals as well.

use std::cell::Cell;

use crate::work::model::stream::StreamName;
use crate::work::owner::work_counts::{WorkCounts, WorkKind};

/// The parent module's path; operators filter log lines by it.
const LOG_TARGET: &str = "hemlockramp::work::owner_loop";
/// Interval between two summaries in the log, in ms.
const SUMMARY_INTERVAL_MS: u64 = 1_000;

/// Measures since the last summary, in ms.
#[derive(Clone, Copy, Debug, Default)]
struct TurnPeaks {
    turns: u64,
    longest_turn_ms: u64,
    longest_gap_ms: u64,
    longest_jobs_append_ms: u64,
    longest_runs_append_ms: u64,
}

/// Measures the turns of one term's loop.
#[derive(Debug)]
pub(super) struct TurnMeter {
    term: u64,
    began_ms: u64,
    peaks: Cell<TurnPeaks>,
    /// End of the last turn, steady ms.
    turned_ms: Cell<u64>,
    /// Time of the last summary, steady ms.
    summary_ms: Cell<u64>,
    /// Work up to the last summary.
    summarized: Cell<[u64; WorkKind::ALL.len()]>,
}

impl TurnMeter {
    pub(super) fn new(term: u64, now_ms: u64) -> Self {
        Self {
            term,
            began_ms: now_ms,
            peaks: Cell::default(),
            turned_ms: Cell::new(now_ms),
            summary_ms: Cell::new(now_ms),
            summarized: Cell::default(),
        }
    }

    /// Records a turn.
    pub(super) fn record_turn(&self, began_ms: u64, ended_ms: u64) {
        let turn_ms = ended_ms.saturating_sub(began_ms);
        let gap_ms = began_ms.saturating_sub(self.turned_ms.replace(ended_ms));
        metrics::histogram!("hemlockramp_owner_turn_seconds").record(turn_ms as f64 / 1_000.0);
        metrics::histogram!("hemlockramp_owner_gap_seconds").record(gap_ms as f64 / 1_000.0);
        let mut peaks = self.peaks.get();
        peaks.turns += 1;
        peaks.longest_turn_ms = peaks.longest_turn_ms.max(turn_ms);
        peaks.longest_gap_ms = peaks.longest_gap_ms.max(gap_ms);
        self.peaks.set(peaks);
    }

    /// Records how long it took until the confirmation of an append was handled.
    pub(super) fn record_append(&self, stream: StreamName, took_ms: u64) {
        let label = stream.label();
        metrics::histogram!("hemlockramp_owner_append_seconds", "stream" => label)
            .record(took_ms as f64 / 1_000.0);
        let mut peaks = self.peaks.get();
        let longest = match stream {
            StreamName::Jobs => &mut peaks.longest_jobs_append_ms,
            _ => &mut peaks.longest_runs_append_ms,
        };
        *longest = took_ms.max(*longest);
        self.peaks.set(peaks);
    }

    /// Logs what was done since the last summary and publishes the counts of work, if that is due.
    pub(super) fn summarize(&self, now_ms: u64, counts: &WorkCounts, unreconciled: usize) {
        if now_ms < self.summary_ms.get() + SUMMARY_INTERVAL_MS {
            return;
        }
        let interval_ms = now_ms - self.summary_ms.replace(now_ms);
        let totals = WorkKind::ALL.map(|kind| counts.get(kind));
        let before = self.summarized.replace(totals);
        let work = |kind: WorkKind| totals[kind as usize] - before[kind as usize];
        for kind in WorkKind::ALL {
            metrics::counter!("hemlockramp_owner_work_total", "kind" => kind.label())
                .increment(work(kind));
        }
        let peaks = self.peaks.take();
        log::info!(
            target: LOG_TARGET,
            term = self.term, age_ms = now_ms.saturating_sub(self.began_ms), interval_ms,
            turns = peaks.turns, turn_ms = peaks.longest_turn_ms, gap_ms = peaks.longest_gap_ms,
            jobs_append_ms = peaks.longest_jobs_append_ms,
            runs_append_ms = peaks.longest_runs_append_ms, unreconciled,
            renewals = work(WorkKind::Renewal), ends = work(WorkKind::End),
            placements = work(WorkKind::Placement), blame_steps = work(WorkKind::BlameStep),
            search_steps = work(WorkKind::SearchStep), scan_steps = work(WorkKind::ScanStep);
            "owner: work of the last second."
        );
    }
}
