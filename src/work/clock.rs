//! Time as hosts and upstreams count it.

use serde::{Deserialize, Serialize};

/// Parts of a thousand by which an upstream's clock may be slow.
const DRIFT_PER_MILLE: u64 = 20;

/// Time read by a host, in ms. `steady` counts on while the host is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostTime {
    /// Since the host's boot.
    pub steady_ms: u64,
    /// Since 1970; may jump.
    pub wall_ms: u64,
}

/// A reading of an upstream's clock and when it reached this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// What the upstream's clock showed, in ms.
    pub shown_ms: u64,
    /// Steady time of this host when the reading arrived.
    pub arrived_ms: u64,
}

impl ClockReading {
    /// Returns a time that the upstream's clock has reached for certain.
    pub fn lower_bound_ms(&self, now_ms: u64) -> u64 {
        let passed = now_ms.saturating_sub(self.arrived_ms);
        self.shown_ms + passed - passed * DRIFT_PER_MILLE / 1_000
    }

    /// Returns the later of two readings, the one that promises more.
    pub fn later(self, other: Self) -> Self {
        let now_ms = self.arrived_ms.max(other.arrived_ms);
        match self.lower_bound_ms(now_ms) >= other.lower_bound_ms(now_ms) {
            true => self,
            false => other,
        }
    }
}

/// Returns how long a host waits until `span_ms` has surely passed on an upstream's clock.
pub fn drift_safe_wait_ms(span_ms: u64) -> u64 {
    span_ms * 1_000 / (1_000 - DRIFT_PER_MILLE) + 1
}
