//! Job specifications as submitted: steps of equal tasks, with optional repetition.

use std::sync::Arc;

use eyre::{Report, ensure};
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;
use crate::work::model::amount::ResourceAmount;

/// Maximum number of steps of a job.
const STEPS_MAX: usize = 64;
/// Maximum number of tasks of a job over all steps and rounds.
const TASKS_MAX: u64 = 20_000;
/// Maximum length of the text that is passed to each task.
const PAYLOAD_MAX_BYTES: usize = 4_000;

/// A step of a job: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: ResourceAmount,
    /// The caller's estimate of a task's run time, in ms.
    pub estimate_ms: u64,
    /// Indexes of the steps that must be complete before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks are a gang: they start together and end together.
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over several racks.
    pub same_rack: bool,
    /// Label that an upstream must have to run the tasks.
    pub label: Option<ObjectName>,
    /// Rack that holds the tasks' data; they are slower in other racks.
    pub data_rack: Option<ObjectName>,
    /// Anti-affinity: maximum number of the step's tasks on one upstream; 0 for no limit.
    pub spread_max: u32,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether speculative copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    pub lasting: bool,
    /// Maximum number of a long-running step's tasks that the scheduler may have stopped at once.
    pub away_max: u32,
}

/// Schedule of a repeating job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatSpec {
    pub rounds: u32,
    /// When the first round is due, Unix ms.
    pub first_ms: u64,
    /// Interval between the starts of two rounds, in ms.
    pub every_ms: u64,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkSpec {
    /// Text that is passed to each task.
    pub payload: Arc<str>,
    /// Steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Schedule of a repeating job; none for a job that runs once.
    pub repeat: Option<RepeatSpec>,
}

impl WorkSpec {
    /// Returns the number of rounds; 1 for a job that does not repeat.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.rounds)
    }

    /// Returns when a round is due, Unix ms; 0 for a job that does not repeat.
    pub fn due_ms(&self, round: u32) -> u64 {
        self.repeat.map_or(0, |repeat| {
            repeat.first_ms + u64::from(round) * repeat.every_ms
        })
    }

    /// Returns the estimated work of one round, in thousandths of a core times ms.
    pub fn work(&self) -> u64 {
        let step_work =
            |step: &StepSpec| u64::from(step.count) * step.estimate_ms * step.need.weight_milli();
        self.steps.iter().map(step_work).sum()
    }

    /// Returns the estimated run time of the critical path, the longest chain of dependent steps,
    /// in ms.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step
                .after
                .iter()
                .filter_map(|&index| ends.get(index as usize));
            ends.push(before.max().copied().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the estimated run time of the longest chain that begins with a step, in ms.
    pub fn path_from_ms(&self, step: usize) -> u64 {
        let mut longest = vec![0; self.steps.len()];
        for index in (step..self.steps.len()).rev() {
            longest[index] += self.steps[index].estimate_ms;
            let path_ms = longest[index];
            for &before in &self.steps[index].after {
                let before = &mut longest[before as usize];
                *before = path_ms.max(*before);
            }
        }
        longest[step]
    }

    /// Returns the number of accelerators that the tasks of the first step need together.
    pub fn first_step_accelerators(&self) -> u64 {
        let whole = |step: &StepSpec| u64::from(step.count) * step.need.accelerators;
        self.steps.first().map_or(0, whole)
    }

    /// Checks the limits on sizes and that steps depend on earlier steps only.
    ///
    /// # Errors
    ///
    /// Returns an error that names the violated limit or the invalid step.
    pub fn check(&self) -> Result<(), Report> {
        ensure!(
            self.payload.len() <= PAYLOAD_MAX_BYTES,
            "a text of {} bytes; allowed are {PAYLOAD_MAX_BYTES}",
            self.payload.len()
        );
        ensure!(!self.steps.is_empty(), "a job without steps");
        ensure!(
            self.steps.len() <= STEPS_MAX,
            "{} steps; allowed are {STEPS_MAX}",
            self.steps.len()
        );
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let rounds = u64::from(self.rounds());
        ensure!(rounds >= 1, "a job that repeats 0 times");
        ensure!(
            tasks * rounds <= TASKS_MAX,
            "{tasks} tasks in {rounds} rounds; allowed are {TASKS_MAX} in all"
        );
        for (index, step) in self.steps.iter().enumerate() {
            ensure!(step.count >= 1, "step {index} has no tasks");
            let earlier = step.after.iter().all(|&other| (other as usize) < index);
            ensure!(earlier, "step {index} comes after one that is not earlier");
        }
        Ok(())
    }
}
