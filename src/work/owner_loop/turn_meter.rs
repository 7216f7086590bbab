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

/// A turn of the loop.
#[derive(Clone, Copy, Debug)]
pub(super) struct TurnRecord {
    /// Begin, steady ms.
    pub(super) began_ms: u64,
    /// When the last answer was handled, steady ms.
    pub(super) answered_ms: u64,
    /// End, steady ms.
    pub(super) ended_ms: u64,
    /// Age of the oldest answer at the begin, in ms.
    pub(super) oldest_answer_ms: u64,
    /// Answers that still wait.
    pub(super) waiting: usize,
}

/// Measures since the last summary, in ms.
#[derive(Clone, Copy, Debug, Default)]
struct TurnPeaks {
    turns: u64,
    longest_turn_ms: u64,
    longest_tick_ms: u64,
    longest_gap_ms: u64,
    oldest_answer_ms: u64,
    most_waiting: usize,
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
    pub(super) fn record_turn(&self, turn: &TurnRecord) {
        let turn_ms = turn.ended_ms.saturating_sub(turn.began_ms);
        let tick_ms = turn.ended_ms.saturating_sub(turn.answered_ms);
        let turned_ms = self.turned_ms.replace(turn.ended_ms);
        let gap_ms = turn.began_ms.saturating_sub(turned_ms);
        let seconds = |span_ms: u64| span_ms as f64 / 1_000.0;
        metrics::histogram!("hemlockramp_owner_turn_seconds").record(seconds(turn_ms));
        metrics::histogram!("hemlockramp_owner_gap_seconds").record(seconds(gap_ms));
        metrics::gauge!("hemlockramp_owner_oldest_answer_seconds")
            .set(seconds(turn.oldest_answer_ms));
        metrics::gauge!("hemlockramp_owner_waiting_answers").set(turn.waiting as f64);
        let mut peaks = self.peaks.get();
        peaks.turns += 1;
        peaks.longest_turn_ms = peaks.longest_turn_ms.max(turn_ms);
        peaks.longest_tick_ms = peaks.longest_tick_ms.max(tick_ms);
        peaks.longest_gap_ms = peaks.longest_gap_ms.max(gap_ms);
        peaks.oldest_answer_ms = peaks.oldest_answer_ms.max(turn.oldest_answer_ms);
        peaks.most_waiting = peaks.most_waiting.max(turn.waiting);
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
            turns = peaks.turns, turn_ms = peaks.longest_turn_ms, tick_ms = peaks.longest_tick_ms,
            gap_ms = peaks.longest_gap_ms, oldest_answer_ms = peaks.oldest_answer_ms,
            waiting_answers = peaks.most_waiting,
            jobs_append_ms = peaks.longest_jobs_append_ms,
            runs_append_ms = peaks.longest_runs_append_ms, unreconciled,
            renewals = work(WorkKind::Renewal), ends = work(WorkKind::End),
            placements = work(WorkKind::Placement), blame_steps = work(WorkKind::BlameStep),
            search_steps = work(WorkKind::SearchStep), scan_steps = work(WorkKind::ScanStep);
            "owner: work of the last second."
        );
    }
}
