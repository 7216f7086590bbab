//! Clocks of hosts and upstreams, and bounds on their drift.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Assumed maximum by which an upstream's clock runs slow, in thousandths.
const DRIFT_PER_MILLE: u64 = 20;

/// A reading of a host's two clocks, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostTime {
    /// Time since the host's boot, including time that it was suspended.
    pub steady_ms: u64,
    /// Unix time, since 1970; may jump.
    pub wall_ms: u64,
}

/// Returns the time since boot, in ms, including time that the host was suspended.
pub fn steady_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Reads the steady and the wall clock.
pub fn host_time() -> HostTime {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    HostTime {
        steady_ms: steady_ms(),
        wall_ms: wall.map_or(0, |since| since.as_millis() as u64),
    }
}

/// A reading of an upstream's clock, with its arrival time at this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// The upstream's clock, in ms.
    pub shown_ms: u64,
    /// When the reading arrived, steady ms of this host.
    pub arrived_ms: u64,
}

impl ClockReading {
    /// Returns a lower bound of the upstream's clock at `now_ms`, assuming the maximum drift.
    pub fn lower_bound_ms(&self, now_ms: u64) -> u64 {
        let passed = now_ms.saturating_sub(self.arrived_ms);
        self.shown_ms + passed - passed * DRIFT_PER_MILLE / 1_000
    }

    /// Returns the reading that gives the higher lower bound.
    pub fn later(self, other: Self) -> Self {
        let now_ms = self.arrived_ms.max(other.arrived_ms);
        match self.lower_bound_ms(now_ms) >= other.lower_bound_ms(now_ms) {
            true => self,
            false => other,
        }
    }
}

/// Returns how long a host has to wait until at least `span_ms` has passed on an upstream's
/// clock, assuming the maximum drift.
pub fn drift_safe_wait_ms(span_ms: u64) -> u64 {
    span_ms * 1_000 / (1_000 - DRIFT_PER_MILLE) + 1
}
