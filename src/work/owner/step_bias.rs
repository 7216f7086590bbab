//! Bias of a caller's estimate of a step, as the owner tracks it.

use crate::work::placing::speed::bias::LogEstimate;
use crate::work::placing::speed::table::GangSpeed;

/// Bias of one step.
#[derive(Clone, Debug, Default)]
pub struct StepBias {
    /// By the runs that have ended; `None` before the first.
    pub settled: Option<LogEstimate>,
    /// By those in progress as well, as of `current_ms`.
    pub current: Option<LogEstimate>,
    /// When `current` was estimated, steady ms.
    pub current_ms: u64,
    /// What was known of the members of its newest gang; `None` for other steps.
    pub gang: Option<GangReading>,
}

/// What was known of the members of a gang at a time.
#[derive(Clone, Debug)]
pub struct GangReading {
    /// Index of the gang's unit in the job.
    pub unit: usize,
    /// Number of the gang's run.
    pub run: u32,
    /// When it was read, steady ms.
    pub at_ms: u64,
    /// What was known.
    pub speed: GangSpeed,
}
