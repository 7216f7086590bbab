//! Bias of callers' estimates: of a step, and of the queue that it came through.

use crate::tables::name::ObjectName;

/// Deviation of a queue's bias before anything of it is known.
const QUEUE_DEVIATION: f64 = 0.15;
/// Deviation of the steps of a queue that nothing is known about.
const STEP_DEVIATION: f64 = 0.3;
/// Number of steps that this assumption counts for.
const STEP_DEVIATION_WEIGHT: f64 = 6.0;
/// Smallest deviation of a queue's steps.
const STEP_DEVIATION_MIN: f64 = 0.08;
/// Number of steps after which a queue's figures follow the newest ones.
const STEPS_MAX: f64 = 200.0;
/// Residual, in deviations, beyond which a run counts less.
const OUTLIER_DEVIATIONS: f64 = 2.5;

/// A Gaussian estimate of a logarithm, as the sum of what its samples show.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LogEstimate {
    /// Sum of the inverse variances.
    precision: f64,
    /// Sum of the samples, each divided by its variance.
    weighted: f64,
}

impl LogEstimate {
    /// Creates the estimate of one sample.
    pub fn new(mean: f64, variance: f64) -> Self {
        Self {
            precision: variance.recip(),
            weighted: mean / variance,
        }
    }

    /// Returns the mean.
    pub fn mean(&self) -> f64 {
        self.weighted / self.precision
    }

    /// Returns the variance.
    pub fn variance(&self) -> f64 {
        self.precision.recip()
    }

    /// Adds a sample. One far from the estimate counts less, as few tasks run many times as long.
    #[must_use]
    pub fn with(&self, sample: f64, variance: f64) -> Self {
        let deviation = (variance + self.variance()).sqrt();
        let distance = (sample - self.mean()).abs() / deviation;
        let weight = (OUTLIER_DEVIATIONS / distance).min(1.0) / variance;
        Self {
            precision: self.precision + weight,
            weighted: self.weighted + weight * sample,
        }
    }
}

/// Bias of the estimates of one queue's steps.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueBias {
    /// Name of the queue.
    pub queue: ObjectName,
    /// Mean of the steps.
    mean: LogEstimate,
    /// Sum of the squared distances of steps from the mean.
    squares: f64,
    /// Number of steps in the sum.
    steps: f64,
}

impl QueueBias {
    /// Creates the bias of a queue that nothing is known about.
    pub fn new(queue: ObjectName) -> Self {
        Self {
            queue,
            mean: LogEstimate::new(0.0, QUEUE_DEVIATION.powi(2)),
            squares: STEP_DEVIATION_WEIGHT * STEP_DEVIATION.powi(2),
            steps: STEP_DEVIATION_WEIGHT,
        }
    }

    /// Returns the bias to expect of a step of which nothing has run.
    pub fn expected(&self) -> LogEstimate {
        LogEstimate::new(self.mean.mean(), self.spread() + self.mean.variance())
    }

    /// Adds the bias of a step that is done.
    pub fn add_step(&mut self, step: &LogEstimate) {
        let (mean, variance) = (step.mean(), step.variance());
        let square = (mean - self.mean.mean()).powi(2) - variance;
        self.squares += square.clamp(0.0, 1.0);
        self.steps += 1.0;
        if self.steps > STEPS_MAX {
            self.squares *= STEPS_MAX / self.steps;
            self.steps = STEPS_MAX;
        }
        self.mean = self.mean.with(mean, variance + self.spread());
    }

    fn spread(&self) -> f64 {
        (self.squares / self.steps).max(STEP_DEVIATION_MIN.powi(2))
    }
}
