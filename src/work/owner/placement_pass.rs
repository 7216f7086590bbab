//! Passes over the queue of waiting steps, each of one or more placement rounds.
//!
//! A round is cut short when it has done enough, so that the owner's other duties get their turn. The
//! next one has to come to the steps that the one before did not reach.

use crate::tables::name::ObjectName;
use crate::work::owner::work_counts::{WorkCounts, WorkKind};

/// Search steps after which a round is cut short.
const ROUND_STEPS_MAX: u64 = 100_000;
/// Part of them for steps that were tried in an earlier round of the pass, as a divisor.
const RETRY_DIVISOR: u64 = 2;
/// Placed tasks after which a round is cut short.
const ROUND_TASKS_MAX: usize = 512;

/// Identity of a step in a round of its job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepId {
    pub(super) job: ObjectName,
    pub(super) round: u32,
    pub(super) step: u32,
}

/// The steps that the rounds of the current pass have tried and that still wait.
#[derive(Default)]
pub(super) struct PlacementPass {
    /// Sorted.
    tried: Vec<StepId>,
}

impl PlacementPass {
    /// Returns whether a step was tried in this pass.
    pub(super) fn has_tried(&self, id: &StepId) -> bool {
        self.tried.binary_search(id).is_ok()
    }

    /// Notes that a step was tried.
    pub(super) fn note_tried(&mut self, id: StepId) {
        if let Err(index) = self.tried.binary_search(&id) {
            self.tried.insert(index, id);
        }
    }

    /// Ends the pass: the queue has been gone through.
    pub(super) fn finish(&mut self) {
        self.tried.clear();
    }
}

/// Work that a placement round may still do.
///
/// Steps that were tried before in the pass go on in the order of the queue, since room may have come
/// free for them meanwhile, but leave half of the search to the steps that were not reached yet.
pub(super) struct RoundBudget {
    /// Search steps counted before the round.
    steps_before: u64,
    /// Search steps of this round for steps that were tried before.
    retry_steps: u64,
    /// Placed tasks.
    tasks: usize,
    /// Whether a unit has been searched for that was not tried before.
    has_advanced: bool,
}

impl RoundBudget {
    /// Creates the budget of a round that begins now.
    pub(super) fn new(counts: &WorkCounts) -> Self {
        Self {
            steps_before: counts.get(WorkKind::SearchStep),
            retry_steps: 0,
            tasks: 0,
            has_advanced: false,
        }
    }

    /// Returns whether a search for one more unit may begin. Each round advances by a unit at least,
    /// however large the pool is.
    pub(super) fn allows(&self, retry: bool, counts: &WorkCounts) -> bool {
        let steps = counts.get(WorkKind::SearchStep) - self.steps_before;
        let within = steps < ROUND_STEPS_MAX && self.tasks < ROUND_TASKS_MAX;
        match retry {
            true => within && self.retry_steps < ROUND_STEPS_MAX / RETRY_DIVISOR,
            false => within || !self.has_advanced,
        }
    }

    /// Notes a search for a unit that took these steps and placed so many tasks.
    pub(super) fn note_search(&mut self, retry: bool, steps: u64, tasks: usize) {
        self.tasks += tasks;
        match retry {
            true => self.retry_steps += steps,
            false => self.has_advanced = true,
        }
    }
}
