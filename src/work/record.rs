//! Facts in the streams: encoding, keys and values.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Report, eyre};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;
use crate::work::config::QueueRule;
use crate::work::spec::WorkSpec;
use crate::work::stream::KeyedValue;

/// The module's former path, kept as the log target because operators filter by it.
const LOG_TARGET: &str = "hemlockramp::work::fact";

/// A job as accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The team, if the caller showed a key.
    pub team: Option<ObjectName>,
    /// The queue.
    pub queue: ObjectName,
    /// How the queue was treated at that time; used if the queue is gone.
    pub rule: QueueRule,
    /// When it was accepted, Unix ms by the accepting host.
    pub accepted_ms: u64,
    /// What to run.
    pub spec: WorkSpec,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// A caller took it back.
    Cancelled,
}

impl JobPhase {
    /// Returns whether nothing more will run.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Who owns the pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The host.
    pub host: ObjectName,
    /// Rises with each owner; the fencing token is made from it.
    pub term: u64,
    /// Whether the owner has given the pool up.
    pub released: bool,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Where it serves its peers.
    pub address: SocketAddr,
    /// Whether it has shut down.
    pub gone: bool,
    /// Whether it is large enough to be preferred as the pool's owner.
    #[serde(default)]
    pub large: bool,
}

/// A fact in the stream of jobs.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkRecord {
    /// A job was accepted.
    Job(ObjectName, Box<JobRecord>),
    /// A caller took it back.
    Cancel(ObjectName),
    /// It has reached a phase.
    Phase(ObjectName, JobPhase),
    /// The pool's owner, also as a sign of life.
    Owner(OwnerRecord),
    /// An entry host.
    Host(ObjectName, HostRecord),
}

/// Where a unit of tasks stands, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitRecord {
    /// Whether it is done.
    pub done: bool,
    /// Number of its last run.
    pub run: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Newest checkpoint known; empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: Arc<str>,
    /// Members that may be on an upstream.
    pub places: Vec<AssignmentRecord>,
}

/// A member's place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRecord {
    /// Index of the member in its unit.
    pub member: u32,
    /// The upstream.
    pub upstream: ObjectName,
    /// The upstream's life.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// A job's tasks, as stored in the stream of runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Units, in the order of rounds, steps and indexes.
    pub units: Vec<UnitRecord>,
}

/// Key of the owner's record.
const OWNER_KEY: &str = "owner";

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        log::error!(target: LOG_TARGET, "fact: a value cannot be encoded: {error}.");
    }
    bytes
}

fn decode<T: DeserializeOwned>(entry: &KeyedValue) -> Result<T, Report> {
    ciborium::from_reader(entry.value.as_slice()).map_err(|error| eyre!("{}: {error}", entry.key))
}

impl From<&WorkRecord> for KeyedValue {
    fn from(record: &WorkRecord) -> Self {
        let (key, value) = match record {
            WorkRecord::Job(id, job) => (format!("job:{id}"), encode(job)),
            WorkRecord::Cancel(id) => (format!("cancel:{id}"), encode(&true)),
            WorkRecord::Phase(id, phase) => (format!("phase:{id}"), encode(phase)),
            WorkRecord::Owner(owner) => (OWNER_KEY.to_owned(), encode(owner)),
            WorkRecord::Host(host, entry) => (format!("host:{host}"), encode(entry)),
        };
        Self { key, value }
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
            .ok_or_else(|| eyre!("key {:?} names no fact", entry.key))?;
        let name = ObjectName::try_from(name)?;
        match kind {
            "job" => Ok(Self::Job(name, Box::new(decode(entry)?))),
            "cancel" => Ok(Self::Cancel(name)),
            "phase" => Ok(Self::Phase(name, decode(entry)?)),
            "host" => Ok(Self::Host(name, decode(entry)?)),
            _ => Err(eyre!("key {:?} names no fact", entry.key)),
        }
    }
}

/// Encodes a job's tasks; none drops them.
pub fn encode_run_record(job: &ObjectName, record: Option<&RunRecord>) -> KeyedValue {
    KeyedValue {
        key: job.to_string(),
        value: record.map(encode).unwrap_or_default(),
    }
}

/// Decodes a job's tasks.
///
/// # Errors
///
/// Names the key of a record that cannot be read.
pub fn decode_run_record(entry: &KeyedValue) -> Result<(ObjectName, RunRecord), Report> {
    Ok((ObjectName::try_from(entry.key.as_str())?, decode(entry)?))
}
