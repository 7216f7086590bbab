//! Division of a job's task state into rows of the runs stream.
//!
//! A row holds a fixed number of consecutive tasks, so that a change writes the rows that it touches
//! and not the whole job. The rows of one change may be stored by several calls, and the owner may
//! die between them. Until all are stored, no order of the change is sent and no end acknowledged,
//! so that each row is right on its own.

use std::ops::Range;

use crate::tables::name::ObjectName;
use crate::work::model::record::{TASKS_PER_ROW, run_row_key};
use crate::work::owner::unit_state::UnitShape;

/// Rows of one job: which tasks they hold, and which have changed or are stored.
#[derive(Clone, Debug, Default)]
pub struct TaskRows {
    /// Number of each unit's first task in the job, parallel to the job's units.
    first_tasks: Vec<u32>,
    /// Number of tasks in the job.
    tasks: u32,
    /// Numbers of the rows that have changed since they were last taken, sorted.
    pub(super) changed: Vec<u32>,
    /// Numbers of the rows that may be stored, sorted.
    pub(super) stored: Vec<u32>,
    /// Whether a row with all tasks, as older versions wrote it, may be stored.
    pub(super) whole_stored: bool,
}

impl TaskRows {
    /// Creates the rows of a job; none is stored.
    pub fn new(shapes: &[UnitShape]) -> Self {
        let mut tasks = 0;
        let mut first_tasks = Vec::with_capacity(shapes.len());
        for shape in shapes {
            first_tasks.push(tasks);
            tasks += shape.count;
        }
        Self {
            first_tasks,
            tasks,
            ..Self::default()
        }
    }

    /// Marks the row of a unit's member as changed.
    pub fn mark_member(&mut self, unit: usize, member: usize) {
        let row = self.row_of(unit, member as u32);
        insert(&mut self.changed, row);
    }

    /// Marks all rows of a unit as changed.
    pub fn mark_unit(&mut self, unit: usize) {
        let last_task = self.first_task(unit + 1) - 1;
        for row in self.row_of(unit, 0)..=last_task / TASKS_PER_ROW {
            insert(&mut self.changed, row);
        }
    }

    /// Marks all rows as changed.
    pub(super) fn mark_all(&mut self) {
        self.changed = (0..self.count()).collect();
    }

    /// Returns the number of rows.
    pub(super) fn count(&self) -> u32 {
        self.tasks.div_ceil(TASKS_PER_ROW)
    }

    /// Returns the keys of the rows that may be stored.
    pub fn stored_keys(&self, job: &ObjectName) -> Vec<String> {
        let numbered = self.stored.iter().map(|&row| run_row_key(job, Some(row)));
        let whole = self.whole_stored.then(|| run_row_key(job, None));
        numbered.chain(whole).collect()
    }

    fn row_of(&self, unit: usize, member: u32) -> u32 {
        (self.first_tasks[unit] + member) / TASKS_PER_ROW
    }

    /// Returns the number of a unit's first task; the number of tasks for the unit after the last.
    fn first_task(&self, unit: usize) -> u32 {
        self.first_tasks.get(unit).copied().unwrap_or(self.tasks)
    }

    /// Returns the units that have tasks in a row.
    pub(super) fn units_of(&self, row: u32) -> Range<usize> {
        let first = u64::from(row) * u64::from(TASKS_PER_ROW);
        let end = first + u64::from(TASKS_PER_ROW);
        let begins_by = |limit: u64| {
            self.first_tasks
                .partition_point(|&task| u64::from(task) < limit)
        };
        begins_by(first + 1).saturating_sub(1)..begins_by(end)
    }

    /// Returns the members of a unit that are in a row.
    pub(super) fn members_of(&self, row: u32, unit: usize) -> Range<u32> {
        let first_task = self.first_tasks[unit];
        let row_first = row * TASKS_PER_ROW;
        let end = (row_first + TASKS_PER_ROW).min(self.first_task(unit + 1));
        row_first.saturating_sub(first_task)..end - first_task
    }
}

/// Adds a row to a sorted list, unless it is there.
pub(super) fn insert(sorted: &mut Vec<u32>, row: u32) {
    if let Err(index) = sorted.binary_search(&row) {
        sorted.insert(index, row);
    }
}
