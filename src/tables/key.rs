//! Idempotency keys of requests that must run at most once.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// What is known of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum KeyOutcome {
    /// Recorded before sending; the answer is not known.
    Pending,
    /// It surely did not run; the key may be used again.
    NotRun,
    /// It ran: the answer's status and, if small enough, its body.
    Answered(KeyResponse),
    /// It was sent, and no whole answer came back.
    MayHaveRun,
}

/// The kept answer of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct KeyResponse {
    /// HTTP status.
    pub status: u16,
    /// The body, when it is text of at most 4096 bytes.
    pub body: Option<String>,
}

/// One key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// The team, which scopes the key.
    pub team: ObjectName,
    /// The caller's key.
    pub key: ObjectName,
    /// Hash of method, path and body; the same key with another request is refused.
    pub digest: u64,
    /// Offset of the intent in force; later outcomes name it.
    pub intent: u64,
    /// What is known.
    pub outcome: KeyOutcome,
    /// Log time of the intent, in ms.
    pub at_ms: u64,
}

/// All keys that have not expired, sorted by team and key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyTable {
    /// The rows.
    pub rows: Vec<KeyRow>,
}

impl KeyTable {
    fn search(&self, team: &ObjectName, key: &ObjectName) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&row.team, &row.key).cmp(&(team, key)))
    }

    /// Finds a key.
    pub fn find(&self, team: &ObjectName, key: &ObjectName) -> Option<&KeyRow> {
        let index = self.search(team, key).ok()?;
        Some(&self.rows[index])
    }

    /// Finds a key for change.
    pub fn find_mut(&mut self, team: &ObjectName, key: &ObjectName) -> Option<&mut KeyRow> {
        let index = self.search(team, key).ok()?;
        Some(&mut self.rows[index])
    }

    /// Adds or replaces a key.
    pub fn put(&mut self, row: KeyRow) {
        match self.search(&row.team, &row.key) {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
    }
}
