//! What one run shows of its upstream and its step together.

use crate::work::placing::slowdown::TaskProgress;

/// Progress below which a run shows nothing, in percent.
const PROGRESS_MIN_PERCENT: u32 = 8;
/// Difference between tasks of one step, as a deviation of the logarithm.
const TASK_DEVIATION: f64 = 0.15;
/// Error of the time at which a progress was read, in ms.
const PROGRESS_ERROR_MS: f64 = 30.0;
/// Error of the time of an end: it is listed when the next answer arrives, in ms.
const END_ERROR_MS: f64 = 120.0;
/// Error of a progress in whole percents.
const PERCENT_ERROR: f64 = 0.6;

/// The logarithm of a run's time over its estimated time, refined while the run lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSample {
    /// Logarithm of the ratio.
    pub log_ratio: f64,
    /// Variance of the ratio's logarithm, apart from that of step and upstream.
    pub variance: f64,
}

impl RunSample {
    /// Returns what a run's progress shows; `None` if it has hardly begun. `expected_ms` is the
    /// estimated run time, lengthened for a run away from its data or spread over racks.
    pub fn of_progress(progress: TaskProgress, expected_ms: u64) -> Option<Self> {
        if progress.percent < PROGRESS_MIN_PERCENT {
            return None;
        }
        let error_ms = PROGRESS_ERROR_MS;
        let percent_error = PERCENT_ERROR / f64::from(progress.percent);
        Self::new(progress, expected_ms, error_ms, percent_error)
    }

    /// Returns what the end of a successful run shows.
    pub fn of_end(elapsed_ms: u64, expected_ms: u64) -> Option<Self> {
        let progress = TaskProgress {
            percent: 100,
            elapsed_ms,
        };
        Self::new(progress, expected_ms, END_ERROR_MS, 0.0)
    }

    /// Returns the more precise of two samples of the same run.
    pub fn better(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        let samples = one.into_iter().chain(other);
        samples.min_by(|left, right| left.variance.total_cmp(&right.variance))
    }

    fn new(
        progress: TaskProgress,
        expected_ms: u64,
        error_ms: f64,
        percent_error: f64,
    ) -> Option<Self> {
        if progress.elapsed_ms == 0 || expected_ms == 0 {
            return None;
        }
        let elapsed_ms = progress.elapsed_ms as f64;
        let whole_ms = elapsed_ms * 100.0 / f64::from(progress.percent);
        let time_error = error_ms / elapsed_ms;
        Some(Self {
            log_ratio: (whole_ms / expected_ms as f64).ln(),
            variance: TASK_DEVIATION.powi(2) + time_error.powi(2) + percent_error.powi(2),
        })
    }
}
