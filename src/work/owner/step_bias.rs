//! Bias of a caller's estimate of a step, as the owner tracks it.

use crate::work::placing::speed::bias::LogEstimate;

/// Bias of one step.
#[derive(Clone, Debug, Default)]
pub struct StepBias {
    /// By the runs that have ended; `None` before the first.
    pub settled: Option<LogEstimate>,
    /// By those in progress as well, as of `current_ms`.
    pub current: Option<LogEstimate>,
    /// When `current` was estimated, steady ms.
    pub current_ms: u64,
}
