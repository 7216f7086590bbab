//! Whether failed runs speak against their work or against their upstreams.
//!
//! A hopeless job fails wherever it runs, and a broken upstream fails whatever runs there. Each failure
//! is evidence against both. A step that fails on several upstreams, and has no task that was done,
//! counts little against each of them; an upstream on which several steps fail, or one that has tasks
//! done elsewhere, is likely to be at fault.
//!
//! Failures are found by step and by upstream, and each call reads a bounded number of them, however
//! large the pool is. What a call leaves over is done by the next ones.

use std::collections::VecDeque;

use crate::tables::name::ObjectName;
use crate::work::owner::step_failures::{StepFailures, StepRef};
use crate::work::owner::upstream_failures::UpstreamFailures;

/// Failure score at which an upstream is excluded.
pub const EXCLUSION_SCORE: f64 = 2.0;
/// Most failures of one step that count against one upstream.
const STEP_FAILURES_MAX: f64 = EXCLUSION_SCORE;
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
    key: StepRef,
    upstream: ObjectName,
    /// When the first run failed, steady ms; tells a pair from an earlier one of the same names.
    first_ms: u64,
    /// When to look, steady ms.
    due_ms: u64,
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
    /// Notes that a run of a step has failed on an upstream.
    pub fn add_failure(&mut self, key: &StepRef, upstream: &ObjectName, now_ms: u64) {
        let row = self.upstream_row(upstream);
        let is_first = row.add_failure(key, now_ms);
        if is_first {
            self.step_row(key).add_upstream(upstream);
            self.aging.push_back(AgingPair {
                key: key.clone(),
                upstream: upstream.clone(),
                first_ms: now_ms,
                due_ms: now_ms + MEMORY_MS,
            });
            self.drop_excess(upstream);
            self.queue_step(key);
        }
        self.changed_upstreams.push(upstream.clone());
    }

    /// Notes that an upstream has completed a run of a step.
    pub fn add_success(&mut self, key: &StepRef, upstream: &ObjectName) {
        if let Some(index) = self.find_step(key) {
            self.steps[index].add_done();
            self.queue_step(key);
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
        self.rows_read += changes.len();
        changes
    }

    /// Returns the failures for which an upstream is to blame.
    pub fn score(&mut self, upstream: &ObjectName) -> f64 {
        let Some(index) = self.find_upstream(upstream) else {
            return 0.0;
        };
        let mut score = 0.0;
        let failed = self.upstreams[index].steps().len();
        self.rows_read += 2 * failed;
        for step in self.upstreams[index].steps() {
            let found = self.steps.binary_search_by(|row| row.key.cmp(&step.key));
            let share = found.map_or(0.0, |index| self.steps[index].upstream_share());
            score += step.count.min(STEP_FAILURES_MAX) * share;
        }
        score
    }

    /// Returns whether there are no failures.
    pub fn is_empty(&self) -> bool {
        self.aging.is_empty()
    }

    /// Returns the number of rows read since the last call.
    pub fn take_rows_read(&mut self) -> usize {
        std::mem::take(&mut self.rows_read)
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
            self.remove_pair(&pair.key, &pair.upstream);
        }
    }

    /// Returns when the pair's last run failed; `None` if it is gone.
    fn last_failure_ms(&mut self, pair: &AgingPair) -> Option<u64> {
        let index = self.find_upstream(&pair.upstream)?;
        let step = self.upstreams[index].step(&pair.key)?;
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

    fn remove_pair(&mut self, key: &StepRef, upstream: &ObjectName) {
        if let Some(index) = self.find_upstream(upstream) {
            self.upstreams[index].remove_step(key);
            if self.upstreams[index].steps().is_empty() {
                self.upstreams.remove(index);
            }
        }
        if let Some(index) = self.find_step(key) {
            self.steps[index].remove_upstream(upstream);
            match self.steps[index].is_empty() {
                true => drop(self.steps.remove(index)),
                false => self.queue_step(key),
            }
        }
        self.changed_upstreams.push(upstream.clone());
    }

    /// Queues the upstreams of a step to be scored anew.
    fn queue_step(&mut self, key: &StepRef) {
        if self.step_row(key).queue_upstreams() {
            self.changed_steps.push_back(key.clone());
        }
    }

    fn upstream_row(&mut self, name: &ObjectName) -> &mut UpstreamFailures {
        self.rows_read += 1;
        let found = self.upstreams.binary_search_by(|row| row.name.cmp(name));
        let index = found.unwrap_or_else(|index| {
            self.upstreams
                .insert(index, UpstreamFailures::new(name.clone()));
            index
        });
        &mut self.upstreams[index]
    }

    fn step_row(&mut self, key: &StepRef) -> &mut StepFailures {
        self.rows_read += 1;
        let found = self.steps.binary_search_by(|row| row.key.cmp(key));
        let index = found.unwrap_or_else(|index| {
            self.steps.insert(index, StepFailures::new(key.clone()));
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
