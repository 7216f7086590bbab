//! What a caller asks for: steps of tasks.

use std::sync::Arc;

use eyre::{Report, ensure};
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;

/// Most steps of a job.
const STEPS_MAX: usize = 64;
/// Most tasks of all steps and rounds of a job.
const TASKS_MAX: u64 = 20_000;
/// Longest text handed to each task, in bytes.
const PAYLOAD_MAX_BYTES: usize = 4_000;

/// One step: equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub need: ResourceAmount,
    /// The caller's estimate of a task's run time, in ms.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done before.
    pub after: Vec<u32>,
    /// Whether the tasks run only together.
    pub gang: bool,
    /// Whether the tasks slow down when spread over racks.
    pub same_rack: bool,
    /// Label that the upstream must have.
    pub label: Option<ObjectName>,
    /// Rack with the data; elsewhere the tasks are slower.
    pub data_rack: Option<ObjectName>,
    /// Most tasks of the step on one upstream; 0 for any number.
    pub spread_max: u32,
    /// Whether the tasks save their progress.
    pub checkpoints: bool,
    /// Whether copies of a task may run side by side.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// How many tasks of a lasting step may be away by orders.
    pub away_max: u32,
}

/// Rounds of a job that repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatSpec {
    /// Number of rounds.
    pub rounds: u32,
    /// When the first is due, Unix ms.
    pub first_ms: u64,
    /// Time between two rounds, in ms.
    pub every_ms: u64,
}

/// A job as submitted, checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkSpec {
    /// Text handed to each task.
    pub payload: Arc<str>,
    /// Steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Rounds, if it repeats.
    pub repeat: Option<RepeatSpec>,
}

impl WorkSpec {
    /// Returns the number of rounds.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.rounds)
    }

    /// Returns when a round is due, Unix ms; 0 for a job that starts at once.
    pub fn due_ms(&self, round: u32) -> u64 {
        self.repeat.map_or(0, |repeat| {
            repeat.first_ms + u64::from(round) * repeat.every_ms
        })
    }

    /// Returns the estimated work of one round, in thousandths of a core x ms.
    pub fn work(&self) -> u64 {
        let step_work =
            |step: &StepSpec| u64::from(step.count) * step.estimate_ms * step.need.weight_milli();
        self.steps.iter().map(step_work).sum()
    }

    /// Returns the estimated run time of the longest chain of steps, in ms.
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

    /// Returns the accelerators that the first step holds at once.
    pub fn first_step_accelerators(&self) -> u64 {
        let whole = |step: &StepSpec| u64::from(step.count) * step.need.accelerators;
        self.steps.first().map_or(0, whole)
    }

    /// Checks sizes and the order of steps.
    ///
    /// # Errors
    ///
    /// Says what is wrong with which step.
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
