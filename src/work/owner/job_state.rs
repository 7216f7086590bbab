//! State of a job's tasks as the owner tracks them.

use std::rc::Rc;
use std::sync::Arc;

use crate::tables::name::ObjectName;
use crate::work::crash_history::CrashHistory;
use crate::work::owner::task_rows::TaskRows;
use crate::work::record::{JobPhase, JobRecord};
use crate::work::slowdown::TaskProgress;
use crate::work::spec::StepSpec;
use crate::work::task_ref::TaskRef;

/// Tasks that are placed together: a single task, or all tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitShape {
    /// Round of a repeating job.
    pub round: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the unit's first task within the step.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
}

/// Phase of a unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnitPhase {
    /// Not placed.
    #[default]
    Waiting,
    /// Placed; its members are starting or running.
    Active,
    /// Its members are being stopped; the unit waits again afterwards.
    Stopping,
    /// Completed.
    Done,
}

/// Phase of a unit's member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberPhase {
    /// On no upstream.
    #[default]
    Unplaced,
    /// Placed; the start order waits until its record is stored.
    Planned,
    /// The start order was sent and is not yet confirmed.
    Sent,
    /// The upstream has confirmed the run.
    Running,
}

/// Progress of a stop order to a member's run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopProgress {
    /// None was sent.
    #[default]
    Unsent,
    /// Sent and not answered; it may have been carried out.
    Sent,
    /// Answered. The run ends within the longest time that a stop takes.
    Answered {
        /// When the first answer arrived, steady ms.
        at_ms: u64,
    },
}

/// Placement and progress of one task.
#[derive(Clone, Debug, Default)]
pub struct MemberState {
    /// Phase of the member.
    pub phase: MemberPhase,
    /// The member's upstream; `None` if unplaced.
    pub upstream: Option<ObjectName>,
    /// Incarnation of the upstream when the member was placed or last listed as running.
    pub incarnation: u64,
    /// Whether the run began under an earlier owner, whose orders to it are not all known.
    pub restored: bool,
    /// The upstream's clock when it last confirmed the run or took its stop, in ms; 0 for never.
    pub confirmed_ms: u64,
    /// Number of renewals that had been sent to the upstream by then; `None` for never. Only the answer
    /// to a later one can show that the run is not there.
    pub confirmed_at_renewal: Option<u64>,
    /// Whether the run has been told to stop.
    pub stop: StopProgress,
    /// When an answer lacked the run for the first time since it was last confirmed, steady ms.
    pub unlisted_since_ms: Option<u64>,
    /// When the last order was sent, steady ms.
    pub last_order_ms: u64,
    /// When the last stop order was sent, steady ms; 0 for none.
    pub stop_sent_ms: u64,
    /// Whether an order is in flight.
    pub in_flight: bool,
    /// Whether an unanswered start order may still take effect.
    pub start_unconfirmed: bool,
    /// Last reported progress, in percent.
    pub percent: u32,
    /// When the run was first confirmed to this owner, steady ms; 0 if unknown.
    pub began_ms: u64,
    /// When progress was last reported, steady ms.
    pub reported_ms: u64,
}

/// State of a unit.
#[derive(Clone, Debug, Default)]
pub struct UnitState {
    /// Phase of the unit.
    pub phase: UnitPhase,
    /// Number of the last run.
    pub run: u32,
    /// Number of failed runs.
    pub failed: u32,
    /// Number of the run that was counted last as failed; 0 for none.
    pub failed_run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Checkpoint from which the current run was started; empty for none.
    pub resumed: Arc<str>,
    /// State of each task.
    pub members: Vec<MemberState>,
    /// When the unit became placeable or its current run was placed, steady ms.
    pub since_ms: u64,
    /// Upstreams where its runs failed, newest last.
    pub failed_on: Vec<ObjectName>,
    /// Its runs that were lost with their upstreams.
    pub crashes: CrashHistory,
    /// How often the unit was preempted.
    pub preempted: u32,
    /// Whether the reason for the current wait has been logged.
    pub wait_logged: bool,
}

impl UnitState {
    /// Returns whether no member is on an upstream.
    pub fn is_clear(&self) -> bool {
        let unplaced = |member: &MemberState| member.phase == MemberPhase::Unplaced;
        self.members.iter().all(unplaced)
    }

    /// Counts the current run as failed, once however many members fail and whichever ends are
    /// read first.
    pub fn count_failed_run(&mut self) {
        if self.failed_run != self.run {
            self.failed_run = self.run;
            self.failed += 1;
        }
    }

    /// Returns the progress of the first task; `None` if it is not running or was resumed from a
    /// checkpoint.
    pub fn progress(&self) -> Option<TaskProgress> {
        let member = self.members.first()?;
        let is_usable = member.phase == MemberPhase::Running && self.resumed.is_empty();
        is_usable.then(|| TaskProgress {
            percent: member.percent,
            elapsed_ms: member.reported_ms.saturating_sub(member.began_ms),
        })
    }
}

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
}

impl JobState {
    /// Creates the state of a job with no placed tasks.
    pub fn new(id: ObjectName, record: Rc<JobRecord>, phase: JobPhase, now_ms: u64) -> Self {
        let shapes = unit_shapes(&record);
        let empty = |shape: &UnitShape| UnitState {
            members: vec![MemberState::default(); shape.count as usize],
            since_ms: now_ms,
            ..UnitState::default()
        };
        Self {
            units: shapes.iter().map(empty).collect(),
            id,
            record,
            rows: TaskRows::new(&shapes),
            shapes,
            phase,
            recorded_phase: phase,
            orders_due: true,
        }
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
        if self.phase.is_over() {
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

    /// Returns the progress of all running single-task units of the unit's step and round, itself
    /// included. Gangs are left out, since their members advance together; so are runs resumed from
    /// a checkpoint.
    pub fn step_progress(&self, unit: usize) -> Vec<TaskProgress> {
        let shape = self.shapes[unit];
        let same_step = |index: &usize| {
            let other = self.shapes[*index];
            (other.round, other.step, other.count) == (shape.round, shape.step, 1)
        };
        (0..self.units.len())
            .filter(same_step)
            .filter_map(|index| self.units[index].progress())
            .collect()
    }

    /// Returns whether all units are done.
    pub fn is_done(&self) -> bool {
        self.units.iter().all(|unit| unit.phase == UnitPhase::Done)
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
