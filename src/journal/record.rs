//! Defines the journal's records, which the platform's log service stores as JSON text.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::tables::cell::CellSpan;
use crate::tables::job::{JobSpec, TaskState};
use crate::tables::key::KeyOutcome;
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;
use crate::tables::ticket::TicketSpec;
use crate::tables::worker::WorkerState;

/// Unique id of a record, by which duplicates are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Random number that the appending process drew when it started.
    #[serde(rename = "b")]
    pub boot: u64,
    /// Sequence number within the process, from 1.
    #[serde(rename = "s")]
    pub seq: u64,
}

/// A journal record, as appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// Unique id; a second record with the same id is dropped.
    pub id: RecordId,
    /// The entry host that appended the record.
    pub host: ObjectName,
    /// The change that the record requests or reports.
    #[serde(flatten)]
    pub body: RecordBody,
}

/// The content of a record, by kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "body", rename_all = "kebab-case")]
pub enum RecordBody {
    /// Submits a job.
    Submit(JobSpec),
    /// Cancels jobs.
    Cancel(CancelRecord),
    /// Applies a change ticket to the teams it names.
    Ticket(TicketSpec),
    /// Reports that a worker appeared, changed or disappeared.
    Worker(WorkerRecord),
    /// Ends a worker's quarantine; one more failed job quarantines it again.
    Probation(WorkerSlot),
    /// Places a job on cells.
    Place(PlaceRecord),
    /// Evicts borrowed work to make room for an urgent job.
    Evict(EvictRecord),
    /// Fails a job that can never run.
    Reject(RejectRecord),
    /// Reports new states of tasks.
    Tasks(Vec<TaskReport>),
    /// Reports that a request that must run at most once is about to be sent.
    Intent(IntentRecord),
    /// Reports the outcome of a request announced by an intent.
    Outcome(OutcomeRecord),
    /// Reports that a complete snapshot is in the snapshot stream.
    Snapshot(SnapshotRecord),
    /// Invalidates the named record unless it precedes this one in the log.
    Void(RecordId),
}

impl RecordBody {
    /// Returns the kind, as the record's `kind` field encodes it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Cancel(_) => "cancel",
            Self::Ticket(_) => "ticket",
            Self::Worker(_) => "worker",
            Self::Probation(_) => "probation",
            Self::Place(_) => "place",
            Self::Evict(_) => "evict",
            Self::Reject(_) => "reject",
            Self::Tasks(_) => "tasks",
            Self::Intent(_) => "intent",
            Self::Outcome(_) => "outcome",
            Self::Snapshot(_) => "snapshot",
            Self::Void(_) => "void",
        }
    }

    /// Returns a description of the object that the record changes, for the audit trail.
    pub fn subject(&self) -> String {
        match self {
            Self::Submit(job) => format!("job {}", job.id),
            Self::Cancel(cancel) => subject_of_cancel(cancel),
            Self::Ticket(ticket) => format!("ticket {}", ticket.number),
            Self::Worker(worker) => format!("worker {}", worker.name),
            Self::Probation(slot) => format!("rack {} position {}", slot.rack, slot.position),
            Self::Place(place) => format!("job {} attempt {}", place.job, place.attempt),
            Self::Evict(evict) => format!("room for job {}", evict.job),
            Self::Reject(reject) => format!("job {}", reject.job),
            Self::Tasks(reports) => subject_of_tasks(reports),
            Self::Intent(intent) => format!("key {}/{}", intent.team, intent.key),
            Self::Outcome(outcome) => format!("key {}/{}", outcome.team, outcome.key),
            Self::Snapshot(done) => format!("records before {}", done.covers),
            Self::Void(id) => format!("record {:x}-{}", id.boot, id.seq),
        }
    }
}

fn subject_of_cancel(cancel: &CancelRecord) -> String {
    match cancel.jobs.as_slice() {
        [job] => format!("job {job}"),
        jobs => format!("{} jobs", jobs.len()),
    }
}

fn subject_of_tasks(reports: &[TaskReport]) -> String {
    let first = reports.first();
    let job = first.map_or(String::new(), |report| {
        format!(", first of job {}", report.job)
    });
    format!("{} tasks{job}", reports.len())
}

/// Announces a snapshot all of whose parts were appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// Offset of the first journal record that the snapshot does not cover.
    pub covers: u64,
}

/// A batch of jobs to cancel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRecord {
    pub jobs: Vec<ObjectName>,
}

/// A worker on the platform's host list, with its current state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    pub name: ObjectName,
    pub domain: ObjectName,
    /// Name of the rack, unique in its failure domain.
    pub rack: ObjectName,
    /// Position in the rack, from 0 to 15.
    pub position: u8,
    /// Number of accelerators, 0 to 8.
    pub accelerators: u8,
    /// Address of the worker's API.
    pub address: SocketAddr,
    pub state: WorkerState,
}

/// The placement of one attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRecord {
    pub job: ObjectName,
    /// Number of the attempt that this starts: one above the job's attempts so far.
    pub attempt: u32,
    /// The gang's cells, one per shape.
    pub cells: Vec<CellSpan>,
    /// Whether the attempt runs inside its team's guarantee rather than on borrowed capacity.
    pub guaranteed: bool,
    /// Cells to bind to the team's guarantee before the gang's cells are taken.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bind: Vec<CellSpan>,
    /// Borrowed attempts that are evicted from the cells.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub victims: Vec<AttemptRef>,
}

/// Eviction of borrowed work for an urgent job that exceeds its team's guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictRecord {
    /// The urgent job, which keeps waiting until the cells are free.
    pub job: ObjectName,
    /// Borrowed attempts to evict; none of them may be urgent.
    pub victims: Vec<AttemptRef>,
}

/// Identifies one attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptRef {
    pub job: ObjectName,
    /// Attempt number, from 1.
    pub attempt: u32,
}

/// Rejection of a waiting job that can never run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectRecord {
    pub job: ObjectName,
    /// The reason, shown to the caller.
    pub reason: String,
}

/// A new state of a task, reported by its worker or derived from the worker's silence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    pub job: ObjectName,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// Index in the attempt's tasks.
    pub task: u16,
    pub state: TaskState,
    /// Run time in ms; 0 when the worker did not report one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ran_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// A request with an idempotency key that is about to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRecord {
    /// The team, which scopes the key.
    pub team: ObjectName,
    /// The caller's idempotency key.
    pub key: ObjectName,
    /// Hash of the request's method, path and body.
    pub digest: u64,
    /// When the caller first issued the request, in Unix ms.
    pub issued_ms: u64,
}

/// The outcome of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// The team, which scopes the key.
    pub team: ObjectName,
    /// The caller's idempotency key.
    pub key: ObjectName,
    /// Log offset of the intent that announced the request.
    pub intent: u64,
    /// What is known about the execution.
    pub outcome: KeyOutcome,
}
