//! Division of a job's task state into rows of the runs stream.
//!
//! A row holds a fixed number of consecutive tasks, so that a change writes the rows that it touches
//! and not the whole job. The rows of one change may be stored by several calls, and the owner may
//! die between them. Until all are stored, no order of the change is sent and no end acknowledged,
//! so that each row is right on its own.

use std::ops::Range;

use crate::tables::name::ObjectName;
use crate::work::crash_history::CrashHistory;
use crate::work::crash_record::CrashRecord;
use crate::work::owner::job_state::{JobState, MemberPhase, UnitPhase, UnitShape, UnitState};
use crate::work::record::{
    AssignmentRecord, RunRecord, RunRow, TASKS_PER_ROW, UnitRecord, encode_run_row, run_row_key,
};
use crate::work::stream::KeyedValue;

/// Rows of one job: which tasks they hold, and which have changed or are stored.
#[derive(Clone, Debug, Default)]
pub struct TaskRows {
    /// Number of each unit's first task in the job, parallel to the job's units.
    first_tasks: Vec<u32>,
    /// Number of tasks in the job.
    tasks: u32,
    /// Numbers of the rows that have changed since they were last taken, sorted.
    changed: Vec<u32>,
    /// Numbers of the rows that may be stored, sorted.
    stored: Vec<u32>,
    /// Whether a row with all tasks, as older versions wrote it, may be stored.
    whole_stored: bool,
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

    fn mark_all(&mut self) {
        self.changed = (0..self.count()).collect();
    }

    /// Returns the number of rows.
    fn count(&self) -> u32 {
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
    fn units_of(&self, row: u32) -> Range<usize> {
        let first = u64::from(row) * u64::from(TASKS_PER_ROW);
        let end = first + u64::from(TASKS_PER_ROW);
        let begins_by = |limit: u64| {
            self.first_tasks
                .partition_point(|&task| u64::from(task) < limit)
        };
        begins_by(first + 1).saturating_sub(1)..begins_by(end)
    }

    /// Returns the members of a unit that are in a row.
    fn members_of(&self, row: u32, unit: usize) -> Range<u32> {
        let first_task = self.first_tasks[unit];
        let row_first = row * TASKS_PER_ROW;
        let end = (row_first + TASKS_PER_ROW).min(self.first_task(unit + 1));
        row_first.saturating_sub(first_task)..end - first_task
    }
}

impl JobState {
    /// Restores the task state that an earlier owner recorded.
    pub fn restore(&mut self, stored: &[RunRow]) {
        let whole = stored.iter().find(|row| row.number.is_none());
        let numbers = stored.iter().filter_map(|row| row.number);
        numbers.for_each(|number| insert(&mut self.rows.stored, number));
        match whole {
            // It is deleted after the rows that replace it, so it holds until then.
            Some(row) => {
                self.rows.whole_stored = true;
                self.rows.mark_all();
                restore_units(&mut self.units, &row.record);
            }
            None => {
                for row in stored {
                    let number = row.number.unwrap_or_default();
                    if number < self.rows.count() {
                        let units = self.rows.units_of(number);
                        restore_units(&mut self.units[units], &row.record);
                    }
                }
            }
        }
        for unit in self.units.iter_mut() {
            restore_phase(unit);
        }
    }

    /// Returns the rows that have changed, to be stored in this order.
    pub fn take_changed_rows(&mut self) -> Vec<KeyedValue> {
        let changed = std::mem::take(&mut self.rows.changed);
        let mut entries = Vec::with_capacity(changed.len());
        for number in changed {
            insert(&mut self.rows.stored, number);
            let row = RunRow {
                number: Some(number),
                record: self.run_record(number),
            };
            entries.push(encode_run_row(&self.id, &row));
        }
        if !entries.is_empty() && std::mem::take(&mut self.rows.whole_stored) {
            entries.push(KeyedValue {
                key: run_row_key(&self.id, None),
                value: Vec::new(),
            });
        }
        entries
    }

    fn run_record(&self, row: u32) -> RunRecord {
        let units = self.rows.units_of(row);
        let record = |unit| unit_record(&self.units[unit], self.rows.members_of(row, unit));
        RunRecord {
            units: units.map(record).collect(),
        }
    }
}

fn insert(sorted: &mut Vec<u32>, row: u32) {
    if let Err(index) = sorted.binary_search(&row) {
        sorted.insert(index, row);
    }
}

fn restore_units(units: &mut [UnitState], record: &RunRecord) {
    for (unit, stored) in units.iter_mut().zip(&record.units) {
        restore_unit(unit, stored);
    }
}

/// Adds the state of a unit's tasks in one row to that of earlier rows.
fn restore_unit(unit: &mut UnitState, stored: &UnitRecord) {
    // If the owner died between the rows of a new run, some of them still name the run before it.
    // Nothing of that run is left: a run is placed only when no task is on an upstream.
    let older = stored.run < unit.run;
    if stored.run > unit.run {
        for member in &mut unit.members {
            *member = Default::default();
        }
    }
    if !older {
        unit.run = stored.run;
        unit.checkpoint = stored.checkpoint.clone();
        unit.resumed = stored.checkpoint.clone();
        restore_members(unit, &stored.places);
    }
    if stored.done {
        unit.phase = UnitPhase::Done;
    }
    unit.failed = unit.failed.max(stored.failed);
    unit.failed_run = unit.failed_run.max(stored.failed_run);
    let mut crashes = unit.crashes.rows().to_vec();
    crashes.extend_from_slice(&stored.crashes);
    unit.crashes = CrashHistory::from(crashes.as_slice());
}

fn restore_members(unit: &mut UnitState, places: &[AssignmentRecord]) {
    for place in places {
        if let Some(member) = unit.members.get_mut(place.member as usize) {
            member.phase = MemberPhase::Sent;
            member.start_unconfirmed = true;
            member.restored = true;
            member.upstream = Some(place.upstream.clone());
            member.incarnation = place.incarnation;
        }
    }
}

fn restore_phase(unit: &mut UnitState) {
    let all_placed = unit.members.iter().all(|member| member.upstream.is_some());
    unit.phase = match unit.phase {
        UnitPhase::Done => UnitPhase::Done,
        _ if unit.is_clear() => UnitPhase::Waiting,
        _ if all_placed => UnitPhase::Active,
        _ => UnitPhase::Stopping,
    };
}

fn unit_record(unit: &UnitState, members: Range<u32>) -> UnitRecord {
    let place = |index: u32| {
        let member = &unit.members[index as usize];
        let upstream = member.upstream.clone()?;
        Some(AssignmentRecord {
            member: index,
            upstream,
            incarnation: member.incarnation,
        })
    };
    let in_row = |row: &&CrashRecord| members.contains(&row.member);
    // While a run is starting or running, the recorded checkpoint must stay the one it was started
    // with.
    let checkpoint = match unit.phase {
        UnitPhase::Active => &unit.resumed,
        _ => &unit.checkpoint,
    };
    UnitRecord {
        done: unit.phase == UnitPhase::Done,
        run: unit.run,
        failed: unit.failed,
        failed_run: unit.failed_run,
        crashes: unit.crashes.rows().iter().filter(in_row).cloned().collect(),
        checkpoint: checkpoint.clone(),
        places: members.filter_map(place).collect(),
    }
}
