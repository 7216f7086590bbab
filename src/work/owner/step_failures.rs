//! Failed runs of one step of a job.

use crate::tables::name::ObjectName;
use crate::work::owner::failure_standing::{FailureStanding, StandingCounts};

/// Fewest upstreams on which a step fails widely.
const WIDE_UPSTREAMS_MIN: usize = 2;
/// Share of a step's tasks that fail if it fails widely, as a divisor.
const WIDE_SHARE_DIVISOR: u32 = 4;
/// Fewest failed runs of a step that fails widely. A small gang may meet a broken upstream in each of its
/// first runs.
const WIDE_FAILURES_MIN: u32 = 4;
/// Failed runs that suffice to fail widely, however many tasks the step has.
const WIDE_FAILURES_MAX: u32 = 16;

/// A step of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepRef {
    /// Job of the step.
    pub job: ObjectName,
    /// Index of the step in the job.
    pub step: u32,
}

/// Failed runs of a step, by the upstreams on which they ran.
#[derive(Clone, Debug)]
pub struct StepFailures {
    /// The step.
    pub key: StepRef,
    /// Number of its tasks.
    tasks: u32,
    /// Whether a task of it is done.
    is_done: bool,
    /// Number of failed runs.
    failed: u32,
    /// Upstreams on which it failed, sorted.
    upstreams: Vec<ObjectName>,
    standings: StandingCounts,
    /// What others were last told of it.
    told: StepSuspicion,
    /// Whether it is queued for its upstreams to be scored anew.
    is_queued: bool,
    /// Whether it has changed while queued.
    is_changed: bool,
    /// The upstream that was last taken to be scored anew.
    last_taken: Option<ObjectName>,
}

/// What a step's failures say about the step itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepSuspicion {
    /// Whether it fails widely: much of it has failed, on several upstreams, and nothing of it is done.
    pub fails_widely: bool,
    /// Whether it is likelier to blame than its upstreams.
    pub is_suspect: bool,
}

impl StepFailures {
    /// Creates a step without failures.
    pub fn new(key: StepRef, tasks: u32, is_done: bool) -> Self {
        Self {
            key,
            tasks,
            is_done,
            failed: 0,
            upstreams: Vec::new(),
            standings: StandingCounts::default(),
            told: StepSuspicion::default(),
            is_queued: false,
            is_changed: false,
            last_taken: None,
        }
    }

    /// Notes a failed run.
    pub fn add_failure(&mut self) {
        self.failed = self.failed.saturating_add(1);
    }

    /// Notes that one of its tasks is done.
    pub fn add_done(&mut self) {
        self.is_done = true;
    }

    /// Notes that it has failed on an upstream.
    pub fn add_upstream(&mut self, name: &ObjectName, standing: FailureStanding) {
        if let Err(index) = self.upstreams.binary_search(name) {
            self.upstreams.insert(index, name.clone());
            *self.standings.of(standing) += 1;
        }
    }

    /// Forgets its failures on an upstream.
    pub fn remove_upstream(&mut self, name: &ObjectName, standing: FailureStanding) {
        if let Ok(index) = self.upstreams.binary_search(name) {
            self.upstreams.remove(index);
            *self.standings.of(standing) -= 1;
        }
    }

    /// Notes that the standing of one of its upstreams has changed.
    pub fn change_standing(&mut self, old: FailureStanding, new: FailureStanding) {
        *self.standings.of(old) -= 1;
        *self.standings.of(new) += 1;
    }

    /// Returns whether it has failed on no upstream.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns what its failures say about itself.
    pub fn suspicion(&self) -> StepSuspicion {
        let share = self.tasks / WIDE_SHARE_DIVISOR;
        let wide_failures = share.clamp(WIDE_FAILURES_MIN, WIDE_FAILURES_MAX);
        let fails_widely = !self.is_done
            && self.failed >= wide_failures
            && self.upstreams.len() >= WIDE_UPSTREAMS_MIN;
        let StandingCounts { sound, doubtful } = self.standings;
        StepSuspicion {
            fails_widely,
            is_suspect: fails_widely && sound >= WIDE_UPSTREAMS_MIN && sound >= doubtful,
        }
    }

    /// Returns whether its suspicion differs from what this call returned it for last.
    pub fn take_change(&mut self) -> bool {
        let suspicion = self.suspicion();
        std::mem::replace(&mut self.told, suspicion) != suspicion
    }

    /// Notes that the scores of its upstreams have changed. Returns whether it is to be queued.
    pub fn queue_upstreams(&mut self) -> bool {
        self.is_changed = self.is_queued;
        !std::mem::replace(&mut self.is_queued, true)
    }

    /// Takes some of its queued upstreams. Returns whether it stays queued.
    pub fn take_upstreams(&mut self, count: usize, taken: &mut Vec<ObjectName>) -> bool {
        let last = self.last_taken.as_ref();
        let first = last.map_or(0, |last| self.upstreams.partition_point(|one| one <= last));
        let end = self.upstreams.len().min(first + count);
        taken.extend_from_slice(&self.upstreams[first..end]);
        if end < self.upstreams.len() {
            self.last_taken = self.upstreams[..end].last().cloned();
            return true;
        }
        self.last_taken = None;
        self.is_queued = std::mem::take(&mut self.is_changed);
        self.is_queued
    }
}
