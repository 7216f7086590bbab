//! Records of the jobs stream and the runs stream: keys, values and their CBOR encoding.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Report, eyre};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;
use crate::work::model::config::QueueRule;
use crate::work::model::crash_record::CrashRecord;
use crate::work::model::spec::WorkSpec;
use crate::work::model::stream::KeyedValue;

/// The module's former path, kept as the log target because operators filter by it.
const LOG_TARGET: &str = "hemlockramp::work::fact";

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The caller's team; none on a public route without a known key.
    pub team: Option<ObjectName>,
    pub queue: ObjectName,
    /// Version of the configuration that admitted the job; 0 if unknown.
    #[serde(default)]
    pub config_version: u64,
    /// The queue's policy at the time of acceptance; used if the queue no longer exists or this
    /// host's configuration is older.
    pub rule: QueueRule,
    /// When the job was accepted, Unix ms by the accepting host's clock.
    pub accepted_ms: u64,
    pub spec: WorkSpec,
}

/// Phase of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have finished successfully.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// A caller has cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the phase is final.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// The pool's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub host: ObjectName,
    /// Increases with each owner; fencing tokens are derived from it.
    pub term: u64,
    /// Whether the owner has released the pool.
    pub released: bool,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Address at which the host serves its peers.
    pub address: SocketAddr,
    /// Whether the host has shut down.
    pub gone: bool,
    /// Whether the host is large enough to be preferred as the pool's owner.
    #[serde(default)]
    pub large: bool,
}

/// A record of the jobs stream.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkRecord {
    /// A job was accepted.
    Job(ObjectName, Box<JobRecord>),
    /// A job was cancelled by a caller, who was admitted by this version of the configuration; 0 if
    /// unknown.
    Cancel(ObjectName, u64),
    /// A job has reached a phase.
    Phase(ObjectName, JobPhase),
    /// The pool's owner; repeated as its heartbeat.
    Owner(OwnerRecord),
    /// An entry host.
    Host(ObjectName, HostRecord),
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Stored state of a unit, a group of tasks that are placed together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRecord {
    /// Whether the unit has finished successfully.
    pub done: bool,
    /// Number of the latest run.
    pub run: u32,
    /// Number of failed runs.
    pub failed: u32,
    /// Number of the run that was counted last as failed; 0 for none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed_run: u32,
    /// Newest known checkpoint; empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Arc<str>,
    /// Runs of members that were lost with their upstream.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
    /// Members that may still be running on an upstream.
    pub places: Vec<AssignmentRecord>,
}

/// The assignment of a unit's member to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRecord {
    /// Index of the member in its unit.
    pub member: u32,
    pub upstream: ObjectName,
    /// Incarnation of the upstream.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// Number of a job's consecutive tasks whose state shares a row. A row's size and the bytes that a
/// change writes are bounded by it, not by the job.
pub const TASKS_PER_ROW: u32 = 32;

/// Stored state of consecutive tasks of a job, a record of the runs stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Units that have tasks in the row, ordered by round, step and index. A unit with tasks in
    /// several rows is in each of them, with its tasks of that row.
    pub units: Vec<UnitRecord>,
}

/// A row of a job in the runs stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRow {
    /// Number of the row in its job; none for a row with all tasks, as older versions wrote it.
    pub number: Option<u32>,
    pub record: RunRecord,
}

/// Key of the owner's record.
const OWNER_KEY: &str = "owner";

pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        log::error!(
            target: LOG_TARGET,
            "fact: encoding a record failed, its value is incomplete: {error}."
        );
    }
    bytes
}

pub(super) fn decode<T: DeserializeOwned>(entry: &KeyedValue) -> Result<T, Report> {
    ciborium::from_reader(entry.value.as_slice()).map_err(|error| eyre!("{}: {error}", entry.key))
}

impl From<&WorkRecord> for KeyedValue {
    fn from(record: &WorkRecord) -> Self {
        let (key, value) = match record {
            WorkRecord::Job(id, job) => (format!("job:{id}"), encode(job)),
            WorkRecord::Cancel(id, version) => (format!("cancel:{id}"), encode(version)),
            WorkRecord::Phase(id, phase) => (format!("phase:{id}"), encode(phase)),
            WorkRecord::Owner(owner) => (OWNER_KEY.to_owned(), encode(owner)),
            WorkRecord::Host(host, entry) => (format!("host:{host}"), encode(entry)),
        };
        Self { key, value }
    }
}

impl WorkRecord {
    /// Returns the version of the configuration that the record gives effect to; 0 if none is
    /// known.
    pub fn config_version(&self) -> u64 {
        match self {
            Self::Job(_, job) => job.config_version,
            Self::Cancel(_, version) => *version,
            _ => 0,
        }
    }
}

impl TryFrom<&KeyedValue> for WorkRecord {
    type Error = Report;

    fn try_from(entry: &KeyedValue) -> Result<Self, Report> {
        if entry.key == OWNER_KEY {
            return Ok(Self::Owner(decode(entry)?));
        }
        let (kind, name) = entry
            .key
            .split_once(':')
            .ok_or_else(|| eyre!("unknown record key {:?}: no kind before a colon", entry.key))?;
        let name = ObjectName::try_from(name)?;
        match kind {
            "job" => Ok(Self::Job(name, Box::new(decode(entry)?))),
            // Older records hold `true` in place of the version.
            "cancel" => Ok(Self::Cancel(name, decode(entry).unwrap_or_default())),
            "phase" => Ok(Self::Phase(name, decode(entry)?)),
            "host" => Ok(Self::Host(name, decode(entry)?)),
            _ => Err(eyre!(
                "unknown record key {:?}: the kind must be job, cancel, phase or host",
                entry.key
            )),
        }
    }
}

/// Returns the key of a row of a job.
pub fn run_row_key(job: &ObjectName, number: Option<u32>) -> String {
    match number {
        Some(number) => format!("{job}/{number}"),
        None => job.to_string(),
    }
}

/// Encodes a row of a job's tasks.
pub fn encode_run_row(job: &ObjectName, row: &RunRow) -> KeyedValue {
    KeyedValue {
        key: run_row_key(job, row.number),
        value: encode(&row.record),
    }
}

/// Returns the job of a row with this key.
///
/// # Errors
///
/// Returns an error if the key does not begin with a job id.
pub fn job_of_row(key: &str) -> Result<ObjectName, Report> {
    let job = key.split_once('/').map_or(key, |(job, _)| job);
    ObjectName::try_from(job)
}

/// Decodes a row of a job's tasks.
///
/// # Errors
///
/// Returns an error if the key is not that of a row or the value cannot be decoded.
pub fn decode_run_row(entry: &KeyedValue) -> Result<(ObjectName, RunRow), Report> {
    let number = match entry.key.split_once('/') {
        Some((_, number)) => Some(number.parse()?),
        None => None,
    };
    let row = RunRow {
        number,
        record: decode(entry)?,
    };
    Ok((job_of_row(&entry.key)?, row))
}
