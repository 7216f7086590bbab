//! Records of the journal, as they stand in the platform's log (JSON text).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::tables::cell::CellSpan;
use crate::tables::job::{JobSpec, TaskState};
use crate::tables::key::KeyOutcome;
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;
use crate::tables::ticket::TicketSpec;
use crate::tables::worker::WorkerState;

/// Unique id of a record: the appending process's random boot number and a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Random number of the process.
    #[serde(rename = "b")]
    pub boot: u64,
    /// Count within the process, from 1.
    #[serde(rename = "s")]
    pub seq: u64,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// Its id; a repeat is dropped.
    pub id: RecordId,
    /// The entry host that appended it.
    pub host: ObjectName,
    /// What it says.
    #[serde(flatten)]
    pub body: RecordBody,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "body", rename_all = "kebab-case")]
pub enum RecordBody {
    /// A job is submitted.
    Submit(JobSpec),
    /// Jobs are cancelled.
    Cancel(CancelRecord),
    /// A change ticket.
    Ticket(TicketSpec),
    /// A worker was seen, changed or went.
    Worker(WorkerRecord),
    /// A quarantined worker may be tried again.
    Probation(WorkerSlot),
    /// A job is given cells.
    Place(PlaceRecord),
    /// Borrowed work makes room for an urgent job.
    Evict(EvictRecord),
    /// A job can never run.
    Reject(RejectRecord),
    /// Tasks changed state.
    Tasks(Vec<TaskReport>),
    /// A request that must run at most once is about to be sent.
    Intent(IntentRecord),
    /// What became of such a request.
    Outcome(OutcomeRecord),
    /// A whole snapshot stands in the snapshot stream.
    Snapshot(SnapshotRecord),
    /// If the named record does not stand before this one, it never counts.
    Void(RecordId),
}

impl RecordBody {
    /// Returns the kind's name.
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

    /// Returns what the record is about, for the audit trail.
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

/// A snapshot that was written whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// Offset of the first record that it does not cover.
    pub covers: u64,
}

/// Jobs to cancel, as one batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRecord {
    /// The jobs.
    pub jobs: Vec<ObjectName>,
}

/// A worker as the platform's host list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Its name.
    pub name: ObjectName,
    /// Its failure domain.
    pub domain: ObjectName,
    /// Its rack.
    pub rack: ObjectName,
    /// Its position in the rack, from 0.
    pub position: u8,
    /// Its accelerators, 0 to 8.
    pub accelerators: u8,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: WorkerState,
}

/// A placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRecord {
    /// The job.
    pub job: ObjectName,
    /// The attempt this starts; one above the job's attempts so far.
    pub attempt: u32,
    /// The gang's cells.
    pub cells: Vec<CellSpan>,
    /// Whether it runs inside its team's guarantee.
    pub guaranteed: bool,
    /// Guaranteed cells to be given a place first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bind: Vec<CellSpan>,
    /// Borrowed attempts that must leave.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub victims: Vec<AttemptRef>,
}

/// Room for an urgent job beyond its team's guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictRecord {
    /// The urgent job; it waits until the cells are free.
    pub job: ObjectName,
    /// Borrowed attempts that must leave; none of them urgent.
    pub victims: Vec<AttemptRef>,
}

/// Names one attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The job.
    pub job: ObjectName,
    /// The attempt's number.
    pub attempt: u32,
}

/// A job that can never run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectRecord {
    /// The job.
    pub job: ObjectName,
    /// Why.
    pub reason: String,
}

/// A task's new state, as its keeper learnt it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The job.
    pub job: ObjectName,
    /// The attempt.
    pub attempt: u32,
    /// The task's index in the attempt.
    pub task: u16,
    /// Its state.
    pub state: TaskState,
    /// Time it ran, in ms, where the worker said so.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ran_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// A keyed request about to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRecord {
    /// The team.
    pub team: ObjectName,
    /// The caller's key.
    pub key: ObjectName,
    /// Hash of the request.
    pub digest: u64,
    /// When the caller first issued it, Unix ms.
    pub issued_ms: u64,
}

/// What became of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// The team.
    pub team: ObjectName,
    /// The caller's key.
    pub key: ObjectName,
    /// Offset of the intent it belongs to.
    pub intent: u64,
    /// What is known.
    pub outcome: KeyOutcome,
}
