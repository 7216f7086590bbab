//! How long a unit waits for room near its data or in one rack before it takes any.
//!
//! Answers this pattern: the pool is full, and work away from its data or spread over racks
//! takes several times as long. An urgent gang that spreads a moment before the room that is
//! being made for it is free is late for certain, and holds more of the pool for longer.

/// Wait while half of the pool is idle, in ms. It is short, since callers would rather have
/// slow work than none.
const IDLE_POOL_WAIT_MS: u64 = 1_500;
/// Longest wait while the pool is busy, in ms.
const BUSY_POOL_WAIT_MAX_MS: u64 = 15_000;
/// Time to record, order and start a gang once its room is free, in ms.
const GANG_START_MS: u64 = 700;
/// Shortest wait of a unit inside its team's guarantee, in ms.
const GUARANTEED_WAIT_MIN_MS: u64 = 400;

/// What the wait depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalityWait {
    /// Whether the unit is inside its team's guarantee.
    pub guaranteed: bool,
    /// Whether the pool is busy.
    pub busy: bool,
    /// The caller's estimate of a task's run time, in ms.
    pub estimate_ms: u64,
    /// How many times longer the work takes elsewhere.
    pub far_factor: u64,
    /// Time within which a unit inside a guarantee has to start, in ms.
    pub reclaim_ms: u64,
    /// Longest time that a stop takes, in ms.
    pub stop_ms: u64,
}

impl LocalityWait {
    /// Returns the longest wait, in ms.
    pub fn limit_ms(&self) -> u64 {
        if self.guaranteed {
            // Room elsewhere may have to be made as well.
            let limit_ms = self.reclaim_ms.saturating_sub(self.stop_ms + GANG_START_MS);
            return limit_ms.max(GUARANTEED_WAIT_MIN_MS);
        }
        match self.busy {
            // Slow work takes its room for longer as well.
            true => (self.estimate_ms * (self.far_factor - 1))
                .clamp(IDLE_POOL_WAIT_MS, BUSY_POOL_WAIT_MAX_MS),
            false => IDLE_POOL_WAIT_MS,
        }
    }
}
