//! Settings of the placement policy.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Weights and limits of placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Weight of short completion times; 0 to 100, default 50.
    pub completion_weight: u32,
    /// Weight of avoiding fragmentation; 0 to 100, default 50.
    pub fragmentation_weight: u32,
    /// Wait after which a job goes before all that are not urgent, in ms; default 14400000.
    pub starvation_ms: u64,
    /// Wait that halves a job's expected run time in the order of the queue, in ms;
    /// default 1800000.
    pub ageing_ms: u64,
    /// Wait after which a blocked gang gets a reservation, in ms; default 3600000.
    pub reservation_ms: u64,
    /// Time a reclaimed task has to checkpoint before it is stopped, in ms; default 2000.
    pub checkpoint_grace_ms: u64,
    /// Wait before a job that no healthy failure domain could hold is rejected, in ms;
    /// default 3000.
    pub reject_after_ms: u64,
    /// Most placements, evictions and rejections planned in one tick; default 64.
    pub placements_per_tick: usize,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            completion_weight: 50,
            fragmentation_weight: 50,
            starvation_ms: 14_400_000,
            ageing_ms: 1_800_000,
            reservation_ms: 3_600_000,
            checkpoint_grace_ms: 2_000,
            reject_after_ms: 3_000,
            placements_per_tick: 64,
        }
    }
}
