//! What is known at its placement of how fast a unit will run.

use crate::work::owner::placement_pool::PlacementPool;
use crate::work::placing::placement::UnitDemand;

/// Probability of being late from which a placement counts as too slow, in percent.
const TOO_SLOW_PERCENT: u64 = 50;

/// Speed of the slowest of a unit's upstreams, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlacedSpeed {
    /// Largest expected slowdown of a member, in percent.
    pub(super) slowdown_percent: u64,
    /// Largest probability that a member makes the unit late, in percent; 0 if that does not depend
    /// on its speed.
    pub(super) late_percent: u64,
}

impl PlacedSpeed {
    pub(super) fn new(chosen: &[usize], demand: &UnitDemand, pool: &PlacementPool) -> Self {
        let slowdowns = || chosen.iter().map(|&index| pool.candidates[index].slowdown);
        let late_percent = |limit| {
            let shares = slowdowns().map(|slowdown| slowdown.late_share(limit));
            (shares.fold(0.0, f64::max) * 100.0) as u64
        };
        Self {
            slowdown_percent: slowdowns()
                .map(|slowdown| slowdown.expected(100))
                .max()
                .unwrap_or(100),
            late_percent: demand.speed.limit.map_or(0, late_percent),
        }
    }

    /// Counts the placement of a unit of this priority.
    pub(super) fn record(self, priority: u32) {
        let slowdown = self.slowdown_percent as f64 / 100.0;
        metrics::histogram!("hemlockramp_placed_slowdown").record(slowdown);
        if priority == 0 && self.late_percent >= TOO_SLOW_PERCENT {
            metrics::counter!("hemlockramp_urgent_placed_slow_total").increment(1);
        }
    }
}
