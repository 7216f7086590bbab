//! What the owner has queued for the jobs stream.

use crate::tables::name::ObjectName;
use crate::work::model::stream::KeyedValue;

/// Records queued for the jobs stream, and the keys of finished jobs' rows in the runs stream, which
/// may be dropped once these are stored.
#[derive(Debug, Default)]
pub(super) struct JobRows {
    pub(super) rows: Vec<KeyedValue>,
    pub(super) finished: Vec<String>,
    /// Finished jobs, whose own rows may be removed once these are stored.
    pub(super) ended: Vec<ObjectName>,
}

impl JobRows {
    /// Returns whether nothing is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.finished.is_empty() && self.ended.is_empty()
    }
}
