//! Measures of a simulated workload: completion times, fragmentation and lost work.

use hemlockramp::journal::state::FoldState;
use hemlockramp::tables::cell::{CellShape, LevelCounts};

/// Measures of one simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayMeasures {
    /// Number of jobs that finished.
    pub finished: usize,
    /// Number of jobs that did not finish.
    pub unfinished: usize,
    /// Mean time from submission to finish, in s.
    pub mean_s: f64,
    /// 95th percentile of the time from submission to finish, in s.
    pub p95_s: f64,
    /// Number of jobs that finished after their deadline.
    pub late: usize,
    /// 95th percentile of urgent jobs' time from submission to start, in s.
    pub urgent_p95_s: f64,
    /// Longest time of an urgent job from submission to start, in s.
    pub urgent_max_s: f64,
    /// Longest time from the placement of a guaranteed attempt to its start, evictions
    /// included, in s.
    pub reclaim_max_s: f64,
    /// Number of times a round left a job waiting although its team's guarantee had capacity.
    pub unserved_claims: usize,
    /// Time-averaged share of free accelerators that the largest waiting or guaranteed
    /// shape could not use.
    pub fragmentation: f64,
    /// Number of evictions.
    pub evictions: u64,
    /// Work lost to evictions, in accelerator-hours.
    pub lost_hours: f64,
    /// Number of times that cells were searched for a waiting job.
    pub searched: usize,
    /// Number of planning rounds.
    pub rounds: usize,
    /// Number of journal records appended.
    pub records: u64,
}

/// Time-weighted average of fragmentation.
#[derive(Clone, Debug, Default)]
pub struct FragmentationMeter {
    weighted_sum: f64,
    total_ms: f64,
}

impl FragmentationMeter {
    /// Adds a period of `lasted_ms` during which the state did not change.
    pub fn add(&mut self, state: &FoldState, lasted_ms: u64) {
        let Some(share) = unusable_share(state) else {
            return;
        };
        self.weighted_sum += share * lasted_ms as f64;
        self.total_ms += lasted_ms as f64;
    }

    /// Returns the average; 0 if no time was added.
    pub fn average(&self) -> f64 {
        match self.total_ms > 0.0 {
            true => self.weighted_sum / self.total_ms,
            false => 0.0,
        }
    }
}

/// Returns the share of free accelerators that the largest waiting or guaranteed shape cannot
/// use, or `None` if no accelerator is free or there is no such shape.
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

/// Completion time and deadline of one job.
#[derive(Clone, Debug, Default)]
pub struct JobTimes {
    /// Time from submission to finish, in ms; `None` if the job did not finish.
    pub took_ms: Option<u64>,
    /// Deadline, in ms after submission.
    pub deadline_ms: Option<u64>,
}

/// Sets the counts of finished, unfinished and late jobs, and the completion times.
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

/// Returns the nearest-rank percentile of values in ascending order; 0 for an empty slice.
pub fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    rank.checked_sub(1).map_or(0.0, |index| sorted[index])
}
