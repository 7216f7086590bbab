//! What a replay measures.

use hemlockramp::journal::state::FoldState;
use hemlockramp::tables::cell::{CellShape, LevelCounts};

/// Figures of one replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayMeasures {
    /// Jobs that finished.
    pub finished: usize,
    /// Jobs that did not.
    pub unfinished: usize,
    /// Mean of submission to finish, in s.
    pub mean_s: f64,
    /// 95th percentile of submission to finish, in s.
    pub p95_s: f64,
    /// Finished jobs after their deadline.
    pub late: usize,
    /// 95th percentile of urgent jobs' submission to start, in s.
    pub urgent_p95_s: f64,
    /// Longest of urgent jobs' submission to start, in s.
    pub urgent_max_s: f64,
    /// Longest from a claim's placement to its start, evictions included, in s.
    pub reclaim_max_s: f64,
    /// Times that a round left a job waiting although its team's guarantee had room.
    pub unserved_claims: usize,
    /// Time-averaged share of free accelerators that the largest waiting or guaranteed
    /// shape could not use.
    pub fragmentation: f64,
    /// Evictions.
    pub evictions: u64,
    /// Work lost to evictions, in accelerator-hours.
    pub lost_hours: f64,
    /// Waiting jobs for which cells were searched.
    pub searched: usize,
    /// Rounds of planning.
    pub rounds: usize,
    /// Records appended.
    pub records: u64,
}

/// Accumulates fragmentation over time.
#[derive(Clone, Debug, Default)]
pub struct FragmentationMeter {
    weighted_sum: f64,
    total_ms: f64,
}

impl FragmentationMeter {
    /// Adds a stretch of time in which the state stood.
    pub fn add(&mut self, state: &FoldState, lasted_ms: u64) {
        let Some(share) = unusable_share(state) else {
            return;
        };
        self.weighted_sum += share * lasted_ms as f64;
        self.total_ms += lasted_ms as f64;
    }

    /// Returns the average.
    pub fn average(&self) -> f64 {
        match self.total_ms > 0.0 {
            true => self.weighted_sum / self.total_ms,
            false => 0.0,
        }
    }
}

/// Returns the share of free accelerators that the largest shape wanted cannot use; none
/// when nothing is free.
fn unusable_share(state: &FoldState) -> Option<f64> {
    let mut free = LevelCounts::default();
    for row in &state.racks.rows {
        free.add(&LevelCounts::of_mask(row.usable & !row.used));
    }
    let all: i64 = free
        .0
        .iter()
        .zip(0..)
        .map(|(count, level)| count << level)
        .sum();
    let level = largest_wanted(state)?.level();
    let cells = free.0.iter().zip(0..).skip(level);
    let usable: i64 = cells.map(|(count, at)| count << at).sum();
    (all > 0).then(|| (all - usable) as f64 / all as f64)
}

fn largest_wanted(state: &FoldState) -> Option<CellShape> {
    let waiting = state.jobs.waiting().map(|job| job.spec.shape).max();
    let teams = state.teams.rows.iter();
    let held = teams
        .flat_map(|row| &row.spec.guarantees)
        .map(|held| held.shape);
    waiting.max(held.max())
}

/// How one job went.
#[derive(Clone, Debug, Default)]
pub struct JobTimes {
    /// Submission to finish, in ms; none if it did not finish.
    pub took_ms: Option<u64>,
    /// Limit of that time, in ms.
    pub deadline_ms: Option<u64>,
}

/// Fills in completion times and missed deadlines.
pub fn measure_jobs(jobs: &[JobTimes], measures: &mut ReplayMeasures) {
    let mut times = Vec::new();
    for job in jobs {
        let Some(took_ms) = job.took_ms else {
            measures.unfinished += 1;
            continue;
        };
        measures.late += usize::from(job.deadline_ms.is_some_and(|limit| took_ms > limit));
        times.push(took_ms as f64 / 1_000.0);
    }
    times.sort_by(f64::total_cmp);
    measures.finished = times.len();
    measures.mean_s = times.iter().sum::<f64>() / times.len().max(1) as f64;
    measures.p95_s = percentile(&times, 95);
}

/// Returns a percentile of sorted values; 0 of none.
pub fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    rank.checked_sub(1).map_or(0.0, |index| sorted[index])
}
