//! The platform's log service: append, and read with a long poll.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Body of `POST /streams/{stream}/append`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AppendRequest {
    /// Records, kept together and in this order.
    pub records: Vec<String>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AppendResponse {
    /// Offset of the first record.
    pub first: u64,
}

/// One record as it is read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// The log's time for it, Unix ms.
    pub at_ms: u64,
    /// Its text.
    pub text: String,
}

/// Answer of `GET /streams/{stream}/records?from=&max=&wait_ms=`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReadResponse {
    /// Records from the asked offset on, or from the first retained one if that is later.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record kept.
    pub first_retained: u64,
    /// Offset that the next append will get.
    pub next: u64,
}

/// What a host on the platform's list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// One of the system's own hosts; the address is its scheduler's.
    Entry,
    /// Runs tasks.
    Worker,
    /// Serves requests.
    Runner,
}

/// A host's state on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// One host of `GET /hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostEntry {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: HostKind,
    /// IP address and port.
    pub address: String,
    /// Its state.
    pub state: HostState,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its rack; workers only.
    #[serde(default)]
    pub rack: String,
    /// Its position in the rack; workers only.
    #[serde(default)]
    pub position: u8,
    /// Its accelerators; workers only.
    #[serde(default)]
    pub accelerators: u8,
}

/// Answer of `GET /hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostListing {
    /// All hosts.
    pub hosts: Vec<HostEntry>,
}
