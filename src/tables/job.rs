//! Table of jobs with their attempts and tasks.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::cell::{CellShape, CellSpan};
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;

/// A job as submitted: a gang of cells of the same shape that run together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Unique id, chosen by the caller; submitting the same job again changes nothing.
    pub id: ObjectName,
    /// The team whose guarantee and quota the job uses.
    pub team: ObjectName,
    /// Number of adjacent accelerators in each cell: 1, 2, 4 ... 128.
    pub shape: CellShape,
    /// Number of cells in the gang; they all run or none does.
    pub count: u32,
    /// The only failure domain in which the job may run; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<ObjectName>,
    /// Whether the job is urgent: it is first in its team's queue and never waits behind batch
    /// work.
    #[serde(default)]
    pub urgent: bool,
    /// Run time that the caller expects, in ms; used for planning only, not enforced.
    pub declared_ms: u64,
    /// Time after submission within which the job should finish, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Maximum number of attempts; 1 forbids a second run after a fault.
    #[serde(default = "default_attempts")]
    pub max_attempts: u32,
    /// The command that the workers run, passed to them unchanged.
    #[serde(default)]
    pub command: String,
}

fn default_attempts() -> u32 {
    5
}

impl JobSpec {
    /// Returns the number of accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.shape.accelerators().saturating_mul(self.count)
    }
}

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Not prepared on its worker yet.
    Pending,
    /// Prepared; starts once the whole gang is prepared.
    Prepared,
    Running,
    /// Ended successfully.
    Finished,
    /// Ended with an error of its own.
    Failed,
    /// Stopped, as confirmed by its worker.
    Stopped,
    /// Its worker no longer answers; the task may run until its lease expires.
    Lost,
    /// Its lease has certainly expired, so it cannot run any more.
    Released,
}

impl TaskState {
    /// Returns whether the task certainly cannot run any more.
    pub fn is_over(self) -> bool {
        matches!(
            self,
            Self::Finished | Self::Failed | Self::Stopped | Self::Released
        )
    }
}

impl TaskState {
    /// Returns whether the state may change to `new`; a state that is over never changes.
    pub fn may_become(self, new: Self) -> bool {
        if self.is_over() || self == new {
            return false;
        }
        match new {
            Self::Pending => false,
            Self::Prepared => self == Self::Pending,
            Self::Running => matches!(self, Self::Pending | Self::Prepared),
            Self::Released => self == Self::Lost,
            _ => true,
        }
    }
}

/// A task: the part of a cell on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// The worker's slot.
    pub slot: WorkerSlot,
    /// Mask of the worker's accelerators that the task uses.
    pub accelerators: u8,
    pub state: TaskState,
}

/// Why an attempt is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopCause {
    /// The caller cancelled the job.
    Cancelled,
    /// Evicted for a guarantee or an urgent job, or while reclaiming cells under a guarantee that
    /// was then lowered.
    Reclaimed,
    /// A task failed.
    TaskFailed,
    /// A worker stopped answering, or stopped its task without a request.
    WorkerLost,
}

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptPhase {
    /// Waits until borrowed work has released its cells.
    Reclaiming,
    /// Its tasks are being prepared on their workers.
    Preparing,
    /// All tasks were prepared; they are being started or are running.
    Running,
    /// Its tasks are being stopped.
    Stopping(StopCause),
}

/// One attempt to run a job on a set of cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRow {
    /// Attempt number, from 1.
    pub number: u32,
    /// Fencing token: log offset of the record that placed the attempt.
    pub token: u64,
    /// Cells on which the gang runs.
    pub cells: Vec<CellSpan>,
    /// Whether it runs inside its team's guarantee rather than on borrowed capacity.
    pub guaranteed: bool,
    pub phase: AttemptPhase,
    /// Whether it holds its cells rather than waiting for other attempts to release them.
    pub holds: bool,
    /// Whether its tasks have been told to start.
    pub launched: bool,
    /// Its tasks, in the order of its cells.
    pub tasks: Vec<TaskRow>,
    /// Log time of the placement, in ms.
    pub placed_ms: u64,
    /// Log time at which all tasks had started, in ms.
    pub started_ms: Option<u64>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// Every task finished.
    Finished,
    /// The caller cancelled it.
    Cancelled,
    /// It was faulty, used up its attempts or could never run. Carries the reason.
    Failed(String),
}

