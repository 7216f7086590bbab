//! Failed runs on one upstream.

use crate::tables::name::ObjectName;
use crate::work::owner::failure_standing::FailureStanding;
use crate::work::owner::step_failures::StepRef;

/// Most steps whose failures on one upstream are kept; the oldest is dropped first.
const UPSTREAM_STEPS_MAX: usize = 8;
/// Factor applied to the failures on an upstream for each run that it completes.
const SUCCESS_FACTOR: f64 = 0.3;
/// Failures of a step that speak against an upstream beside another's: fewer than one failed run, and
/// more than one with a completed run since.
const CORROBORATING_COUNT: f64 = 0.5;
/// Other steps that speak against an upstream even if each of them fails widely.
const CORROBORATING_STEPS: usize = 2;

/// Failed runs of one step on an upstream.
#[derive(Clone, Debug)]
pub struct FailedStep {
    /// The step.
    pub key: StepRef,
    /// Number of failures, reduced by the runs that the upstream has completed since.
    pub count: f64,
    /// When the first run failed, steady ms.
    pub first_ms: u64,
    /// When the last run failed, steady ms.
    pub last_ms: u64,
    /// What else is known of the upstream.
    pub standing: FailureStanding,
}

/// Failed runs on an upstream, by step.
#[derive(Clone, Debug)]
pub struct UpstreamFailures {
    /// Name of the upstream.
    pub name: ObjectName,
    /// Sorted by key; at most `UPSTREAM_STEPS_MAX`.
    steps: Vec<FailedStep>,
    /// Whether it is known to complete runs, or as little is known of most others.
    is_proven: bool,
}

impl UpstreamFailures {
    /// Creates an upstream without failures.
    pub fn new(name: ObjectName, is_proven: bool) -> Self {
        Self {
            name,
            steps: Vec::new(),
            is_proven,
        }
    }

    /// Returns the steps that failed there.
    pub fn steps(&self) -> &[FailedStep] {
        &self.steps
    }

    /// Returns the failures of a step there.
    pub fn step(&self, key: &StepRef) -> Option<&FailedStep> {
        self.find(key).ok().map(|index| &self.steps[index])
    }

    /// Adds a failed run of a step. Returns whether it is the step's first there.
    pub fn add_failure(&mut self, key: &StepRef, now_ms: u64) -> bool {
        match self.find(key) {
            Ok(index) => {
                let step = &mut self.steps[index];
                step.count += 1.0;
                step.last_ms = now_ms;
                false
            }
            Err(index) => {
                let step = FailedStep {
                    key: key.clone(),
                    count: 1.0,
                    first_ms: now_ms,
                    last_ms: now_ms,
                    standing: FailureStanding::Sound,
                };
                self.steps.insert(index, step);
                true
            }
        }
    }

    /// Notes that it has completed a run.
    pub fn add_success(&mut self) {
        self.is_proven = true;
        for step in &mut self.steps {
            step.count *= SUCCESS_FACTOR;
        }
    }

    /// Returns what speaks against it beside one of its steps. `fails_widely` tells of each of its steps
    /// whether it does: such a step fails on sound upstreams too, so one alone corroborates nothing.
    pub fn standing(&self, index: usize, fails_widely: &[bool]) -> FailureStanding {
        let speaks =
            |&other: &usize| other != index && self.steps[other].count >= CORROBORATING_COUNT;
        let others = (0..self.steps.len()).filter(speaks);
        let is_corroborated = others.clone().count() >= CORROBORATING_STEPS
            || others.clone().any(|other| !fails_widely[other]);
        match is_corroborated {
            true => FailureStanding::Corroborated,
            false if self.is_proven => FailureStanding::Sound,
            false => FailureStanding::Unproven,
        }
    }

    /// Sets the standing of a step. Returns the one before.
    pub fn set_standing(&mut self, index: usize, standing: FailureStanding) -> FailureStanding {
        std::mem::replace(&mut self.steps[index].standing, standing)
    }

    /// Forgets the failures of a step. Returns them.
    pub fn remove_step(&mut self, key: &StepRef) -> Option<FailedStep> {
        let found = self.find(key).ok();
        found.map(|index| self.steps.remove(index))
    }

    /// Returns the step to be forgotten if there are too many: the one that failed longest ago.
    pub fn excess_step(&self) -> Option<&FailedStep> {
        let is_excess = self.steps.len() > UPSTREAM_STEPS_MAX;
        let oldest = self.steps.iter().min_by_key(|step| step.last_ms);
        oldest.filter(|_| is_excess)
    }

    fn find(&self, key: &StepRef) -> Result<usize, usize> {
        self.steps.binary_search_by(|step| step.key.cmp(key))
    }
}
