//! Calls to the platform's store, which keeps keyed streams of records, and their results.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A stream of keyed records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamName {
    /// Jobs, cancellations, phases, the owner and hosts. Followed by all hosts.
    Jobs,
    /// State of the tasks of unfinished jobs. Read by a new owner.
    Runs,
    /// The operators' configuration.
    Config,
    /// The upstreams' reports.
    Upstreams,
}

impl StreamName {
    /// All streams, each at the index of its number.
    pub const ALL: [Self; 4] = [Self::Jobs, Self::Runs, Self::Config, Self::Upstreams];

    /// Returns the label that metrics carry.
    pub fn label(self) -> &'static str {
        match self {
            Self::Jobs => "jobs",
            Self::Runs => "runs",
            Self::Config => "config",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Key and value of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedValue {
    /// The store keeps the newest record of each key.
    pub key: String,
    /// An empty value deletes the key.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Upper bound of what a record takes in a call beyond its key and value, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 8;

impl KeyedValue {
    /// Returns an upper bound of the record's size in the store and in a call, in bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.len() + RECORD_OVERHEAD_BYTES
    }
}

/// A stored record with its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    pub offset: u64,
    pub entry: KeyedValue,
}

/// Makes an append idempotent and fences earlier epochs of the same writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterStamp {
    /// Name of the writer.
    pub writer: String,
    /// Increases whenever another process takes over the writer's name.
    pub epoch: u64,
    /// Number of the append in its epoch, from 0.
    pub sequence: u64,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Appends records atomically.
    Append {
        stream: StreamName,
        /// The records; empty to set the writer's epoch only.
        entries: Vec<KeyedValue>,
        stamp: Option<WriterStamp>,
        /// Append only if the stream ends at this offset.
        expected_end: Option<u64>,
    },
    /// Reads records in the order of their offsets.
    Read {
        stream: StreamName,
        /// First offset to read.
        from: u64,
        /// Time to wait for a record at the end of the stream, in ms.
        wait_ms: u64,
    },
    /// Reads the newest record of each key, one page at a time.
    Newest {
        stream: StreamName,
        /// Last key of the previous page.
        after: Option<String>,
    },
}

impl StoreCall {
    /// Returns a call that appends a record to the jobs stream. Sending it twice has no further
    /// effect.
    pub fn append_record(entry: KeyedValue) -> Self {
        Self::Append {
            stream: StreamName::Jobs,
            entries: vec![entry],
            stamp: None,
            expected_end: None,
        }
    }

    /// Returns the stream that the call is about.
    pub fn stream(&self) -> StreamName {
        match self {
            Self::Append { stream, .. }
            | Self::Read { stream, .. }
            | Self::Newest { stream, .. } => *stream,
        }
    }

    /// Returns the time for which the store may hold the call to wait for records, in ms.
    pub fn wait_ms(&self) -> u64 {
        match self {
            Self::Read { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }
}

/// The store's reply to a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReply {
    /// Records read; empty for an append.
    pub records: Vec<StreamRecord>,
    /// Offset of the first appended record.
    pub first: u64,
    /// Offset after the last record of the stream.
    pub end: u64,
    /// Whether more pages follow.
    pub more: bool,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreFailure {
    /// The call was not applied; the text is the reason.
    NotDone(String),
    /// The call may have been applied, or may still be; the text is the reason.
    Unknown(String),
    /// The store can never apply the call, for example because a record exceeds its limit; the text
    /// is the reason. The call was not applied.
    Refused(String),
    /// The store has seen a later epoch of the writer; the call was not applied.
    Fenced,
    /// The stream ends at another offset than expected; the call was not applied.
    Conflict,
    /// The store no longer has the records at the requested offset.
    Trimmed,
}

impl StoreFailure {
    /// Combines the failures of two attempts of one call, `other` being the later one. Returns
    /// the one that leaves the outcome less certain.
    pub fn less_certain(self, other: Self) -> Self {
        match self {
            Self::Unknown(_) => self,
            _ => other,
        }
    }

    /// Returns whether another attempt, or one by another path, may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::NotDone(_) | Self::Unknown(_))
    }
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(reason) => write!(formatter, "not done: {reason}"),
            Self::Unknown(reason) => write!(formatter, "may be done: {reason}"),
            Self::Refused(reason) => write!(formatter, "refused for good: {reason}"),
            Self::Fenced => formatter.write_str("another writer has taken over"),
            Self::Conflict => formatter.write_str("the stream has moved on"),
            Self::Trimmed => formatter.write_str("the records are gone"),
        }
    }
}
