//! Slowness of an upstream, as placement and preemption use it.
//!
//! Urgent gangs have little slack and are as slow as their slowest member, while work that can wait
//! bears slow upstreams well. Each kind takes the upstreams that it can bear first.

/// Difference between tasks of one step, as a deviation of the logarithm of their run time.
const TASK_DEVIATION: f64 = 0.15;
/// Steps of penalty between certainly on time and certainly late.
const LATE_STEPS: f64 = 8.0;
/// Steps of a limit in a unit of the logarithm.
const LIMIT_STEPS: f64 = 20.0;
/// Weight of a unit's own lateness against what it leaves to others.
const OWN_WEIGHT: u64 = 3;
/// Slowdown above which an upstream is a straggler, used only if no other fits.
const STRAGGLER_SLOWDOWN: f64 = 1.9;
/// Deviation above which an upstream of an uneven pool counts as unknown.
const UNKNOWN_DEVIATION: f64 = 0.34;
/// Deviation above which too little is known for that.
const STRAGGLER_DEVIATION_MAX: f64 = 0.35;
/// Penalty of a straggler; larger than any other.
const STRAGGLER_PENALTY: u64 = 64;

/// Progress of a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskProgress {
    /// Progress in percent.
    pub percent: u32,
    /// Time since the start, in ms.
    pub elapsed_ms: u64,
}

/// Estimated run time on an upstream, as a multiple of that on an ordinary one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamSlowdown {
    log_mean: f64,
    deviation: f64,
}

impl Default for UpstreamSlowdown {
    fn default() -> Self {
        Self::new(0.0, 0.0)
    }
}

/// Slowdown up to which a unit is on time, in twentieths of its logarithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowdownLimit(i8);

impl SlowdownLimit {
    /// Returns the limit of a unit with so much time for so long a run; `None` if it is late on any
    /// upstream.
    pub fn new(time_ms: i64, run_ms: u64) -> Option<Self> {
        let ratio = time_ms as f64 / run_ms.max(1) as f64;
        let is_reachable = ratio >= STRAGGLER_SLOWDOWN.recip();
        is_reachable.then(|| Self((ratio.ln() * LIMIT_STEPS).floor().min(100.0) as i8))
    }

    fn log(self) -> f64 {
        f64::from(self.0) / LIMIT_STEPS
    }
}

/// Preferred speed of a unit's upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedPreference {
    /// Slowdown up to which the unit is on time; none if that does not depend on it.
    pub limit: Option<SlowdownLimit>,
    /// Limit of more urgent work, to which upstreams that keep it are left.
    pub yields: Option<SlowdownLimit>,
}

impl UpstreamSlowdown {
    /// Creates the estimate from mean and deviation of its logarithm.
    pub fn new(log_mean: f64, deviation: f64) -> Self {
        Self {
            log_mean,
            deviation,
        }
    }

    /// Returns the mean of the logarithm.
    pub fn log_mean(&self) -> f64 {
        self.log_mean
    }

    /// Returns the deviation of the logarithm.
    pub fn deviation(&self) -> f64 {
        self.deviation
    }

    /// Returns the run time expected here of a task with this estimate, in ms.
    pub fn expected(&self, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.log_mean.exp()) as u64
    }

    /// Returns the probability that a task here exceeds a limit.
    pub fn late_share(&self, limit: SlowdownLimit) -> f64 {
        let deviation = self.deviation.hypot(TASK_DEVIATION);
        normal_share((self.log_mean - limit.log()) / deviation)
    }

    /// Returns the penalty of this slowdown under a preference; lower is better.
    pub fn penalty(&self, preference: SpeedPreference) -> u64 {
        let steps = |limit| (self.late_share(limit) * LATE_STEPS).round() as u64;
        let own = preference
            .limit
            .map_or(0, |limit| OWN_WEIGHT * steps(limit));
        // What can wait also shows soonest what an unknown upstream is fit for.
        let is_unknown = self.deviation > UNKNOWN_DEVIATION;
        let left = preference.yields.map_or(0, |limit| match is_unknown {
            true => 0,
            false => LATE_STEPS as u64 - steps(limit),
        });
        let is_straggler =
            self.log_mean > STRAGGLER_SLOWDOWN.ln() && self.deviation < STRAGGLER_DEVIATION_MAX;
        own + left + u64::from(is_straggler) * STRAGGLER_PENALTY
    }
}

/// Returns the share of a standard normal distribution below a value (logistic approximation).
fn normal_share(value: f64) -> f64 {
    (1.0 + (-1.702 * value).exp()).recip()
}
