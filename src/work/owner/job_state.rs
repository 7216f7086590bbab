//! A job's tasks as the owner drives them.

use crate::tables::name::ObjectName;
use crate::work::record::{AssignmentRecord, JobPhase, JobRecord, RunRecord, UnitRecord};
use crate::work::slowdown::TaskProgress;
use crate::work::spec::StepSpec;
use crate::work::task_ref::TaskRef;
use std::rc::Rc;
use std::sync::Arc;

/// What a unit is: one task, or all tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitShape {
    /// Round of the job.
    pub round: u32,
    /// Step.
    pub step: u32,
    /// Index of its first task.
    pub first: u32,
    /// Number of its tasks.
    pub count: u32,
}

/// Where a unit stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnitPhase {
    /// Not placed.
    #[default]
    Waiting,
    /// Placed; its members start or run.
    Active,
    /// Its members are being stopped, after which it waits again.
    Stopping,
    /// Done.
    Done,
}

/// Where a member of a unit stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberPhase {
    /// On no upstream.
    #[default]
    Unplaced,
    /// Placed; the order to start waits for the record.
    Planned,
    /// The order to start is on its way or got no answer.
    Sent,
    /// The upstream has confirmed the run.
    Running,
}

/// One task's place.
#[derive(Clone, Debug, Default)]
pub struct MemberState {
    /// Where it stands.
    pub phase: MemberPhase,
    /// Its upstream, unless over.
    pub upstream: Option<ObjectName>,
    /// The upstream's life when it was placed.
    pub incarnation: u64,
    /// The upstream's clock when the run was confirmed, in ms.
    pub confirmed_ms: u64,
    /// When the last order was sent, steady ms.
    pub last_order_ms: u64,
    /// Whether an order is on its way.
    pub in_flight: bool,
    /// Whether a start without an answer may still arrive.
    pub start_unconfirmed: bool,
    /// Last progress reported, in hundredths.
    pub percent: u32,
    /// When the run was confirmed, steady ms.
    pub began_ms: u64,
    /// When the progress was last reported, steady ms.
    pub reported_ms: u64,
}

/// A unit's state.
#[derive(Clone, Debug, Default)]
pub struct UnitState {
    /// Where it stands.
    pub phase: UnitPhase,
    /// Number of its last run.
    pub run: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Checkpoint that the present run was started with.
    pub resumed: Arc<str>,
    /// Its tasks.
    pub members: Vec<MemberState>,
    /// Since when it could be placed or runs, steady ms.
    pub since_ms: u64,
    /// Upstreams where its runs failed, newest last.
    pub failed_on: Vec<ObjectName>,
    /// How often it was stopped in favour of other work.
    pub preempted: u32,
    /// Whether the log says why it waits for its next run.
    pub wait_logged: bool,
}

impl UnitState {
    /// Returns whether no member is on an upstream.
    pub fn is_clear(&self) -> bool {
        let unplaced = |member: &MemberState| member.phase == MemberPhase::Unplaced;
        self.members.iter().all(unplaced)
    }

    /// Returns how far its first task is; none if it does not run from its beginning.
    pub fn progress(&self) -> Option<TaskProgress> {
        let member = self.members.first()?;
        let is_usable = member.phase == MemberPhase::Running && self.resumed.is_empty();
        is_usable.then(|| TaskProgress {
            percent: member.percent,
            elapsed_ms: member.reported_ms.saturating_sub(member.began_ms),
        })
    }
}

/// A job that is not over.
#[derive(Clone, Debug)]
pub struct JobState {
    /// Its id.
    pub id: ObjectName,
    /// What was accepted.
    pub record: Rc<JobRecord>,
    /// Shapes of its units.
    pub shapes: Vec<UnitShape>,
    /// Units, parallel to the shapes.
    pub units: Vec<UnitState>,
    /// Its phase.
    pub phase: JobPhase,
    /// Phase that the stream of jobs shows.
    pub recorded_phase: JobPhase,
    /// Whether the tasks changed since they were last recorded.
    pub dirty: bool,
    /// Whether its members may need orders.
    pub orders_due: bool,
}

impl JobState {
    /// Creates the state of a job of which nothing runs.
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
            shapes,
            phase,
            recorded_phase: phase,
            dirty: false,
            orders_due: true,
        }
    }

    /// Takes over what an earlier owner recorded.
    pub fn restore(&mut self, stored: &RunRecord) {
        for (unit, record) in self.units.iter_mut().zip(&stored.units) {
            unit.run = record.run;
            unit.failed = record.failed;
            unit.checkpoint = record.checkpoint.clone();
            unit.resumed = record.checkpoint.clone();
            for place in &record.places {
                if let Some(member) = unit.members.get_mut(place.member as usize) {
                    member.phase = MemberPhase::Sent;
                    member.start_unconfirmed = true;
                    member.upstream = Some(place.upstream.clone());
                    member.incarnation = place.incarnation;
                }
            }
            let all_placed = record.places.len() == unit.members.len();
            unit.phase = match record.done {
                true => UnitPhase::Done,
                false if unit.is_clear() => UnitPhase::Waiting,
                false if all_placed => UnitPhase::Active,
                false => UnitPhase::Stopping,
            };
        }
    }

    /// Returns what is recorded of its tasks.
    pub fn run_fact(&self) -> RunRecord {
        RunRecord {
            units: self.units.iter().map(unit_fact).collect(),
        }
    }

    /// Returns the step of a unit.
    pub fn step(&self, unit: usize) -> &StepSpec {
        &self.record.spec.steps[self.shapes[unit].step as usize]
    }

    /// Returns the name of a unit's member.
    pub fn task(&self, unit: usize, member: usize) -> TaskRef {
        let shape = self.shapes[unit];
        TaskRef {
            job: self.id.clone(),
            round: shape.round,
            step: shape.step,
            index: shape.first + member as u32,
        }
    }

    /// Returns unit and member of a task's name.
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

    /// Returns the waiting units whose turn has come, step by step.
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

    /// Returns how far the running single tasks of a unit's step are, the unit's own among
    /// them; none for gangs, whose members keep step, and for runs that went on from a
    /// checkpoint.
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

    /// Returns whether nothing of it is on an upstream.
    pub fn is_clear(&self) -> bool {
        self.units.iter().all(UnitState::is_clear)
    }
}

fn unit_fact(unit: &UnitState) -> UnitRecord {
    let place = |(index, member): (usize, &MemberState)| {
        let upstream = member.upstream.clone()?;
        Some(AssignmentRecord {
            member: index as u32,
            upstream,
            incarnation: member.incarnation,
        })
    };
    // While a run is on its way, what it was started with must not change.
    let checkpoint = match unit.phase {
        UnitPhase::Active => &unit.resumed,
        _ => &unit.checkpoint,
    };
    UnitRecord {
        done: unit.phase == UnitPhase::Done,
        run: unit.run,
        failed: unit.failed,
        checkpoint: checkpoint.clone(),
        places: unit.members.iter().enumerate().filter_map(place).collect(),
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
