//! What callers and operators read: views of the tables in JSON.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::journal::state::FoldState;
use crate::tables::audit::AuditRow;
use crate::tables::job::{AttemptPhase, JobOutcome, JobRow, JobState};
use crate::tables::name::ObjectName;

/// Answer to a change: it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ChangeView {
    /// Log offset of the record.
    pub offset: u64,
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct JobView {
    /// Its id.
    pub id: ObjectName,
    /// Its team.
    pub team: ObjectName,
    /// `waiting`, `reclaiming`, `preparing`, `running`, `stopping`, `finished`,
    /// `cancelled` or `failed`.
    pub state: String,
    /// Why it failed.
    pub reason: Option<String>,
    /// Attempts so far.
    pub attempts: u32,
    /// Times it was evicted.
    pub evictions: u32,
    /// Submission, Unix ms.
    pub submitted_ms: u64,
    /// Start of the attempt that runs, Unix ms.
    pub started_ms: Option<u64>,
    /// End, Unix ms.
    pub ended_ms: Option<u64>,
}

impl From<&JobRow> for JobView {
    fn from(row: &JobRow) -> Self {
        let reason = match &row.state {
            JobState::Ended(JobOutcome::Failed(reason)) => Some(reason.clone()),
            _ => None,
        };
        Self {
            id: row.spec.id.clone(),
            team: row.spec.team.clone(),
            state: state_name(&row.state).to_owned(),
            reason,
            attempts: row.attempts,
            evictions: row.evictions,
            submitted_ms: row.submitted_ms,
            started_ms: row.attempt().and_then(|attempt| attempt.started_ms),
            ended_ms: row.ended_ms,
        }
    }
}

fn state_name(state: &JobState) -> &'static str {
    match state {
        JobState::Waiting => "waiting",
        JobState::Active(attempt) => match attempt.phase {
            AttemptPhase::Reclaiming => "reclaiming",
            AttemptPhase::Preparing => "preparing",
            AttemptPhase::Running => "running",
            AttemptPhase::Stopping(_) => "stopping",
        },
        JobState::Ended(JobOutcome::Finished) => "finished",
        JobState::Ended(JobOutcome::Cancelled) => "cancelled",
        JobState::Ended(JobOutcome::Failed(_)) => "failed",
    }
}

/// One step of a job's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ExplainStep {
    /// Time, Unix ms.
    pub at_ms: u64,
    /// Log offset of the cause.
    pub offset: u64,
    /// What happened and why.
    pub text: String,
}

/// A job with its history and, while it waits, the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ExplainView {
    /// The job.
    pub job: JobView,
    /// Its steps, oldest first.
    pub steps: Vec<ExplainStep>,
    /// Where its tasks are and how they stand.
    pub tasks: Vec<TaskView>,
    /// Why it waits now.
    pub waits_for: Option<String>,
}

/// One task of the attempt that holds accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskView {
    /// Its worker.
    pub worker: String,
    /// Its accelerators, as bits of the worker.
    pub accelerators: u8,
    /// Its state.
    pub state: String,
}

/// A ticket and where it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TicketView {
    /// Its number.
    pub number: u64,
    /// Its author.
    pub author: ObjectName,
    /// Teams it touched.
    pub teams: Vec<ObjectName>,
    /// Since when it stands, Unix ms.
    pub accepted_ms: u64,
    /// Its log offset.
    pub offset: u64,
    /// Hosts that have it in force.
    pub in_force: Vec<ObjectName>,
    /// Listed hosts that are not known to have it in force.
    pub missing: Vec<ObjectName>,
}

/// Which audit rows are wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct AuditFilter {
    /// Only rows of this kind.
    pub kind: Option<String>,
    /// Only rows of this actor.
    pub actor: Option<String>,
    /// Only rows whose subject contains this text.
    pub subject: Option<String>,
    /// Only refused rows.
    pub refused: bool,
    /// Most rows, newest kept; 0 for all.
    pub limit: usize,
}

impl AuditFilter {
    /// Returns whether a row is wanted.
    pub fn matches(&self, row: &AuditRow) -> bool {
        let same = |wanted: &Option<String>, found: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == found)
        };
        let subject = self.subject.as_ref();
        same(&self.kind, &row.kind)
            && same(&self.actor, row.actor.as_str())
            && subject.is_none_or(|text| row.subject.contains(text.as_str()))
            && (!self.refused || row.refused.is_some())
    }

    /// Returns the wanted rows, oldest first.
    pub fn select(&self, state: &FoldState) -> Vec<AuditRow> {
        let wanted = state.audit.rows.iter().filter(|row| self.matches(row));
        let rows: Vec<AuditRow> = wanted.cloned().collect();
        let skip = match self.limit {
            0 => 0,
            limit => rows.len().saturating_sub(limit),
        };
        rows.into_iter().skip(skip).collect()
    }
}

/// One entry host as a peer sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PeerView {
    /// Its name.
    pub host: ObjectName,
    /// Whether it was heard of lately.
    pub live: bool,
    /// Offset of the next record it folds.
    pub folded: u64,
    /// Highest ticket it has in force.
    pub ticket: u64,
}

/// One worker as the journal knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkerView {
    /// Its name.
    pub worker: ObjectName,
    /// Its failure domain.
    pub domain: ObjectName,
    /// Its rack.
    pub rack: ObjectName,
    /// `live`, `leaving`, `down`, `gone` or `quarantined`.
    pub state: String,
    /// Its accelerators.
    pub accelerators: u32,
    /// Of these, how many are held.
    pub held: u32,
}

/// All hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostsView {
    /// Entry hosts.
    pub entry: Vec<PeerView>,
    /// Workers.
    pub workers: Vec<WorkerView>,
}

/// An error as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ErrorView {
    /// `not-run`, `may-have-run` or `ran`.
    pub verdict: crate::routing::verdict::RunVerdict,
    /// Why.
    pub reason: String,
    /// When to try again, in ms.
    pub retry_ms: Option<u64>,
}
