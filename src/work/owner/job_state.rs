//! State of a job's tasks as the owner tracks them.

use std::rc::Rc;

use crate::tables::name::ObjectName;
use crate::work::model::crash_record::LossRecord;
use crate::work::model::record::{JobPhase, JobRecord};
use crate::work::model::spec::StepSpec;
use crate::work::model::task_ref::TaskRef;
use crate::work::owner::step_bias::StepBias;
use crate::work::owner::task_rows::TaskRows;
use crate::work::owner::unit_state::{MemberState, UnitPhase, UnitShape, UnitState};

/// A job that is unfinished or still holds upstreams.
#[derive(Clone, Debug)]
pub struct JobState {
    /// Id of the job.
    pub id: ObjectName,
    /// The job as accepted.
    pub record: Rc<JobRecord>,
    /// Shape of each unit, sorted by round, step and first task.
    pub shapes: Vec<UnitShape>,
    /// State of each unit, parallel to `shapes`.
    pub units: Vec<UnitState>,
    /// Current phase.
    pub phase: JobPhase,
    /// Phase last queued for the stream of jobs.
    pub recorded_phase: JobPhase,
    /// Rows of the runs stream that hold the task state.
    pub rows: TaskRows,
    /// Whether members may need orders.
    pub orders_due: bool,
    /// Bias of the caller's estimate of each step.
    pub biases: Vec<StepBias>,
    /// Units with lost runs in their history, and some that had them, sorted.
    pub(super) crashed_units: Vec<usize>,
    /// Number of units that wait.
    waiting: usize,
    /// Number of units that are not done.
    undone: usize,
}

impl JobState {
    /// Creates the state of a job with no placed tasks.
    pub fn new(id: ObjectName, record: Rc<JobRecord>, phase: JobPhase, now_ms: u64) -> Self {
        let shapes = unit_shapes(&record);
        let unit_count = shapes.len();
        let empty = |shape: &UnitShape| UnitState {
            members: vec![MemberState::default(); shape.count as usize],
            since_ms: now_ms,
            ..UnitState::default()
        };
        Self {
            units: shapes.iter().map(empty).collect(),
            id,
            biases: vec![StepBias::default(); record.spec.steps.len()],
            record,
            rows: TaskRows::new(&shapes),
            shapes,
            phase,
            recorded_phase: phase,
            orders_due: true,
            crashed_units: Vec::new(),
            waiting: unit_count,
            undone: unit_count,
        }
    }

    /// Sets the phase of a unit.
    pub(super) fn set_unit_phase(&mut self, unit: usize, phase: UnitPhase) {
        let before = std::mem::replace(&mut self.units[unit].phase, phase);
        self.waiting -= usize::from(before == UnitPhase::Waiting);
        self.waiting += usize::from(phase == UnitPhase::Waiting);
        self.undone -= usize::from(before != UnitPhase::Done);
        self.undone += usize::from(phase != UnitPhase::Done);
    }

    /// Counts the units by phase anew, after the task state was restored.
    pub(super) fn count_units(&mut self) {
        let count = |is_counted: fn(UnitPhase) -> bool| {
            let phases = self.units.iter().map(|unit| unit.phase);
            phases.filter(|&phase| is_counted(phase)).count()
        };
        self.waiting = count(|phase| phase == UnitPhase::Waiting);
        self.undone = count(|phase| phase != UnitPhase::Done);
    }

    /// Returns the number of units that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Notes a lost run of a unit's member.
    pub(super) fn add_loss(&mut self, unit: usize, member: usize, loss: LossRecord) {
        if let Err(index) = self.crashed_units.binary_search(&unit) {
            self.crashed_units.insert(index, unit);
        }
        self.units[unit].crashes.add_loss(member as u32, loss);
    }

    /// Finds the units with lost runs in their history, after the task state was restored.
    pub(super) fn find_crashed_units(&mut self) {
        let units = 0..self.units.len();
        let crashed = units.filter(|&unit| !self.units[unit].crashes.rows().is_empty());
        self.crashed_units = crashed.collect();
    }

    /// Returns the step to which a unit belongs.
    pub fn step(&self, unit: usize) -> &StepSpec {
        &self.record.spec.steps[self.shapes[unit].step as usize]
    }

    /// Returns the reference of a unit's member.
    pub fn task(&self, unit: usize, member: usize) -> TaskRef {
        let shape = self.shapes[unit];
        TaskRef {
            job: self.id.clone(),
            round: shape.round,
            step: shape.step,
            index: shape.first + member as u32,
        }
    }

    /// Returns the unit and member indexes of a task, or `None` if the job has no such task.
    pub fn locate(&self, task: &TaskRef) -> Option<(usize, usize)> {
        let key = (task.round, task.step, task.index);
        let after = self
            .shapes
            .partition_point(|shape| (shape.round, shape.step, shape.first) <= key);
        let unit = after.checked_sub(1)?;
        let shape = self.shapes[unit];
        let holds = shape.round == task.round
            && shape.step == task.step
            && task.index - shape.first < shape.count;
        holds.then_some((unit, (task.index - shape.first) as usize))
    }

    /// Returns the waiting units whose round is due and whose preceding steps are done, ordered by
    /// round and step.
    pub fn ready_units(&self, wall_ms: u64) -> Vec<usize> {
        if self.phase.is_over() || self.waiting == 0 {
            return Vec::new();
        }
        let steps = self.record.spec.steps.len();
        let mut undone = vec![false; steps * self.record.spec.rounds() as usize];
        let slot = |shape: &UnitShape| shape.round as usize * steps + shape.step as usize;
        for (shape, unit) in self.shapes.iter().zip(&self.units) {
            undone[slot(shape)] |= unit.phase != UnitPhase::Done;
        }
        let is_ready = |unit: usize| {
            let shape = &self.shapes[unit];
            let round = shape.round as usize * steps;
            let after = &self.record.spec.steps[shape.step as usize].after;
            self.record.spec.due_ms(shape.round) <= wall_ms
                && after.iter().all(|&step| !undone[round + step as usize])
        };
        (0..self.units.len())
            .filter(|&unit| self.units[unit].phase == UnitPhase::Waiting)
            .filter(|&unit| is_ready(unit))
            .collect()
    }

    /// Returns whether all units are done.
    pub fn is_done(&self) -> bool {
        self.undone == 0
    }

    /// Returns whether no unit is on an upstream.
    pub fn is_clear(&self) -> bool {
        self.units.iter().all(UnitState::is_clear)
    }
}

fn unit_shapes(record: &JobRecord) -> Vec<UnitShape> {
    let mut shapes = Vec::new();
    for round in 0..record.spec.rounds() {
        for (index, step) in record.spec.steps.iter().enumerate() {
            let step_index = index as u32;
            let (units, count) = match step.gang {
                true => (1, step.count),
                false => (step.count, 1),
            };
            shapes.extend((0..units).map(|unit| UnitShape {
                round,
                step: step_index,
                first: unit * count,
                count,
            }));
        }
    }
    shapes
}
