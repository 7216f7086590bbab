//! Change tickets: numbered changes of teams, and the table of accepted ones.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;
use crate::tables::team::TeamSpec;

/// A numbered change with the complete new configuration of each team that it changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TicketSpec {
    /// Ticket number; must be above the last ticket of every team that it changes.
    pub number: u64,
    /// The operator who wrote the ticket.
    pub author: ObjectName,
    /// The new configurations of the teams.
    pub teams: Vec<TeamSpec>,
}

/// An accepted ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRow {
    /// Ticket number.
    pub number: u64,
    /// The operator who wrote the ticket.
    pub author: ObjectName,
    /// Names of the teams that it changed.
    pub teams: Vec<ObjectName>,
    /// Log time of the acceptance, in ms.
    pub at_ms: u64,
    /// Log offset of the ticket's record.
    pub offset: u64,
    /// Hash of the content, by which the same ticket sent again is recognized and ignored.
    pub digest: u64,
}

impl TicketSpec {
    /// Returns an XXH3 hash of the content.
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_string(self).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    }
}

/// Maximum number of accepted tickets kept.
const TICKETS_MAX: usize = 1_000;

/// Accepted tickets. The lowest numbers are dropped when the table is full, but stay taken.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TicketTable {
    /// The rows, sorted by number.
    pub rows: Vec<TicketRow>,
    /// Highest number accepted so far.
    pub highest: u64,
}

impl TicketTable {
    /// Returns the ticket with a number.
    pub fn find(&self, number: u64) -> Option<&TicketRow> {
        let found = self.rows.binary_search_by(|row| row.number.cmp(&number));
        found.ok().map(|index| &self.rows[index])
    }

    /// Returns whether a ticket with this number and content was accepted before.
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

    /// Returns whether a number was used, or is below the oldest ticket kept so that this cannot
    /// be told.
    pub fn is_taken(&self, number: u64) -> bool {
        let forgotten = self.rows.len() >= TICKETS_MAX && number < self.rows[0].number;
        forgotten || self.find(number).is_some()
    }
}
