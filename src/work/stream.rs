//! Calls to the platform's store: keyed streams of records.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A stream of keyed records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamName {
    /// Jobs, cancellations, phases, the owner, hosts. All hosts follow it.
    Jobs,
    /// Where the tasks of unfinished jobs run. Read by a new owner.
    Runs,
    /// The operators' configuration.
    Config,
    /// The upstreams' reports.
    Upstreams,
}

/// A record to be written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedValue {
    /// Its key; the newest record of each key is kept.
    pub key: String,
    /// Its value; empty drops the key.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A record as it is read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Its offset.
    pub offset: u64,
    /// Key and value.
    pub entry: KeyedValue,
}

/// Makes an append idempotent and shuts out earlier epochs of the same writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterStamp {
    /// The writer's name.
    pub writer: String,
    /// Rises with each change of who writes by this name.
    pub epoch: u64,
    /// Number of the append in the epoch, from 0.
    pub sequence: u64,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Appends records, all or none.
    Append {
        /// The stream.
        stream: StreamName,
        /// The records; none to set the writer's epoch only.
        entries: Vec<KeyedValue>,
        /// Stamp of the writer.
        stamp: Option<WriterStamp>,
        /// Append only if the stream ends at this offset.
        expected_end: Option<u64>,
    },
    /// Reads records as they were appended.
    Read {
        /// The stream.
        stream: StreamName,
        /// First offset wanted.
        from: u64,
        /// How long to wait for one, in ms.
        wait_ms: u64,
    },
    /// Reads the newest record of each key, a page at a time.
    Newest {
        /// The stream.
        stream: StreamName,
        /// Last key of the page before.
        after: Option<String>,
    },
}

impl StoreCall {
    /// Appends a record to the stream of jobs; it may be made twice without harm.
    pub fn append_record(entry: KeyedValue) -> Self {
        Self::Append {
            stream: StreamName::Jobs,
            entries: vec![entry],
            stamp: None,
            expected_end: None,
        }
    }

    /// Returns how long the store may take on purpose, in ms.
    pub fn wait_ms(&self) -> u64 {
        match self {
            Self::Read { wait_ms, .. } => *wait_ms,
            _ => 0,
        }
    }
}

/// The store's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReply {
    /// Records read; none for an append.
    pub records: Vec<StreamRecord>,
    /// Offset of the first record appended.
    pub first: u64,
    /// Offset after the last record of the stream.
    pub end: u64,
    /// Whether more pages follow.
    pub more: bool,
}

/// Why the store gave no reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreFailure {
    /// Nothing was done.
    NotDone(String),
    /// It may have been done, or may still be.
    Unknown(String),
    /// A later epoch of the writer has been seen; nothing was done.
    Fenced,
    /// The stream ends at another offset; nothing was done.
    Conflict,
    /// Records from the asked offset on are gone.
    Trimmed,
}

impl StoreFailure {
    /// Returns the failure of two tries after which less is certain.
    pub fn less_certain(self, other: Self) -> Self {
        match self {
            Self::Unknown(_) => self,
            _ => other,
        }
    }

    /// Returns whether asking by another way may help.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::NotDone(_) | Self::Unknown(_))
    }
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(reason) => write!(formatter, "not done: {reason}"),
            Self::Unknown(reason) => write!(formatter, "may be done: {reason}"),
            Self::Fenced => formatter.write_str("another writer has taken over"),
            Self::Conflict => formatter.write_str("the stream has moved on"),
            Self::Trimmed => formatter.write_str("the records are gone"),
        }
    }
}
