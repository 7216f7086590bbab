//! Invariant checks over the runs of all workers: no two attempts of a job overlap in time,
//! and at most one attempt of a job finishes all its tasks.

use std::collections::BTreeMap;

use hemlockramp::wire::worker::WorkerTaskState;

use crate::worker::TaskRun;

/// Summary of one attempt's runs on all workers. Times are Unix ms.
#[derive(Clone, Debug)]
struct AttemptRuns {
    first_ms: u64,
    last_ms: u64,
    finished: usize,
    tasks: usize,
    last_start_ms: u64,
    first_end_ms: u64,
}

/// Invariant violations, and how long gangs ran with only some of their tasks.
#[derive(Clone, Debug, Default)]
pub struct RunFindings {
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    /// Longest time between a gang's first and last start, in ms.
    pub partial_start_ms: u64,
    /// Longest time that tasks of a gang kept running after the first one had stopped or
    /// failed, in ms.
    pub partial_end_ms: u64,
}

/// Checks the runs of all workers against the invariants.
pub fn check_runs(runs: &[TaskRun]) -> RunFindings {
    let mut jobs: BTreeMap<&str, BTreeMap<u64, AttemptRuns>> = BTreeMap::new();
    for run in runs {
        let job = run.task.split('/').next().unwrap_or("");
        add_run(jobs.entry(job).or_default(), run);
    }
    let mut findings = RunFindings::default();
    for (job, attempts) in &jobs {
        check_job(job, attempts, &mut findings);
    }
    findings
}

fn add_run(attempts: &mut BTreeMap<u64, AttemptRuns>, run: &TaskRun) {
    let ended_ms = run.ended_ms.unwrap_or(u64::MAX);
    let attempt = attempts.entry(run.token).or_insert(AttemptRuns {
        first_ms: run.started_ms,
        last_ms: 0,
        finished: 0,
        tasks: 0,
        last_start_ms: 0,
        first_end_ms: u64::MAX,
    });
    attempt.first_ms = attempt.first_ms.min(run.started_ms);
    attempt.last_ms = attempt.last_ms.max(ended_ms);
    attempt.last_start_ms = attempt.last_start_ms.max(run.started_ms);
    attempt.tasks += 1;
    match run.state {
        WorkerTaskState::Finished => attempt.finished += 1,
        // A task that finished normally does not make its gang partial.
        _ => attempt.first_end_ms = attempt.first_end_ms.min(ended_ms),
    }
}

fn check_job(job: &str, attempts: &BTreeMap<u64, AttemptRuns>, findings: &mut RunFindings) {
    let mut previous: Option<&AttemptRuns> = None;
    let mut completed_attempts = 0;
    for attempt in attempts.values() {
        if previous.is_some_and(|old| attempt.first_ms < old.last_ms) {
            findings
                .violations
                .push(format!("two attempts of {job} ran at once"));
        }
        completed_attempts += usize::from(attempt.finished == attempt.tasks);
        let start_ms = attempt.last_start_ms - attempt.first_ms;
        findings.partial_start_ms = findings.partial_start_ms.max(start_ms);
        if attempt.last_ms != u64::MAX {
            let end_ms = attempt.last_ms.saturating_sub(attempt.first_end_ms);
            findings.partial_end_ms = findings.partial_end_ms.max(end_ms);
        }
        previous = Some(attempt);
    }
    if completed_attempts > 1 {
        findings
            .violations
            .push(format!("{job} finished {completed_attempts} times"));
    }
}
