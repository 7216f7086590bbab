//! Types of the platform's log service (append, and read with a long poll) and host list.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Body of `POST /streams/{stream}/append`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AppendRequest {
    /// Stored together and in this order.
    pub records: Vec<String>,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AppendResponse {
    /// Offset of the first record.
    pub first: u64,
}

/// A record as read from a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LogRecord {
    pub offset: u64,
    /// Time that the log service assigned to the record, Unix ms.
    pub at_ms: u64,
    pub text: String,
}

/// Response of `GET /streams/{stream}/records?from=&max=&wait_ms=`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReadResponse {
    /// Records from the requested offset on, or from the first retained one if that is later.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest retained record.
    pub first_retained: u64,
    /// Offset that the next append will get.
    pub next: u64,
}

/// Role of a host on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// An entry host of this system; the address is that of its scheduler.
    Entry,
    /// Runs tasks.
    Worker,
    /// Serves requests.
    Runner,
}

/// State of a host on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be taken out of service.
    Leaving,
}

/// A host in the response of `GET /hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostEntry {
    pub name: String,
    pub kind: HostKind,
    /// IP address and port.
    pub address: String,
    pub state: HostState,
    pub failure_domain: String,
    /// Workers only.
    #[serde(default)]
    pub rack: String,
    /// Position in the rack; workers only.
    #[serde(default)]
    pub position: u8,
    /// Number of accelerators; workers only.
    #[serde(default)]
    pub accelerators: u8,
}

/// Response of `GET /hosts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HostListing {
    pub hosts: Vec<HostEntry>,
}
