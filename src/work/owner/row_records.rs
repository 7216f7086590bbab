//! Conversion of a job's task state to the rows of the runs stream, and back.

use std::ops::Range;

use crate::work::model::crash_record::CrashRecord;
use crate::work::model::record::{
    AssignmentRecord, RunRecord, RunRow, UnitRecord, encode_run_row, run_row_key,
};
use crate::work::model::stream::KeyedValue;
use crate::work::owner::crash_history::CrashHistory;
use crate::work::owner::job_state::JobState;
use crate::work::owner::task_rows::insert;
use crate::work::owner::unit_state::{MemberPhase, UnitPhase, UnitState};

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
        self.find_crashed_units();
        self.count_units();
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
