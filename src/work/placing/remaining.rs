//! Time that a run still needs, from its progress and the speed of its upstream.
//!
//! Callers' estimates are wrong by a factor of up to two, and a pool may be uneven by more. A run
//! that is nearly done must not be stopped, nor one waited for that has hardly begun.

use crate::work::placing::slowdown::{TaskProgress, UpstreamSlowdown};

/// Share of a run's progress, in percent, from which its own rate outweighs the estimate.
const RATE_TRUST_PERCENT: f64 = 15.0;
/// Share of the expected run time that a run without progress needs at least, in thousandths.
const OVERDUE_REST_MILLI: u64 = 125;

/// Returns the time that a run still needs, in ms.
///
/// `estimate_ms` is the caller's estimate of the run time. Without a usable progress, the run time
/// expected on the upstream is all that is known; with progress, the run's own rate counts the more
/// the further it is.
pub fn remaining_ms(
    progress: Option<TaskProgress>,
    estimate_ms: u64,
    slowdown: UpstreamSlowdown,
) -> u64 {
    let expected_ms = slowdown.expected(estimate_ms);
    let Some(progress) = progress else {
        return expected_ms;
    };
    let left_ms = expected_ms.saturating_sub(progress.elapsed_ms);
    let by_estimate_ms = left_ms.max(expected_ms * OVERDUE_REST_MILLI / 1_000);
    let percent = progress.percent.min(100);
    if percent == 0 || progress.elapsed_ms == 0 {
        return by_estimate_ms;
    }
    let left_percent = u64::from(100 - percent);
    let by_rate_ms = progress.elapsed_ms * left_percent / u64::from(percent);
    let done = f64::from(percent);
    let weight = done / (done + RATE_TRUST_PERCENT);
    (weight * by_rate_ms as f64 + (1.0 - weight) * by_estimate_ms as f64) as u64
}
