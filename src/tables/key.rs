//! Table of idempotency keys, which make sure that a request runs at most once.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// What is known about the execution of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum KeyOutcome {
    /// Recorded before sending; no response is known yet.
    Pending,
    /// The request certainly did not run; the key may be used again.
    NotRun,
    /// The request ran. Carries the response's status and, if small enough, its body.
    Answered(KeyResponse),
    /// The request was sent, but no complete response was received.
    MayHaveRun,
}

/// The stored response to a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct KeyResponse {
    /// HTTP status code.
    pub status: u16,
    /// The body, if it is text of at most 4096 bytes.
    pub body: Option<String>,
}

/// An idempotency key and the request it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// The team, which scopes the key.
    pub team: ObjectName,
    /// The key, chosen by the caller.
    pub key: ObjectName,
    /// Hash of the request's method, path and body; the key is refused for any other request.
    pub digest: u64,
    /// Log offset of the intent in effect; an outcome that names another intent is refused.
    pub intent: u64,
    /// What is known about the execution.
    pub outcome: KeyOutcome,
    /// The later of the intent's log time and its time of issue, in ms; the key expires by it.
    pub at_ms: u64,
}

/// All keys that have not expired, sorted by team and key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyTable {
    pub rows: Vec<KeyRow>,
}

impl KeyTable {
    fn search(&self, team: &ObjectName, key: &ObjectName) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&row.team, &row.key).cmp(&(team, key)))
    }

    /// Returns a team's key.
    pub fn find(&self, team: &ObjectName, key: &ObjectName) -> Option<&KeyRow> {
        let index = self.search(team, key).ok()?;
        Some(&self.rows[index])
    }

    /// Returns a team's key for modification.
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
