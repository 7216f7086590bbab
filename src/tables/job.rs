//! Jobs, their attempts and tasks.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::cell::{CellShape, CellSpan};
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;

/// A job as its caller submits it: a gang of equal shapes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Unique id, chosen by the caller; submitting it again changes nothing.
    pub id: ObjectName,
    /// The team that pays for it.
    pub team: ObjectName,
    /// Adjacent accelerators of each shape: 1, 2, 4 ... 128.
    pub shape: CellShape,
    /// Number of shapes in the gang; all run or none.
    pub count: u32,
    /// Only in this failure domain, when given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<ObjectName>,
    /// Whether it is urgent: first in its team's queue and never waits behind batch work.
    #[serde(default)]
    pub urgent: bool,
    /// Run time the caller expects, in ms; a hint.
    pub declared_ms: u64,
    /// Time after submission by which it should have finished, in ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Most attempts; 1 forbids a second run after a fault.
    #[serde(default = "default_attempts")]
    pub max_attempts: u32,
    /// What the workers run; passed through.
    #[serde(default)]
    pub command: String,
}

fn default_attempts() -> u32 {
    5
}

impl JobSpec {
    /// Returns the accelerators of the whole gang.
    pub fn accelerators(&self) -> u32 {
        self.shape.accelerators().saturating_mul(self.count)
    }
}

/// How a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Not yet prepared on its worker.
    Pending,
    /// Prepared and waiting for the whole gang.
    Prepared,
    /// Started.
    Running,
    /// Ended well.
    Finished,
    /// Ended with a fault of its own.
    Failed,
    /// Its stop is confirmed by the worker.
    Stopped,
    /// Its worker stopped answering; its lease may still run.
    Lost,
    /// Its lease has surely ended.
    Released,
}

impl TaskState {
    /// Returns whether the task can surely run no more.
    pub fn is_over(self) -> bool {
        matches!(
            self,
            Self::Finished | Self::Failed | Self::Stopped | Self::Released
        )
    }
}

impl TaskState {
    /// Returns whether the state may change to `new`; what is over stays as it is.
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

/// One task: the part of a gang on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Its worker.
    pub slot: WorkerSlot,
    /// Its accelerators, as bits of the worker.
    pub accelerators: u8,
    /// How it stands.
    pub state: TaskState,
}

/// Why an attempt is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopCause {
    /// The caller cancelled the job.
    Cancelled,
    /// Another team reclaimed its guarantee.
    Reclaimed,
    /// A task failed.
    TaskFailed,
    /// A worker was lost.
    WorkerLost,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptPhase {
    /// Waits for borrowed work to leave its cells.
    Reclaiming,
    /// Its tasks are being prepared.
    Preparing,
    /// All were prepared; its tasks are started.
    Running,
    /// Its tasks are being stopped.
    Stopping(StopCause),
}

/// One run of a job on a set of cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRow {
    /// Attempt number, from 1.
    pub number: u32,
    /// Fencing token: log offset of the record that placed it.
    pub token: u64,
    /// Its cells.
    pub cells: Vec<CellSpan>,
    /// Whether it runs inside its team's guarantee.
    pub guaranteed: bool,
    /// Where it stands.
    pub phase: AttemptPhase,
    /// Whether it holds its cells, rather than waiting for others to leave them.
    pub holds: bool,
    /// Whether its tasks were ever told to start.
    pub launched: bool,
    /// Its tasks, in the order of its cells.
    pub tasks: Vec<TaskRow>,
    /// Log time of its placement, in ms.
    pub placed_ms: u64,
    /// Log time at which all tasks were running, in ms.
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
    /// It was at fault or out of attempts; the text says which.
    Failed(String),
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Waits for a placement.
    Waiting,
    /// Has an attempt that holds accelerators.
    Active(AttemptRow),
    /// Ended.
    Ended(JobOutcome),
}

/// One step of a job's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEvent {
    /// Log time in ms.
    pub at_ms: u64,
    /// Log offset of the record that caused it.
    pub offset: u64,
    /// What happened and why.
    pub text: String,
}

/// Most events kept of one job; the oldest after the first are dropped.
const EVENTS_MAX: usize = 24;

/// One job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// As submitted.
    pub spec: JobSpec,
    /// Where it stands.
    pub state: JobState,
    /// Log time of its submission, in ms.
    pub submitted_ms: u64,
    /// Log time of its end, in ms.
    pub ended_ms: Option<u64>,
    /// Attempts so far.
    pub attempts: u32,
    /// Attempts that were started and not evicted; these count against `max_attempts`.
    pub launches: u32,
    /// Times it was evicted for another team's guarantee.
    pub evictions: u32,
    /// Accelerator-milliseconds it has run.
    pub attained_ms: u64,
    /// Workers on which it failed, sorted.
    pub failed_on: Vec<ObjectName>,
    /// Its history.
    pub events: Vec<JobEvent>,
}

impl JobRow {
    /// Creates a waiting job.
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

    /// Returns the attempt that holds accelerators.
    pub fn attempt(&self) -> Option<&AttemptRow> {
        match &self.state {
            JobState::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns the attempt that holds accelerators, for change.
    pub fn attempt_mut(&mut self) -> Option<&mut AttemptRow> {
        match &mut self.state {
            JobState::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Adds a step to the history.
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

/// All jobs, sorted by id. Rows are shared, so a copy of the table is cheap.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct JobTable {
    /// The rows, sorted by id.
    pub rows: Vec<Arc<JobRow>>,
}

impl JobTable {
    fn search(&self, id: &ObjectName) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.spec.id.cmp(id))
    }

    /// Finds a job.
    pub fn find(&self, id: &ObjectName) -> Option<&JobRow> {
        let index = self.search(id).ok()?;
        Some(&self.rows[index])
    }

    /// Finds a job for change.
    pub fn find_mut(&mut self, id: &ObjectName) -> Option<&mut JobRow> {
        let index = self.search(id).ok()?;
        Some(Arc::make_mut(&mut self.rows[index]))
    }

    /// Adds a job unless its id is taken.
    pub fn insert(&mut self, row: JobRow) {
        if let Err(index) = self.search(&row.spec.id) {
            self.rows.insert(index, Arc::new(row));
        }
    }

    /// Iterates over the jobs that wait for a placement.
    pub fn waiting(&self) -> impl Iterator<Item = &JobRow> {
        let rows = self.rows.iter().map(Arc::as_ref);
        rows.filter(|row| row.state == JobState::Waiting)
    }

    /// Iterates over the jobs that hold accelerators.
    pub fn active(&self) -> impl Iterator<Item = (&JobRow, &AttemptRow)> {
        let rows = self.rows.iter().map(Arc::as_ref);
        rows.filter_map(|row| Some((row, row.attempt()?)))
    }
}