/// The state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Waiting for a placement.
    Waiting,
    /// Has an attempt that holds or reclaims accelerators.
    Active(AttemptRow),
    /// Ended; kept until its retention time has passed.
    Ended(JobOutcome),
}

/// An event in a job's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEvent {
    /// Log time in ms.
    pub at_ms: u64,
    /// Log offset of the record that caused it.
    pub offset: u64,
    /// What happened and why.
    pub text: String,
}

/// Maximum number of events kept for a job; the first one is kept and the oldest others dropped.
const EVENTS_MAX: usize = 24;

/// A job with its state and history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job as submitted.
    pub spec: JobSpec,
    pub state: JobState,
    /// Log time of the submission, in ms.
    pub submitted_ms: u64,
    /// Log time of the end, in ms.
    pub ended_ms: Option<u64>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Number of attempts that were started and not evicted; these count against `max_attempts`.
    pub launches: u32,
    /// Number of times the job was evicted to free its cells for other jobs.
    pub evictions: u32,
    /// Service attained so far: the sum of the run times that its tasks reported, in ms.
    pub attained_ms: u64,
    /// Names of distinct workers on which the job failed, sorted.
    pub failed_on: Vec<ObjectName>,
    /// Events in order, oldest first.
    pub events: Vec<JobEvent>,
}

impl JobRow {
    /// Creates a job that waits for a placement.
    pub fn new(spec: JobSpec, submitted_ms: u64) -> Self {
        Self {
            spec,
            state: JobState::Waiting,
            submitted_ms,
            ended_ms: None,
            attempts: 0,
            launches: 0,
            evictions: 0,
            attained_ms: 0,
            failed_on: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the active attempt.
    pub fn attempt(&self) -> Option<&AttemptRow> {
        match &self.state {
            JobState::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns the active attempt for modification.
    pub fn attempt_mut(&mut self) -> Option<&mut AttemptRow> {
        match &mut self.state {
            JobState::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Adds an event to the history.
    pub fn record_event(&mut self, at_ms: u64, offset: u64, text: impl Into<String>) {
        if self.events.len() >= EVENTS_MAX {
            self.events.remove(1);
        }
        self.events.push(JobEvent {
            at_ms,
            offset,
            text: text.into(),
        });
    }
}

/// All jobs, sorted by id. Clones of the table share the rows, so cloning is cheap.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct JobTable {
    /// The rows, sorted by id.
    pub rows: Vec<Arc<JobRow>>,
}

impl JobTable {
    fn search(&self, id: &ObjectName) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.spec.id.cmp(id))
    }

    /// Returns the job with an id.
    pub fn find(&self, id: &ObjectName) -> Option<&JobRow> {
        let index = self.search(id).ok()?;
        Some(&self.rows[index])
    }

    /// Returns the job with an id for modification; copies the row if it is shared.
    pub fn find_mut(&mut self, id: &ObjectName) -> Option<&mut JobRow> {
        let index = self.search(id).ok()?;
        Some(Arc::make_mut(&mut self.rows[index]))
    }

    /// Adds a job; does nothing if its id is taken.
    pub fn insert(&mut self, row: JobRow) {
        if let Err(index) = self.search(&row.spec.id) {
            self.rows.insert(index, Arc::new(row));
        }
    }

    /// Returns an iterator over the jobs that wait for a placement.
    pub fn waiting(&self) -> impl Iterator<Item = &JobRow> {
        let rows = self.rows.iter().map(Arc::as_ref);
        rows.filter(|row| row.state == JobState::Waiting)
    }

    /// Returns an iterator over the jobs with an active attempt.
    pub fn active(&self) -> impl Iterator<Item = (&JobRow, &AttemptRow)> {
        let rows = self.rows.iter().map(Arc::as_ref);
        rows.filter_map(|row| Some((row, row.attempt()?)))
    }
}
