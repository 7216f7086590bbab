//! Whether failed runs speak against their work or against their upstreams.
//!
//! A hopeless step fails wherever it runs, and a broken upstream fails whatever runs there. A step's
//! failures count in full against an upstream unless the step itself is suspect (much of it has failed,
//! nothing of it is done, and most of its upstreams serve others) and nothing else speaks against the
//! upstream.
//!
//! Failures are found by step and by upstream, and each call reads a bounded number of them, however
//! large the pool is. What a call leaves over is done by the next ones.

use std::collections::VecDeque;

use crate::tables::name::ObjectName;
use crate::work::owner::failure_standing::FailureStanding;
use crate::work::owner::step_failures::{StepFailures, StepRef, StepSuspicion};
use crate::work::owner::upstream_failures::{FailedStep, UpstreamFailures};

/// Failure score at which an upstream is excluded.
pub const EXCLUSION_SCORE: f64 = 2.0;
/// Most failures of one step that count against one upstream.
const STEP_FAILURES_MAX: f64 = EXCLUSION_SCORE;
/// Most failures of all suspect steps together that count against one sound upstream: it is avoided while
/// others have room, and not excluded.
const SUSPECT_FAILURES_MAX: f64 = 1.0;
/// Time after its last failure for which a step's failures on an upstream count, in ms.
const MEMORY_MS: u64 = 60_000;
/// Most pairs of a step and an upstream that are kept; the oldest are dropped first.
const PAIRS_MAX: usize = 4_096;
/// Most pairs that one call looks at for their age.
const AGED_PER_CALL: usize = 4;
/// Most upstreams that one call scores anew.
const CHANGES_PER_CALL: usize = 16;

/// A step's failures on an upstream, to be looked at for their age.
#[derive(Clone, Debug)]
struct AgingPair {
    step: StepRef,
    upstream: ObjectName,
    /// When the first run failed, steady ms; tells a pair from an earlier one of the same names.
    first_ms: u64,
    /// When to look, steady ms.
    due_ms: u64,
}

/// A failed run, and what is known of its step and its upstream.
#[derive(Clone, Copy, Debug)]
pub struct FailedRun<'a> {
    /// Step of the run.
    pub step: &'a StepRef,
    /// Upstream of the run.
    pub upstream: &'a ObjectName,
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Whether a task of the step is done. Only asked of a step without failures.
    pub is_step_done: bool,
    /// Whether the upstream is known to complete runs, or as little is known of most others. Only
    /// asked of an upstream without failures.
    pub is_upstream_proven: bool,
    /// When it failed, steady ms.
    pub now_ms: u64,
}

/// How far an upstream is to blame for the runs that failed there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamBlame {
    /// Failed runs for which it is to blame.
    pub score: f64,
    /// When the last run failed there, steady ms; 0 for never.
    pub last_ms: u64,
    /// Whether the work is to blame for some failures there instead.
    pub is_exonerated: bool,
}

/// Recent failures, by step and by upstream.
#[derive(Clone, Debug, Default)]
pub struct FailureLedger {
    /// Sorted by key.
    steps: Vec<StepFailures>,
    /// Sorted by name.
    upstreams: Vec<UpstreamFailures>,
    /// One for each pair, and some for pairs that are gone.
    aging: VecDeque<AgingPair>,
    /// Steps with queued upstreams.
    changed_steps: VecDeque<StepRef>,
    changed_upstreams: Vec<ObjectName>,
    rows_read: usize,
}

impl FailureLedger {
    /// Notes that a run has failed.
    pub fn add_failure(&mut self, run: FailedRun) {
        let FailedRun { step, upstream, .. } = run;
        self.step_row(run).add_failure();
        if self.upstream_row(run).add_failure(step, run.now_ms) {
            self.add_pair(run);
        }
        self.review_step(step);
        self.changed_upstreams.push(upstream.clone());
    }

