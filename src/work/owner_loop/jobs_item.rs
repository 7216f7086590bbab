//! A record on its way to the jobs stream.

use crate::work::model::stream::{KeyedValue, StoreFailure};
use crate::work::owner_loop::writer::AppendItem;
use crate::work::store::group_commit::PendingRecord;

/// A record for the jobs stream.
#[derive(Debug)]
pub(super) enum JobsItem {
    /// The owner's own record.
    Own(KeyedValue),
    /// A record that a caller or another host waits for.
    Pending(PendingRecord),
}

impl JobsItem {
    /// Ends the wait for a pending record that is not stored.
    pub(super) fn fail(self, failure: StoreFailure) {
        if let Self::Pending(pending) = self {
            pending.close(Err(failure));
        }
    }
}

impl AppendItem for JobsItem {
    fn entry(&self) -> &KeyedValue {
        match self {
            Self::Own(entry) => entry,
            Self::Pending(pending) => &pending.entry,
        }
    }
}
