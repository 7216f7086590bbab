//! Change tickets.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;
use crate::tables::team::TeamSpec;

/// A numbered change with the whole new state of each team it touches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TicketSpec {
    /// The ticket's number; above that of every object it touches.
    pub number: u64,
    /// The operator who wrote it.
    pub author: ObjectName,
    /// The teams it touches.
    pub teams: Vec<TeamSpec>,
}

/// An accepted ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRow {
    /// Its number.
    pub number: u64,
    /// Its author.
    pub author: ObjectName,
    /// Names of the teams it touched.
    pub teams: Vec<ObjectName>,
    /// Log time of its acceptance, in ms.
    pub at_ms: u64,
    /// Its log offset.
    pub offset: u64,
    /// Hash of its content; the same ticket sent again changes nothing.
    pub digest: u64,
}

impl TicketSpec {
    /// Returns a hash of the content.
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_string(self).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    }
}

/// Most accepted tickets kept for display.
const TICKETS_MAX: usize = 1_000;

/// Accepted tickets, sorted by number. Old ones are dropped; numbers stay taken.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TicketTable {
    /// The rows.
    pub rows: Vec<TicketRow>,
    /// Highest number accepted.
    pub highest: u64,
}

impl TicketTable {
    /// Finds a ticket by number.
    pub fn find(&self, number: u64) -> Option<&TicketRow> {
        let found = self.rows.binary_search_by(|row| row.number.cmp(&number));
        found.ok().map(|index| &self.rows[index])
    }

    /// Returns whether this very ticket was accepted before.
    pub fn is_repeat(&self, ticket: &TicketSpec) -> bool {
        let row = self.find(ticket.number);
        row.is_some_and(|row| row.digest == ticket.digest())
    }

    /// Adds an accepted ticket.
    pub fn put(&mut self, row: TicketRow) {
        self.highest = self.highest.max(row.number);
        if let Err(index) = self
            .rows
            .binary_search_by(|old| old.number.cmp(&row.number))
        {
            self.rows.insert(index, row);
        }
        if self.rows.len() > TICKETS_MAX {
            self.rows.remove(0);
        }
    }

    /// Returns whether a number was used, or is too old for that to be known.
    pub fn is_taken(&self, number: u64) -> bool {
        let forgotten = self.rows.len() >= TICKETS_MAX && number < self.rows[0].number;
        forgotten || self.find(number).is_some()
    }
}
