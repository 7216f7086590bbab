//! Probabilities of an upstream's slowness.

use crate::work::placing::slowdown::UpstreamSlowdown;
use crate::work::placing::speed::{CELL_WIDTH, CELLS, cell_value};

/// Share of upstreams that are expected to be alike before anything is known.
const ALIKE_SHARE: f64 = 0.6;
/// Deviation among upstreams that are alike.
const ALIKE_DEVIATION: f64 = 0.06;
/// Deviation among upstreams that are not.
const UNLIKE_DEVIATION: f64 = 0.5;

/// Share of upstreams that may have any slowness, whatever was learned of the pool.
const ANY_SHARE: f64 = 0.03;

/// Probability of each cell; they sum up to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct SlownessDistribution(pub(super) [f32; CELLS]);

impl Default for SlownessDistribution {
    fn default() -> Self {
        let bell = |cell: usize, deviation: f64| {
            let distance = cell_value(cell) / deviation;
            (-0.5 * distance * distance).exp() / deviation
        };
        let assumed = Self::normalized(|cell| {
            ALIKE_SHARE * bell(cell, ALIKE_DEVIATION)
                + (1.0 - ALIKE_SHARE) * bell(cell, UNLIKE_DEVIATION)
        });
        assumed.with_any()
    }
}

impl SlownessDistribution {
    /// Creates a distribution in proportion to a weight for each cell.
    pub(super) fn normalized(weight: impl Fn(usize) -> f64) -> Self {
        let weights: [f64; CELLS] = std::array::from_fn(weight);
        let sum: f64 = weights.iter().sum();
        Self(weights.map(|weight| (weight / sum) as f32))
    }

    /// Returns the distribution with a share for upstreams that are unlike all others.
    #[must_use]
    pub(super) fn with_any(&self) -> Self {
        let any = ANY_SHARE / CELLS as f64;
        Self::normalized(|cell| f64::from(self.0[cell]) * (1.0 - ANY_SHARE) + any)
    }

    /// Returns mean and deviation.
    pub fn slowdown(&self) -> UpstreamSlowdown {
        let moment = |power: i32| -> f64 {
            let cells = self.0.iter().enumerate();
            cells
                .map(|(cell, &share)| f64::from(share) * cell_value(cell).powi(power))
                .sum()
        };
        let mean = moment(1);
        let variance = (moment(2) - mean * mean).max(0.0) + CELL_WIDTH * CELL_WIDTH / 12.0;
        UpstreamSlowdown::new(mean, variance.sqrt())
    }

    /// Returns the logarithm of the probability of each cell or a lower one.
    pub(super) fn log_cumulative(&self) -> [f64; CELLS] {
        let mut sum = 0.0;
        self.0.map(|share| {
            sum += f64::from(share);
            sum.clamp(1e-9, 1.0).ln()
        })
    }

    /// Returns the distribution of the largest of several, given the sum of their logarithmic
    /// cumulative probabilities.
    pub(super) fn of_largest(log_cumulative: &[f64; CELLS]) -> Self {
        let mut before = 0.0;
        let shares = log_cumulative.map(|log_share| {
            let share = log_share.exp();
            let own = (share - before).max(0.0);
            before = share;
            own
        });
        Self::normalized(|cell| shares[cell] + 1e-12)
    }
}
