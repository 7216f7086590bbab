//! Whether failed runs speak against their work or against their upstreams.
//!
//! A hopeless job fails wherever it runs, and a broken upstream fails whatever runs there. Each failure
//! is evidence against both. A step that fails on several upstreams, and has no task that was done,
//! counts little against each of them; an upstream on which several steps fail, or one that has tasks
//! done elsewhere, is likely to be at fault.

use crate::tables::name::ObjectName;

/// Failure score at which an upstream is excluded.
pub const EXCLUSION_SCORE: f64 = 2.0;
/// Most failures of one step that count against one upstream.
const STEP_FAILURES_MAX: f64 = EXCLUSION_SCORE;
/// Factor applied to the failures on an upstream for each run that it completes.
const SUCCESS_FACTOR: f64 = 0.3;
/// Time after its last failure for which a step's failures count, in ms.
const MEMORY_MS: u64 = 60_000;
/// Most steps whose failures are kept; the oldest are dropped first.
const STEPS_MAX: usize = 512;

/// Failures of a step on one upstream.
#[derive(Clone, Debug)]
struct UpstreamFailures {
    upstream: ObjectName,
    /// Number of failures, reduced by the runs that the upstream has completed since.
    count: f64,
}

/// Failures of a step of a job.
#[derive(Clone, Debug)]
struct StepFailures {
    job: ObjectName,
    step: u32,
    /// Sorted by upstream.
    upstreams: Vec<UpstreamFailures>,
    /// Number of tasks done since the first failure.
    done: u32,
    /// When a run failed last, steady ms.
    failed_ms: u64,
}

impl StepFailures {
    /// Returns the share of the step's failures for which its upstreams are to blame, in 0 to 1.
    fn upstream_share(&self) -> f64 {
        let (done, spread) = (f64::from(self.done), self.upstreams.len() as f64);
        (1.0 + done) / (spread + done)
    }

    fn score(&self, upstream: &ObjectName) -> f64 {
        let found = self.find(upstream);
        found.map_or(0.0, |index| {
            let count = self.upstreams[index].count.min(STEP_FAILURES_MAX);
            count * self.upstream_share()
        })
    }

    fn find(&self, upstream: &ObjectName) -> Result<usize, usize> {
        self.upstreams
            .binary_search_by(|row| row.upstream.cmp(upstream))
    }
}

/// Recent failures, a row for each step, sorted by job and step.
#[derive(Clone, Debug, Default)]
pub struct FailureLedger {
    rows: Vec<StepFailures>,
}

impl FailureLedger {
    /// Notes that a run of a step has failed on an upstream.
    pub fn add_failure(&mut self, job: &ObjectName, step: u32, upstream: &ObjectName, now_ms: u64) {
        self.drop_old(now_ms);
        let index = self.find(job, step).unwrap_or_else(|index| {
            let row = StepFailures {
                job: job.clone(),
                step,
                upstreams: Vec::new(),
                done: 0,
                failed_ms: now_ms,
            };
            self.rows.insert(index, row);
            index
        });
        let row = &mut self.rows[index];
        row.failed_ms = now_ms;
        match row.find(upstream) {
            Ok(at) => row.upstreams[at].count += 1.0,
            Err(at) => {
                let first = UpstreamFailures {
                    upstream: upstream.clone(),
                    count: 1.0,
                };
                row.upstreams.insert(at, first);
            }
        }
    }

    /// Notes that an upstream has completed a run of a step.
    pub fn add_success(&mut self, job: &ObjectName, step: u32, upstream: &ObjectName) {
        if let Ok(index) = self.find(job, step) {
            self.rows[index].done += 1;
        }
        for row in &mut self.rows {
            if let Ok(at) = row.find(upstream) {
                row.upstreams[at].count *= SUCCESS_FACTOR;
            }
        }
    }

    /// Returns the failures for which an upstream is to blame.
    pub fn score(&self, upstream: &ObjectName) -> f64 {
        self.rows.iter().map(|row| row.score(upstream)).sum()
    }

    /// Returns the number of steps with failures.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no failures.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find(&self, job: &ObjectName, step: u32) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&row.job, row.step).cmp(&(job, step)))
    }

    fn drop_old(&mut self, now_ms: u64) {
        self.rows
            .retain(|row| now_ms.saturating_sub(row.failed_ms) < MEMORY_MS);
        if self.rows.len() >= STEPS_MAX {
            let oldest = (0..self.rows.len()).min_by_key(|&index| self.rows[index].failed_ms);
            oldest.map(|index| self.rows.remove(index));
        }
    }
}
