//! Workers, the platform's machines that run tasks.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// Availability of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// Accepts new work.
    Live,
    /// Keeps its work but accepts no new work.
    Leaving,
    /// Does not answer its worker controller.
    Down,
    /// No longer on the platform's host list.
    Gone,
}

/// A worker with its failures and quarantine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Its name on the platform's host list.
    pub name: ObjectName,
    /// Address of the worker's API.
    pub address: SocketAddr,
    /// Number of accelerators, 0 to 8.
    pub accelerators: u8,
    pub state: WorkerState,
    /// Distinct jobs that failed here since a task last finished, sorted.
    pub failed_jobs: Vec<ObjectName>,
    /// Whether the worker gets no new work because too many jobs failed here.
    pub quarantined: bool,
    /// Number of quarantines since a task last finished here.
    pub quarantines: u32,
    /// Log time at which the quarantine may end, in ms.
    pub quarantine_until_ms: u64,
}

impl WorkerRow {
    /// Returns whether new work may be placed on the worker.
    pub fn accepts_work(&self) -> bool {
        self.state == WorkerState::Live && !self.quarantined
    }
}
