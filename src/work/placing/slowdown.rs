//! Straggler detection: estimates an upstream's slowdown from the progress of its tasks.
//!
//! Some upstreams are slower than others, permanently or for seconds, and callers' estimates are
//! too inaccurate to show it. Tasks of one step are alike, so one that progresses more slowly than
//! its siblings runs on a slower upstream. A gang is as slow as its slowest member, and urgent
//! gangs have little slack.

/// Progress below which a task's rate is not used, in percent.
const PROGRESS_MIN_PERCENT: u32 = 8;
/// Smallest number of siblings with a rate, the task itself included, for a sample.
const SIBLINGS_MIN: usize = 4;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Limits of a single sample.
const SAMPLE_BOUNDS: std::ops::RangeInclusive<f64> = 0.6..=6.0;
/// Slowdown above which an upstream is a straggler, used only if no other fits.
const STRAGGLER_SLOWDOWN: f64 = 1.9;
/// Difference in slowdown that counts as one step of penalty.
const SLOWDOWN_STEP: f64 = 0.12;
/// Largest number of penalty steps below a straggler.
const SLOWDOWN_STEPS_MAX: u64 = 6;

/// Progress of a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskProgress {
    /// Progress in percent.
    pub percent: u32,
    /// Time since the start, in ms.
    pub elapsed_ms: u64,
}

impl TaskProgress {
    fn rate(&self) -> Option<f64> {
        let is_usable = self.percent >= PROGRESS_MIN_PERCENT && self.elapsed_ms > 0;
        is_usable.then(|| f64::from(self.percent) / self.elapsed_ms as f64)
    }
}

/// Estimated run time of an upstream's tasks, as a multiple of their siblings' median.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamSlowdown(f64);

impl Default for UpstreamSlowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

/// Preferred speed of a unit's upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpeedPreference {
    /// Prefers the fastest.
    Fast,
    /// Avoids stragglers only.
    #[default]
    Any,
    /// Prefers slower ones that are no stragglers, which leaves fast ones to other units.
    Slow,
}

impl UpstreamSlowdown {
    /// Updates the estimate with a task's rate against that of its siblings, which include the
    /// task.
    pub fn add_sample(&mut self, task: TaskProgress, siblings: &[TaskProgress]) {
        let mut rates: Vec<f64> = siblings.iter().filter_map(TaskProgress::rate).collect();
        let Some(own) = task.rate().filter(|_| rates.len() >= SIBLINGS_MIN) else {
            return;
        };
        rates.sort_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        let sample = (median / own).clamp(*SAMPLE_BOUNDS.start(), *SAMPLE_BOUNDS.end());
        self.0 += SAMPLE_WEIGHT * (sample - self.0);
    }

    /// Returns the run time expected here of a task with this estimate, in ms.
    pub fn expected(&self, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.0) as u64
    }

    /// Returns the penalty of this slowdown under a preference; lower is better.
    pub fn penalty(&self, preference: SpeedPreference) -> u64 {
        let steps = ((self.0 - 1.0).max(0.0) / SLOWDOWN_STEP) as u64;
        let straggler = u64::from(self.0 > STRAGGLER_SLOWDOWN) * 2 * SLOWDOWN_STEPS_MAX;
        let steps = steps.min(SLOWDOWN_STEPS_MAX);
        match preference {
            SpeedPreference::Fast => steps + straggler,
            SpeedPreference::Any => straggler,
            SpeedPreference::Slow => SLOWDOWN_STEPS_MAX - steps + straggler,
        }
    }
}
