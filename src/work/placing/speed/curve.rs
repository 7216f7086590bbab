//! Evidence on an upstream's slowness, as a curve of log-likelihoods.

use crate::work::placing::speed::bias::LogEstimate;
use crate::work::placing::speed::distribution::SlownessDistribution;
use crate::work::placing::speed::sample::RunSample;
use crate::work::placing::speed::{CELLS, cell_value};

/// Steps of the stored evidence in a unit of log-likelihood.
const STORED_STEPS: f32 = 15.0 / SETTLED_MAX;
/// Cells for which one digit is stored.
const CELLS_PER_DIGIT: usize = 2;

/// Likelihood that a run shows nothing, because its task takes many times as long as its siblings
/// or its upstream was disturbed for seconds.
const OUTLIER_SHARE: f64 = 0.03;
/// Largest weight of the evidence of runs that have ended, as a difference of log-likelihoods. It
/// bounds how many newer runs it takes to learn that an upstream has changed.
const SETTLED_MAX: f32 = 8.0;
/// Contradiction between older and newer evidence at which the older counts for nothing, in the same
/// unit.
const CONTRADICTION_MAX: f32 = 8.0;

/// Log-likelihood of each cell; the largest is 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EvidenceCurve(pub(super) [f32; CELLS]);

impl EvidenceCurve {
    /// Returns the evidence of a run. A gang is as slow as the slowest of its members: `others` is
    /// the distribution of the slowest of the others, none for a single task.
    pub fn of_run(
        sample: RunSample,
        bias: &LogEstimate,
        others: Option<&SlownessDistribution>,
    ) -> Self {
        let shown = sample.log_ratio - bias.mean();
        let variance = sample.variance + bias.variance();
        let density: [f64; CELLS] = std::array::from_fn(|cell| {
            let distance = shown - cell_value(cell);
            (-0.5 * distance * distance / variance).exp()
        });
        let likelihood = match others {
            None => density,
            Some(others) => slowest_likelihood(&density, others),
        };
        let logs = likelihood.map(|one| ((1.0 - OUTLIER_SHARE) * one + OUTLIER_SHARE).ln() as f32);
        Self(logs).normalized()
    }

    /// Returns the evidence of both.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|cell| self.0[cell] + other.0[cell])).normalized()
    }

    /// Returns the evidence with that of newer runs. The more these contradict it, the less it counts:
    /// the upstream may have changed.
    #[must_use]
    pub fn updated_by(&self, newer: &Self) -> Self {
        let both = self.0.iter().zip(&newer.0);
        let agreement = both.map(|(old, new)| old + new).fold(f32::MIN, f32::max);
        let factor = 1.0 + agreement / CONTRADICTION_MAX;
        self.faded(factor.clamp(0.0, 1.0)).plus(newer)
    }

    /// Returns the evidence with less weight.
    #[must_use]
    pub fn faded(&self, factor: f32) -> Self {
        Self(self.0.map(|one| one * factor))
    }

    /// Returns the difference between the most and the least likely cell.
    pub fn weight(&self) -> f32 {
        -self.0.iter().copied().fold(0.0, f32::min)
    }

    /// Returns the probabilities, given those without the evidence.
    pub fn applied_to(&self, prior: &SlownessDistribution) -> SlownessDistribution {
        SlownessDistribution::normalized(|cell| {
            f64::from(prior.0[cell]) * f64::from(self.0[cell]).exp()
        })
    }

    /// Returns the evidence as digits, as it is stored.
    pub fn to_digits(&self) -> String {
        let cells = self.0.iter().step_by(CELLS_PER_DIGIT);
        let step = |one: &f32| (-one * STORED_STEPS).round().clamp(0.0, 15.0) as u8;
        cells.map(|one| format!("{:x}", step(one))).collect()
    }

    /// Returns the evidence of stored digits; those that cannot be read count as none.
    pub fn of_digits(digits: &str) -> Self {
        let stored: Vec<f32> = digits
            .chars()
            .map(|digit| -(digit.to_digit(16).unwrap_or(0) as f32) / STORED_STEPS)
            .collect();
        let at = |index: usize| stored.get(index).or(stored.last()).copied().unwrap_or(0.0);
        let value = |cell: usize| {
            let index = cell / CELLS_PER_DIGIT;
            let part = (cell % CELLS_PER_DIGIT) as f32 / CELLS_PER_DIGIT as f32;
            at(index) * (1.0 - part) + at(index + 1) * part
        };
        Self(std::array::from_fn(value)).normalized()
    }

    /// Returns the evidence with no more than the weight that ended runs may have.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self(self.0.map(|one| one.max(-SETTLED_MAX)))
    }

    fn normalized(self) -> Self {
        let most = self.0.iter().copied().fold(f32::MIN, f32::max);
        Self(self.0.map(|one| one - most))
    }
}

/// Returns the likelihood of a member's cells: where the others are faster it is itself the slowest.
fn slowest_likelihood(density: &[f64; CELLS], others: &SlownessDistribution) -> [f64; CELLS] {
    let mut slower = 0.0;
    let mut beyond: [f64; CELLS] = [0.0; CELLS];
    for cell in (0..CELLS).rev() {
        beyond[cell] = slower;
        slower += density[cell] * f64::from(others.0[cell]);
    }
    let mut faster = 0.0;
    std::array::from_fn(|cell| {
        faster += f64::from(others.0[cell]);
        density[cell] * faster + beyond[cell]
    })
}
