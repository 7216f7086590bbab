//! How fast upstreams work, learned from how their tasks do against their like.
//!
//! Answers this pattern: some upstreams are slower than others, always or for seconds, and
//! callers' estimates are too far off to tell. Tasks of one step are alike, so one that
//! progresses slower than its siblings is on a slower upstream. A gang is as slow as its
//! slowest member, and urgent gangs have little slack.

/// Progress below which a task says nothing, in hundredths.
const PROGRESS_MIN_PERCENT: u32 = 8;
/// Siblings, the task itself among them, below which nothing is learned.
const SIBLINGS_MIN: usize = 4;
/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Bounds of one sample.
const SAMPLE_BOUNDS: std::ops::RangeInclusive<f64> = 0.6..=6.0;
/// Pace above which an upstream is too slow for any work while another will do.
const STRAGGLER_SLOWDOWN: f64 = 1.9;
/// Steps of pace that are told apart.
const SLOWDOWN_STEP: f64 = 0.12;
/// Most steps that are told apart.
const SLOWDOWN_STEPS_MAX: u64 = 6;

/// Progress of a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskProgress {
    /// In hundredths.
    pub percent: u32,
    /// Time since it started, in ms.
    pub elapsed_ms: u64,
}

impl TaskProgress {
    fn rate(&self) -> Option<f64> {
        let is_usable = self.percent >= PROGRESS_MIN_PERCENT && self.elapsed_ms > 0;
        is_usable.then(|| f64::from(self.percent) / self.elapsed_ms as f64)
    }
}

/// How many times longer an upstream takes than its like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamSlowdown(f64);

impl Default for UpstreamSlowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

/// What a unit asks of an upstream's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpeedPreference {
    /// The faster the better.
    Fast,
    /// Any that is not lame.
    #[default]
    Any,
    /// Slower ones first, which leaves the fast ones to others.
    Slow,
}

impl UpstreamSlowdown {
    /// Learns from a task and its siblings.
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

    /// Returns how ill the pace suits; smaller is better.
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
