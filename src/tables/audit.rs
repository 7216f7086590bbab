//! Audit trail of journal records and why the fold refused them.

use std::collections::VecDeque;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// A journal record in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AuditRow {
    /// Log offset.
    pub offset: u64,
    /// Log time in ms.
    pub at_ms: u64,
    /// The entry host that appended the record, or the author of a ticket.
    pub actor: ObjectName,
    /// The record's kind.
    pub kind: String,
    /// The object that the record changes, such as a job, ticket or worker.
    pub subject: String,
    /// Why the record was refused; `None` if it was accepted.
    pub refused: Option<String>,
}

/// Maximum number of rows kept in memory; the log holds older records for its retention time.
const AUDIT_MAX: usize = 4_000;

/// The most recent rows of the audit trail.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditTable {
    /// The rows, oldest first.
    pub rows: VecDeque<AuditRow>,
}

impl AuditTable {
    /// Adds a row, removing the oldest one if the table is full.
    pub fn push(&mut self, row: AuditRow) {
        if self.rows.len() >= AUDIT_MAX {
            self.rows.pop_front();
        }
        self.rows.push_back(row);
    }
}
