//! The interface of the workers: `POST /sync` delivers orders, renews leases and returns
//! task states.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a worker should do with a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredState {
    /// Get it ready and hold the accelerators, but don't start it.
    Prepare,
    /// Start it if it was prepared under the same token, otherwise stop it.
    Run,
    /// Let it checkpoint within the grace period, then stop it.
    Stop,
}

/// An order for one task. It also renews the task's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskOrder {
    /// Job id, a slash and the index of the task.
    pub task: String,
    /// Fencing token; the worker refuses one lower than it has seen for the task.
    pub token: u64,
    pub want: DesiredState,
    /// Bit mask of the worker's accelerators that the task uses.
    pub accelerators: u8,
    /// Time to checkpoint before a stop, in ms.
    pub grace_ms: u64,
    pub command: String,
}

/// Message of a worker controller to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SyncRequest {
    /// Lease of every task with an order, counted from receipt, in ms.
    pub lease_ms: u64,
    /// Hash of the orders. A message without orders renews the leases if the worker holds
    /// the same hash.
    pub digest: u64,
    /// All orders for this worker; absent in a renewal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub orders: Option<Vec<TaskOrder>>,
    /// Version of the task states that the controller has seen; 0 for none.
    #[serde(default)]
    pub seen: u64,
    /// Longest time for which the response may be held back while no state is newer than
    /// `seen` and the digest stays the same, in ms. The leases are renewed on receipt.
    #[serde(default)]
    pub wait_ms: u64,
}

/// State of a task on the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerTaskState {
    /// Ready to start.
    Prepared,
    Running,
    /// Ended without an error.
    Finished,
    /// Ended with an error.
    Failed,
    /// Stopped by an order or an expired lease, or never known to the worker.
    Stopped,
}

/// The state of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TaskStatus {
    /// Job id, a slash and the index of the task.
    pub task: String,
    /// Fencing token under which the worker holds the task.
    pub token: u64,
    pub state: WorkerTaskState,
    /// Time it ran, in ms.
    #[serde(default)]
    pub ran_ms: u64,
}

/// Response of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SyncResponse {
    /// Whether the digest matched, so that all leases were renewed.
    pub renewed: bool,
    /// Version of the task states, above 0; it changes with each change of a state.
    pub version: u64,
    /// States of the tasks with an order; running ones are left out in response to a
    /// renewal.
    #[serde(default)]
    pub tasks: Vec<TaskStatus>,
}
