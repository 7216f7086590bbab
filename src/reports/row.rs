//! Computes the capacity report: one row per team and a row with the totals.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::journal::state::FoldState;
use crate::tables::job::{JobOutcome, JobRow, JobState};
use crate::tables::name::ObjectName;
use crate::tables::team::TeamRow;

/// Capacity and job figures of one team, or the totals of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReportRow {
    /// Name of the team; `total` in the last row.
    pub team: String,
    /// Number of accelerators guaranteed to the team.
    pub guaranteed: u64,
    /// Number of guaranteed accelerators that the healthy workers cannot provide now.
    pub short: u64,
    /// Number of accelerators that the team holds within its guarantee.
    pub claimed: u64,
    /// Number of accelerators that the team holds beyond its guarantee.
    pub borrowed: u64,
    /// Number of jobs that wait for a placement.
    pub waiting: u64,
    /// Number of jobs with an active attempt.
    pub running: u64,
    /// Number of jobs that finished successfully.
    pub finished: u64,
    /// Number of jobs that failed.
    pub failed: u64,
    /// Number of jobs that were cancelled.
    pub cancelled: u64,
    /// Number of evictions of the team's jobs to satisfy other teams' guarantees.
    pub evicted: u64,
    /// Mean time from submission to finish over the finished jobs, in ms; 0 without any.
    pub mean_completion_ms: u64,
    /// 95th percentile of the time from submission to finish, in ms; 0 without any finished job.
    pub p95_completion_ms: u64,
    /// Number of finished jobs that missed their deadline.
    pub late: u64,
}

/// Capacity report over all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReportView {
    /// Highest ticket in force when the report was computed.
    pub ticket: u64,
    /// Log time of the report, in ms since the Unix epoch.
    pub at_ms: u64,
    /// One row per team, sorted by name, followed by the row with the totals.
    pub rows: Vec<ReportRow>,
}

impl From<&FoldState> for ReportView {
    fn from(state: &FoldState) -> Self {
        let teams = state.teams.rows.iter();
        let mut rows: Vec<ReportRow> = teams.map(|team| report_row(state, team)).collect();
        rows.push(total_row(state, &rows));
        Self {
            ticket: state.tickets.highest,
            at_ms: state.now_ms,
            rows,
        }
    }
}

fn report_row(state: &FoldState, team: &TeamRow) -> ReportRow {
    let name = &team.spec.team;
    let jobs = state.jobs.rows.iter().map(AsRef::as_ref);
    let own: Vec<&JobRow> = jobs.filter(|job| job.spec.team == *name).collect();
    let mut row = ReportRow {
        team: name.to_string(),
        guaranteed: team.spec.guaranteed_accelerators(),
        short: short_accelerators(state, name),
        ..ReportRow::default()
    };
    own.iter().for_each(|job| count_job(&mut row, job));
    let (mean_ms, p95_ms) = completion_stats(&own);
    row.mean_completion_ms = mean_ms;
    row.p95_completion_ms = p95_ms;
    row
}

fn short_accelerators(state: &FoldState, team: &ObjectName) -> u64 {
    let short = state.short_guarantees();
    let own = short.iter().filter(|row| row.team == *team);
    own.map(|row| u64::from(row.shape.accelerators()) * u64::from(row.short))
        .sum()
}

fn count_job(row: &mut ReportRow, job: &JobRow) {
    row.evicted += u64::from(job.evictions);
    match &job.state {
        JobState::Waiting => row.waiting += 1,
        JobState::Active(attempt) => {
            row.running += 1;
            let held = match attempt.guaranteed {
                true => &mut row.claimed,
                false => &mut row.borrowed,
            };
            *held += u64::from(job.spec.accelerators());
        }
        JobState::Ended(JobOutcome::Finished) => {
            row.finished += 1;
            row.late += u64::from(missed_deadline(job));
        }
        JobState::Ended(JobOutcome::Cancelled) => row.cancelled += 1,
        JobState::Ended(JobOutcome::Failed(_)) => row.failed += 1,
    }
}

fn missed_deadline(job: &JobRow) -> bool {
    let took_ms = completion_ms(job);
    job.spec.deadline_ms.is_some_and(|limit| took_ms > limit)
}

fn completion_ms(job: &JobRow) -> u64 {
    job.ended_ms.unwrap_or(0).saturating_sub(job.submitted_ms)
}

/// Returns the mean and the 95th percentile of the time from submission to finish over the
/// finished jobs, in ms, or zeros if no job has finished.
fn completion_stats(jobs: &[&JobRow]) -> (u64, u64) {
    let finished = |job: &&&JobRow| job.state == JobState::Ended(JobOutcome::Finished);
    let mut times: Vec<u64> = jobs
        .iter()
        .filter(finished)
        .map(|job| completion_ms(job))
        .collect();
    if times.is_empty() {
        return (0, 0);
    }
    times.sort_unstable();
    let mean = times.iter().sum::<u64>() / times.len() as u64;
    let p95 = times[(times.len() * 95).div_ceil(100) - 1];
    (mean, p95)
}

fn total_row(state: &FoldState, rows: &[ReportRow]) -> ReportRow {
    let sum = |field: fn(&ReportRow) -> u64| rows.iter().map(field).sum();
    let jobs: Vec<&JobRow> = state.jobs.rows.iter().map(AsRef::as_ref).collect();
    let (mean_completion_ms, p95_completion_ms) = completion_stats(&jobs);
    ReportRow {
        team: "total".to_owned(),
        guaranteed: sum(|row| row.guaranteed),
        short: sum(|row| row.short),
        claimed: sum(|row| row.claimed),
        borrowed: sum(|row| row.borrowed),
        waiting: sum(|row| row.waiting),
        running: sum(|row| row.running),
        finished: sum(|row| row.finished),
        failed: sum(|row| row.failed),
        cancelled: sum(|row| row.cancelled),
        evicted: sum(|row| row.evicted),
        late: sum(|row| row.late),
        mean_completion_ms,
        p95_completion_ms,
    }
}
