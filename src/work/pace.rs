//! How fast upstreams work, learned from how their tasks do against their like.
//!
//! Answers this pattern: some upstreams are slower than others, always or for seconds, and
//! callers' estimates are too far off to tell. Tasks of one step are alike, so one that
//! progresses slower than its siblings is on a slower upstream. A gang is as slow as its
//! slowest member, and urgent gangs have little slack.

/// Progress below which a task says nothing, in hundredths.
const PERCENT_MIN: u32 = 8;
/// Siblings, the task itself among them, below which nothing is learned.
const SIBLINGS_MIN: usize = 4;
/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Bounds of one sample.
const SAMPLE_BOUNDS: std::ops::RangeInclusive<f64> = 0.6..=6.0;
/// Pace above which an upstream is too slow for any work while another will do.
const LAME_PACE: f64 = 1.9;
/// Steps of pace that are told apart.
const PACE_STEP: f64 = 0.12;
/// Most steps that are told apart.
const STEPS_MAX: u64 = 6;

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
        let tells = self.percent >= PERCENT_MIN && self.elapsed_ms > 0;
        tells.then(|| f64::from(self.percent) / self.elapsed_ms as f64)
    }
}

/// How many times longer an upstream takes than its like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamPace(f64);

impl Default for UpstreamPace {
    fn default() -> Self {
        Self(1.0)
    }
}

/// What a unit asks of an upstream's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PaceWish {
    /// The faster the better.
    Fast,
    /// Any that is not lame.
    #[default]
    Any,
    /// Slower ones first, which leaves the fast ones to others.
    Slow,
}

impl UpstreamPace {
    /// Learns from a task and its siblings.
    pub fn learn(&mut self, task: TaskProgress, siblings: &[TaskProgress]) {
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
    pub fn rank(&self, wish: PaceWish) -> u64 {
        let steps = ((self.0 - 1.0).max(0.0) / PACE_STEP) as u64;
        let lame = u64::from(self.0 > LAME_PACE) * 2 * STEPS_MAX;
        let steps = steps.min(STEPS_MAX);
        match wish {
            PaceWish::Fast => steps + lame,
            PaceWish::Any => lame,
            PaceWish::Slow => STEPS_MAX - steps + lame,
        }
    }
}
