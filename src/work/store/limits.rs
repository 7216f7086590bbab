//! Sizes that the store accepts, and the division of records into calls that keep to them.

use crate::work::model::record::TASKS_PER_ROW;
use crate::work::model::stream::KeyedValue;

/// Largest sizes that the store accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Size of a record, in bytes.
    pub record_bytes: usize,
    /// Size of all records of a call, in bytes.
    pub request_bytes: usize,
}

impl StoreLimits {
    /// Returns whether a record keeps to the limit of a record.
    pub fn admits(&self, entry: &KeyedValue) -> bool {
        entry.size() <= self.record_bytes
    }

    /// Describes by how much a record exceeds its limit.
    pub fn excess(&self, entry: &KeyedValue) -> String {
        let (bytes, limit) = (entry.size(), self.record_bytes);
        format!("a record of {bytes} bytes; the store takes up to {limit}")
    }

    /// Returns the size of the longest checkpoint that is kept, in bytes. With it in each of its
    /// tasks, a row of the runs stream takes half of the largest record.
    pub fn checkpoint_max_bytes(&self) -> usize {
        self.record_bytes / (2 * TASKS_PER_ROW as usize)
    }

    /// Returns how many of the first items fit into one call; at least one if there are any.
    pub fn count_for_call<'a>(&self, entries: impl Iterator<Item = &'a KeyedValue>) -> usize {
        let mut left = self.request_bytes;
        let fits = |entry: &&KeyedValue| {
            let rest = left.checked_sub(entry.size());
            left = rest.unwrap_or(0);
            rest.is_some()
        };
        entries.take_while(fits).count().max(1)
    }
}
