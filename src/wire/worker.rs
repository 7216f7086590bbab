//! The workers' interface: one `POST /sync` gives orders, renews leases and returns states.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a task should be doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredState {
    /// Get ready, hold the accelerators, don't start.
    Prepare,
    /// Start, if prepared under the same token; otherwise it is stopped.
    Run,
    /// Checkpoint within the grace, then stop.
    Stop,
}

/// An order for one task. It also renews the task's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskOrder {
    /// The task: job id, a slash, the task's index.
    pub task: String,
    /// Fencing token; the worker refuses one lower than it has seen for the task.
    pub token: u64,
    /// What it should be doing.
    pub want: DesiredState,
    /// Its accelerators, as bits of the worker.
    pub accelerators: u8,
    /// Time to checkpoint before a stop, in ms.
    pub grace_ms: u64,
    /// What to run.
    pub command: String,
}

/// One keeper's message to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SyncRequest {
    /// Lease of every task the worker holds orders for, from receipt, in ms.
    pub lease_ms: u64,
    /// Hash of the orders; without orders, the worker renews if it holds the same hash.
    pub digest: u64,
    /// All orders for this worker; absent when only a renewal is meant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub orders: Option<Vec<TaskOrder>>,
    /// Version of the states that the keeper has seen; 0 for none.
    #[serde(default)]
    pub seen: u64,
    /// Longest time the answer may be held back while nothing is newer than `seen` and
    /// the digest stays the same, in ms. The leases are renewed on receipt.
    #[serde(default)]
    pub wait_ms: u64,
}

/// How the worker sees a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerTaskState {
    /// Ready to start.
    Prepared,
    /// Started.
    Running,
    /// Ended well.
    Finished,
    /// Ended with a fault.
    Failed,
    /// Stopped by order, by a lapsed lease, or never known.
    Stopped,
}

/// One task's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskStatus {
    /// The task.
    pub task: String,
    /// The token it holds.
    pub token: u64,
    /// Its state.
    pub state: WorkerTaskState,
    /// Time it ran, in ms.
    #[serde(default)]
    pub ran_ms: u64,
}

/// A worker's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SyncResponse {
    /// Whether the digest matched, so that all leases were renewed.
    pub renewed: bool,
    /// Version of the states, above 0; it changes with each change of a task's state.
    pub version: u64,
    /// States of the tasks with an order; running ones are left out of a mere renewal.
    #[serde(default)]
    pub tasks: Vec<TaskStatus>,
}