    /// Notes that an upstream has completed a run of a step.
    pub fn add_success(&mut self, step: &StepRef, upstream: &ObjectName) {
        if let Some(index) = self.find_step(step) {
            self.steps[index].add_done();
            self.review_step(step);
        }
        if let Some(index) = self.find_upstream(upstream) {
            self.rows_read += self.upstreams[index].steps().len();
            self.upstreams[index].add_success();
            self.changed_upstreams.push(upstream.clone());
        }
    }

    /// Drops what is too old and returns upstreams whose score may have changed. Both are bounded: the
    /// rest comes with later calls.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<ObjectName> {
        self.drop_old(now_ms);
        let mut changes = std::mem::take(&mut self.changed_upstreams);
        while changes.len() < CHANGES_PER_CALL
            && let Some(key) = self.changed_steps.pop_front()
        {
            let Some(index) = self.find_step(&key) else {
                continue;
            };
            let left = CHANGES_PER_CALL - changes.len();
            if self.steps[index].take_upstreams(left, &mut changes) {
                self.changed_steps.push_back(key);
            }
        }
        for upstream in &changes {
            self.review_upstream(upstream);
        }
        changes
    }

    /// Returns how far an upstream is to blame.
    pub fn blame(&mut self, upstream: &ObjectName) -> UpstreamBlame {
        let mut blame = UpstreamBlame::default();
        let Some(index) = self.find_upstream(upstream) else {
            return blame;
        };
        let suspects = self.suspicions(index, |suspicion| suspicion.is_suspect);
        let mut exonerated = 0.0;
        for (step, is_suspect) in self.upstreams[index].steps().iter().zip(suspects) {
            match is_suspect && step.standing == FailureStanding::Sound {
                true => exonerated += step.count,
                false => blame.score += step.count.min(STEP_FAILURES_MAX),
            }
            blame.last_ms = blame.last_ms.max(step.last_ms);
        }
        blame.score += f64::min(exonerated, SUSPECT_FAILURES_MAX);
        blame.is_exonerated = exonerated > 0.0;
        blame
    }

    /// Returns whether a step has recent failures.
    pub fn knows_step(&self, step: &StepRef) -> bool {
        self.steps.binary_search_by(|row| row.key.cmp(step)).is_ok()
    }

    /// Returns whether there are no failures.
    pub fn is_empty(&self) -> bool {
        self.aging.is_empty()
    }

    /// Returns the number of rows read since the last call.
    pub fn take_rows_read(&mut self) -> usize {
        std::mem::take(&mut self.rows_read)
    }

    fn add_pair(&mut self, run: FailedRun) {
        let FailedRun { step, upstream, .. } = run;
        self.step_row(run)
            .add_upstream(upstream, FailureStanding::Sound);
        self.aging.push_back(AgingPair {
            step: step.clone(),
            upstream: upstream.clone(),
            first_ms: run.now_ms,
            due_ms: run.now_ms + MEMORY_MS,
        });
        self.drop_excess(upstream);
    }

    /// Brings the standing of an upstream's failures up to date.
    fn review_upstream(&mut self, name: &ObjectName) {
        let Some(index) = self.find_upstream(name) else {
            return;
        };
        let fails_widely = self.suspicions(index, |suspicion| suspicion.fails_widely);
        for step in 0..fails_widely.len() {
            let row = &mut self.upstreams[index];
            let standing = row.standing(step, &fails_widely);
            let before = row.set_standing(step, standing);
            if before != standing {
                let key = row.steps()[step].key.clone();
                self.change_standing(&key, before, standing);
            }
        }
    }

    fn change_standing(&mut self, step: &StepRef, old: FailureStanding, new: FailureStanding) {
        if let Some(index) = self.find_step(step) {
            self.steps[index].change_standing(old, new);
            self.review_step(step);
        }
    }

    /// Queues the upstreams of a step to be scored anew if what is thought of it has changed.
    fn review_step(&mut self, step: &StepRef) {
        let Some(index) = self.find_step(step) else {
            return;
        };
        let row = &mut self.steps[index];
        if row.take_change() && row.queue_upstreams() {
            self.changed_steps.push_back(step.clone());
        }
    }

    /// Returns what is thought of each step that failed on an upstream.
    fn suspicions(&mut self, index: usize, part: impl Fn(StepSuspicion) -> bool) -> Vec<bool> {
        let failed = self.upstreams[index].steps();
        self.rows_read += 2 * failed.len();
        let thought = |step: &FailedStep| {
            let found = self.steps.binary_search_by(|row| row.key.cmp(&step.key));
            found.is_ok_and(|index| part(self.steps[index].suspicion()))
        };
        failed.iter().map(thought).collect()
    }

    fn drop_old(&mut self, now_ms: u64) {
        for _ in 0..AGED_PER_CALL {
            let is_full = self.aging.len() > PAIRS_MAX;
            let first = self.aging.front();
            if !first.is_some_and(|pair| is_full || pair.due_ms <= now_ms) {
                return;
            }
            let Some(mut pair) = self.aging.pop_front() else {
                return;
            };
            let Some(last_ms) = self.last_failure_ms(&pair) else {
                continue;
            };
            let due_ms = last_ms + MEMORY_MS;
            if due_ms > pair.due_ms {
                pair.due_ms = due_ms;
                self.aging.push_back(pair);
                continue;
            }
            self.remove_pair(&pair.step, &pair.upstream);
        }
    }

    /// Returns when the pair's last run failed; `None` if it is gone.
    fn last_failure_ms(&mut self, pair: &AgingPair) -> Option<u64> {
        let index = self.find_upstream(&pair.upstream)?;
        let step = self.upstreams[index].step(&pair.step)?;
        (step.first_ms == pair.first_ms).then_some(step.last_ms)
    }

    fn drop_excess(&mut self, upstream: &ObjectName) {
        let Some(index) = self.find_upstream(upstream) else {
            return;
        };
        if let Some(step) = self.upstreams[index].excess_step() {
            let key = step.key.clone();
            self.remove_pair(&key, upstream);
        }
    }

    fn remove_pair(&mut self, step: &StepRef, upstream: &ObjectName) {
        let Some(index) = self.find_upstream(upstream) else {
            return;
        };
        let Some(removed) = self.upstreams[index].remove_step(step) else {
            return;
        };
        if self.upstreams[index].steps().is_empty() {
            self.upstreams.remove(index);
        }
        self.changed_upstreams.push(upstream.clone());
        let Some(index) = self.find_step(step) else {
            return;
        };
        self.steps[index].remove_upstream(upstream, removed.standing);
        match self.steps[index].is_empty() {
            true => drop(self.steps.remove(index)),
            false => self.review_step(step),
        }
    }

    fn upstream_row(&mut self, run: FailedRun) -> &mut UpstreamFailures {
        self.rows_read += 1;
        let name = run.upstream;
        let found = self.upstreams.binary_search_by(|row| row.name.cmp(name));
        let index = found.unwrap_or_else(|index| {
            let row = UpstreamFailures::new(name.clone(), run.is_upstream_proven);
            self.upstreams.insert(index, row);
            index
        });
        &mut self.upstreams[index]
    }

    fn step_row(&mut self, run: FailedRun) -> &mut StepFailures {
        self.rows_read += 1;
        let found = self.steps.binary_search_by(|row| row.key.cmp(run.step));
        let index = found.unwrap_or_else(|index| {
            let row = StepFailures::new(run.step.clone(), run.tasks, run.is_step_done);
            self.steps.insert(index, row);
            index
        });
        &mut self.steps[index]
    }

    fn find_upstream(&mut self, name: &ObjectName) -> Option<usize> {
        self.rows_read += 1;
        let found = self.upstreams.binary_search_by(|row| row.name.cmp(name));
        found.ok()
    }

    fn find_step(&mut self, key: &StepRef) -> Option<usize> {
        self.rows_read += 1;
        let found = self.steps.binary_search_by(|row| row.key.cmp(key));
        found.ok()
    }
}
