//! Locality wait: how long a unit waits for capacity near its data or in one rack before it takes
//! any.
//!
//! While the pool is full, work away from its data or spread over racks takes several times as
//! long. An urgent gang that spreads just before the capacity being freed for it is available is
//! certainly late, and holds more of the pool for longer.

/// Wait while about half of the pool or more is idle, in ms. It is short, since callers prefer slow
/// work to none.
const IDLE_POOL_WAIT_MS: u64 = 1_500;
/// Longest wait while the pool is busy, in ms.
const BUSY_POOL_WAIT_MAX_MS: u64 = 15_000;
/// Time to record, order and start a gang once its capacity is free, in ms.
const GANG_START_MS: u64 = 700;
/// Shortest wait of a unit inside its team's guarantee, in ms.
const GUARANTEED_WAIT_MIN_MS: u64 = 400;

/// Inputs of the locality wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalityWait {
    /// Whether the unit is inside its team's guarantee.
    pub guaranteed: bool,
    /// Whether the pool is busy.
    pub busy: bool,
    /// The caller's estimate of a task's run time, in ms.
    pub estimate_ms: u64,
    /// How many times longer the work takes away from its data or spread over racks.
    pub far_factor: u64,
    /// Time within which a unit inside a guarantee has to start, in ms.
    pub reclaim_ms: u64,
    /// Longest time that stopping a run takes, in ms.
    pub stop_ms: u64,
}

impl LocalityWait {
    /// Returns the longest wait, in ms.
    pub fn limit_ms(&self) -> u64 {
        if self.guaranteed {
            // Leaves time to preempt work elsewhere as well.
            let limit_ms = self.reclaim_ms.saturating_sub(self.stop_ms + GANG_START_MS);
            return limit_ms.max(GUARANTEED_WAIT_MIN_MS);
        }
        match self.busy {
            // Slow work also holds its capacity for longer.
            true => (self.estimate_ms * (self.far_factor - 1))
                .clamp(IDLE_POOL_WAIT_MS, BUSY_POOL_WAIT_MAX_MS),
            false => IDLE_POOL_WAIT_MS,
        }
    }
}
