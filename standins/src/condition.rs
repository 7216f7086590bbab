//! Waiting for a condition with a time limit.

use std::time::{Duration, Instant};

use eyre::{Report, ensure};

/// Longest wait for a condition to hold, in ms.
const CONDITION_TIMEOUT_MS: u64 = 30_000;
/// Interval between checks of a condition, in ms.
const POLL_MS: u64 = 25;

/// Waits until a condition holds.
///
/// # Errors
///
/// Returns an error if it does not hold within 30 s (`CONDITION_TIMEOUT_MS`).
pub async fn wait_for<F, Fut>(what: &str, condition: F) -> Result<(), Report>
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = Instant::now() + Duration::from_millis(CONDITION_TIMEOUT_MS);
    while !condition().await {
        ensure!(
            Instant::now() < deadline,
            "not in {CONDITION_TIMEOUT_MS} ms: {what}"
        );
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    Ok(())
}
