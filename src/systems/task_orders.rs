//! What each worker should be doing, and what its answers mean for the journal.

use crate::journal::record::{AttemptRef, TaskReport};
use crate::journal::state::FoldState;
use crate::tables::job::{AttemptPhase, AttemptRow, JobRow, StopCause, TaskRow, TaskState};
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;
use crate::wire::worker::{DesiredState, TaskOrder, TaskStatus, WorkerTaskState};

/// One task's order with its place in the tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRow {
    /// The worker it is for.
    pub slot: WorkerSlot,
    /// The job.
    pub job: ObjectName,
    /// The attempt.
    pub attempt: u32,
    /// The task's index.
    pub task: u16,
    /// The state that the journal knows.
    pub recorded: TaskState,
    /// The order as it is sent.
    pub order: TaskOrder,
}

/// Orders for all workers, sorted by worker.
#[derive(Clone, Debug, Default)]
pub struct OrderTable {
    /// The rows.
    pub rows: Vec<OrderRow>,
}

impl OrderTable {
    /// Derives the orders from the folded state. Attempts in `lost` (sorted) are stopped
    /// whatever the journal says: the log cannot be asked.
    pub fn derive(state: &FoldState, lost: &[AttemptRef], grace_ms: u64) -> Self {
        let mut rows = Vec::new();
        for (job, attempt) in state.jobs.active() {
            if is_lost(lost, job, attempt) {
                let stopped = AttemptRow {
                    phase: AttemptPhase::Stopping(StopCause::WorkerLost),
                    ..attempt.clone()
                };
                push_orders(job, &stopped, grace_ms, &mut rows);
            } else {
                push_orders(job, attempt, grace_ms, &mut rows);
            }
        }
        rows.sort_by_key(|row| row.slot);
        Self { rows }
    }

    /// Returns the orders for one worker.
    pub fn for_worker(&self, slot: WorkerSlot) -> &[OrderRow] {
        let first = self.rows.partition_point(|row| row.slot < slot);
        let after = self.rows.partition_point(|row| row.slot <= slot);
        &self.rows[first..after]
    }
}

fn is_lost(lost: &[AttemptRef], job: &JobRow, attempt: &AttemptRow) -> bool {
    let key = (&job.spec.id, attempt.number);
    let holds = attempt.phase != AttemptPhase::Reclaiming;
    let found = lost.binary_search_by(|row| (&row.job, row.attempt).cmp(&key));
    holds && found.is_ok()
}

fn push_orders(job: &JobRow, attempt: &AttemptRow, grace_ms: u64, rows: &mut Vec<OrderRow>) {
    for (index, task) in attempt.tasks.iter().enumerate() {
        rows.extend(order_row(job, attempt, index, task, grace_ms));
    }
}

fn order_row(
    job: &JobRow,
    attempt: &AttemptRow,
    index: usize,
    task: &TaskRow,
    grace_ms: u64,
) -> Option<OrderRow> {
    let want = match attempt.phase {
        AttemptPhase::Reclaiming => return None,
        AttemptPhase::Preparing => DesiredState::Prepare,
        AttemptPhase::Running => DesiredState::Run,
        AttemptPhase::Stopping(_) => DesiredState::Stop,
    };
    // What is over needs no order; the worker forgets it.
    if task.state.is_over() {
        return None;
    }
    let checkpoint = attempt.phase == AttemptPhase::Stopping(StopCause::Reclaimed);
    Some(OrderRow {
        slot: task.slot,
        job: job.spec.id.clone(),
        attempt: attempt.number,
        task: index as u16,
        recorded: task.state,
        order: TaskOrder {
            task: format!("{}/{index}", job.spec.id),
            token: attempt.token,
            want,
            accelerators: task.accelerators,
            grace_ms: if checkpoint { grace_ms } else { 0 },
            command: job.spec.command.clone(),
        },
    })
}

/// Returns what a worker's answer adds to the journal.
pub fn task_reports(rows: &[OrderRow], statuses: &[TaskStatus]) -> Vec<TaskReport> {
    let mut reports = Vec::new();
    for status in statuses {
        let matching =
            |row: &&OrderRow| row.order.task == status.task && row.order.token == status.token;
        let Some(row) = rows.iter().find(matching) else {
            continue;
        };
        let state = task_state(status.state);
        if row.recorded.may_become(state) {
            reports.push(task_report(row, state, status.ran_ms));
        }
    }
    reports
}

/// Returns reports that a silent worker's tasks are lost.
pub fn lost_reports(rows: &[OrderRow]) -> Vec<TaskReport> {
    let unreported = rows.iter().filter(|row| row.recorded != TaskState::Lost);
    unreported
        .map(|row| task_report(row, TaskState::Lost, 0))
        .collect()
}

/// Returns reports that the lost tasks' leases have surely ended.
pub fn released_reports(rows: &[OrderRow]) -> Vec<TaskReport> {
    let lost = rows.iter().filter(|row| row.recorded == TaskState::Lost);
    lost.map(|row| task_report(row, TaskState::Released, 0))
        .collect()
}

fn task_report(row: &OrderRow, state: TaskState, ran_ms: u64) -> TaskReport {
    TaskReport {
        job: row.job.clone(),
        attempt: row.attempt,
        task: row.task,
        state,
        ran_ms,
    }
}

fn task_state(state: WorkerTaskState) -> TaskState {
    match state {
        WorkerTaskState::Prepared => TaskState::Prepared,
        WorkerTaskState::Running => TaskState::Running,
        WorkerTaskState::Finished => TaskState::Finished,
        WorkerTaskState::Failed => TaskState::Failed,
        WorkerTaskState::Stopped => TaskState::Stopped,
    }
}
