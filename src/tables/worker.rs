//! Workers: the platform's machines that run tasks.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// Whether a worker may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// Takes new work.
    Live,
    /// Keeps its work but takes none.
    Leaving,
    /// Did not answer its keeper.
    Down,
    /// No longer on the platform's host list.
    Gone,
}

/// One worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Its name on the platform's host list.
    pub name: ObjectName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Accelerators, 0 to 8.
    pub accelerators: u8,
    /// Its state.
    pub state: WorkerState,
    /// Jobs that failed here since the last task that finished, sorted.
    pub failed_jobs: Vec<ObjectName>,
    /// Whether it is quarantined.
    pub quarantined: bool,
    /// Quarantines since the last task that finished here.
    pub quarantines: u32,
    /// Log time at which the quarantine may end, in ms.
    pub quarantine_until_ms: u64,
}

impl WorkerRow {
    /// Returns whether new work may be placed here.
    pub fn accepts_work(&self) -> bool {
        self.state == WorkerState::Live && !self.quarantined
    }
}
