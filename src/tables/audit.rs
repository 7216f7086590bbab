//! The audit trail: every record with its verdict.

use std::collections::VecDeque;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// One record and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AuditRow {
    /// Log offset.
    pub offset: u64,
    /// Log time in ms.
    pub at_ms: u64,
    /// The entry host that appended it, or the author of a ticket.
    pub actor: ObjectName,
    /// Kind of the record.
    pub kind: String,
    /// What it is about: a job, a ticket number, a worker.
    pub subject: String,
    /// Why it was refused; none when it was accepted.
    pub refused: Option<String>,
}

/// Most rows kept in memory; the log holds the rest until its retention ends.
const AUDIT_MAX: usize = 4_000;

/// The newest rows, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditTable {
    /// The rows.
    pub rows: VecDeque<AuditRow>,
}

impl AuditTable {
    /// Adds a row, dropping the oldest when full.
    pub fn push(&mut self, row: AuditRow) {
        if self.rows.len() >= AUDIT_MAX {
            self.rows.pop_front();
        }
        self.rows.push_back(row);
    }
}
