//! What a delay or a loss of a unit costs its callers.
//!
//! Load: more work than the pool holds, so that somebody waits or is displaced. A result is worth
//! most if it meets its time objective, less if it is late, and nothing once it is no longer
//! awaited. Estimates are rough, so a unit whose slack runs out counts as partly late already.

/// Multiple of the time objective after which a job counts as no longer awaited.
const EXPIRY_FACTOR: u64 = 3;
/// Loss of a result that is just late, in thousandths of its worth.
const LATE_LOSS_MILLI: u64 = 500;
/// Loss of a result that is no longer awaited, in the same unit.
const EXPIRED_LOSS_MILLI: u64 = 1_000;
/// Part of the time objective that must be left as slack for no loss, as a divisor.
const COMFORT_DIVISOR: u64 = 2;
/// Factor between the weights of two successive priorities.
const PRIORITY_FACTOR: u64 = 2;
/// Priority from which on all work weighs the same.
const LEAST_PRIORITY: u32 = 2;
/// Time that a run resumed from a checkpoint needs until it is at work again, in ms.
const RESUME_MS: u64 = 300;
/// Parts of a whole in which losses are counted.
const MILLI: u64 = 1_000;

/// What is known of a unit's prospects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitOutlook {
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Work of the unit, in millicore-milliseconds.
    pub work: u64,
    /// Delay that its job bears before it misses its time objective, in ms; negative if it is late.
    pub slack_ms: i64,
    /// Time objective of its job, in ms.
    pub objective_ms: u64,
}

impl UnitOutlook {
    /// Returns what a further delay costs, in millicore-milliseconds weighted by priority.
    pub fn delay_cost(&self, delay_ms: u64) -> u64 {
        let later = self.slack_ms.saturating_sub_unsigned(delay_ms);
        let loss = self.loss_milli(later) - self.loss_milli(self.slack_ms);
        self.work / MILLI * loss * self.weight()
    }

    /// Returns whether nobody awaits the result any more.
    pub fn is_expired(&self) -> bool {
        self.loss_milli(self.slack_ms) == EXPIRED_LOSS_MILLI
    }

    /// Returns the part of the worth that is lost with this slack, in thousandths. It never rises
    /// with the slack.
    fn loss_milli(&self, slack_ms: i64) -> u64 {
        let comfort_ms = (self.objective_ms / COMFORT_DIVISOR).max(1);
        let late_span_ms = ((EXPIRY_FACTOR - 1) * self.objective_ms).max(1);
        match u64::try_from(slack_ms) {
            Ok(left_ms) => LATE_LOSS_MILLI * comfort_ms.saturating_sub(left_ms) / comfort_ms,
            Err(_) => {
                let late_ms = slack_ms.unsigned_abs().min(late_span_ms);
                let span_milli = EXPIRED_LOSS_MILLI - LATE_LOSS_MILLI;
                LATE_LOSS_MILLI + span_milli * late_ms / late_span_ms
            }
        }
    }

    fn weight(&self) -> u64 {
        PRIORITY_FACTOR.pow(LEAST_PRIORITY.saturating_sub(self.priority))
    }
}

/// A running unit that might be displaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningUnit {
    /// Its prospects if it runs on.
    pub outlook: UnitOutlook,
    /// Time for which it has been at work since its last start, in ms.
    pub worked_ms: u64,
    /// Whether a stop saves a checkpoint.
    pub checkpoints: bool,
    /// Work that its tasks do together in a millisecond, in millicores.
    pub rate_milli: u64,
    /// How often it was displaced before.
    pub displaced: u32,
}

impl RunningUnit {
    /// Returns what displacing the unit for `away_ms` costs: work that must be repeated, and the
    /// delay of its job. Each earlier displacement raises the cost, so that no unit is displaced
    /// for ever.
    pub fn displacement_cost(&self, away_ms: u64) -> u64 {
        let lost_ms = match self.checkpoints {
            true => self.worked_ms.min(RESUME_MS),
            false => self.worked_ms,
        };
        let repeated = lost_ms * self.rate_milli;
        let delayed = self.outlook.delay_cost(lost_ms + away_ms);
        (repeated + delayed) * (u64::from(self.displaced) + 1)
    }
}
