//! JSON views of the tables for callers and operators.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::journal::state::FoldState;
use crate::tables::audit::AuditRow;
use crate::tables::job::{AttemptPhase, JobOutcome, JobRow, JobState};
use crate::tables::name::ObjectName;

/// Response to a change that has been committed to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ChangeView {
    /// Log offset of the record.
    pub offset: u64,
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct JobView {
    pub id: ObjectName,
    pub team: ObjectName,
    /// `waiting`, `reclaiming`, `preparing`, `running`, `stopping`, `finished`,
    /// `cancelled` or `failed`.
    pub state: String,
    /// Why it failed; only if it did.
    pub reason: Option<String>,
    /// Attempts so far.
    pub attempts: u32,
    /// How often it was evicted.
    pub evictions: u32,
    /// Time of submission, Unix ms.
    pub submitted_ms: u64,
    /// Start of the current attempt, Unix ms.
    pub started_ms: Option<u64>,
    /// Time at which it ended, Unix ms.
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
    /// Unix ms.
    pub at_ms: u64,
    /// Log offset of the record that caused the step.
    pub offset: u64,
    /// What happened and why.
    pub text: String,
}

/// A job with its history and, while it waits, the reason for that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ExplainView {
    pub job: JobView,
    /// Oldest first.
    pub steps: Vec<ExplainStep>,
    /// Workers and states of its tasks.
    pub tasks: Vec<TaskView>,
    /// Why it waits; only while it does.
    pub waits_for: Option<String>,
}

/// One task of the attempt that holds accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskView {
    pub worker: String,
    /// Bit mask of the worker's accelerators that it uses.
    pub accelerators: u8,
    pub state: String,
}

/// A ticket and the hosts where it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TicketView {
    pub number: u64,
    pub author: ObjectName,
    /// Teams that it changed.
    pub teams: Vec<ObjectName>,
    /// Time of its acceptance, Unix ms.
    pub accepted_ms: u64,
    /// Log offset of its record.
    pub offset: u64,
    /// Hosts where it is in force.
    pub in_force: Vec<ObjectName>,
    /// Listed hosts where it is not known to be in force.
    pub missing: Vec<ObjectName>,
}

/// Selects rows of the audit trail.
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
    /// Largest number of rows, of which the newest are returned; 0 for all.
    pub limit: usize,
}

impl AuditFilter {
    /// Returns whether a row passes the filter, apart from `limit`.
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

    /// Returns the selected rows, oldest first.
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
    pub host: ObjectName,
    /// Whether a heartbeat of it arrived recently.
    pub live: bool,
    /// Offset of the next record it folds.
    pub folded: u64,
    /// Highest ticket in force there.
    pub ticket: u64,
}

/// One worker as recorded in the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct WorkerView {
    pub worker: ObjectName,
    pub domain: ObjectName,
    pub rack: ObjectName,
    /// `live`, `leaving`, `down`, `gone` or `quarantined`.
    pub state: String,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// How many of them are held by attempts.
    pub held: u32,
}

/// All hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostsView {
    /// Entry hosts.
    pub entry: Vec<PeerView>,
    pub workers: Vec<WorkerView>,
}

/// An error as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ErrorView {
    /// `not-run`, `may-have-run` or `ran`.
    pub verdict: crate::routing::verdict::RunVerdict,
    pub reason: String,
    /// When to retry, in ms from now.
    pub retry_ms: Option<u64>,
}
