//! How many tasks of a step are on each upstream.

use crate::tables::name::ObjectName;

/// Placed tasks of a step by upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiblingCounts {
    /// Sorted by upstream.
    rows: Vec<SiblingRow>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct SiblingRow {
    upstream: ObjectName,
    tasks: usize,
}

impl SiblingCounts {
    /// Adds a task on an upstream.
    pub fn add(&mut self, upstream: &ObjectName) {
        match self.find(upstream) {
            Ok(index) => self.rows[index].tasks += 1,
            Err(index) => {
                let upstream = upstream.clone();
                self.rows.insert(index, SiblingRow { upstream, tasks: 1 });
            }
        }
    }

    /// Returns the number of tasks on an upstream.
    pub fn on(&self, upstream: &ObjectName) -> usize {
        self.find(upstream)
            .map_or(0, |index| self.rows[index].tasks)
    }

    fn find(&self, upstream: &ObjectName) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.upstream.cmp(upstream))
    }
}

impl FromIterator<ObjectName> for SiblingCounts {
    fn from_iter<I: IntoIterator<Item = ObjectName>>(upstreams: I) -> Self {
        let mut counts = Self::default();
        for upstream in upstreams {
            counts.add(&upstream);
        }
        counts
    }
}
