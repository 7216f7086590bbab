//! Folds task reports and drives a gang from prepared to running to ended.

use crate::journal::record::TaskReport;
use crate::journal::state::FoldState;
use crate::tables::job::{
    AttemptPhase, AttemptRow, JobOutcome, JobRow, JobState, StopCause, TaskState,
};
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;

/// Distinct workers on which a job may fail before it is at fault itself.
pub const JOB_FAILURE_WORKERS: usize = 3;

impl FoldState {
    pub(crate) fn apply_tasks(
        &mut self,
        offset: u64,
        reports: &[TaskReport],
    ) -> Result<(), String> {
        let mut changed = false;
        for report in reports {
            changed |= self.apply_report(offset, report);
        }
        match changed {
            true => Ok(()),
            false => Err("every report was known or out of date".to_owned()),
        }
    }

    fn apply_report(&mut self, offset: u64, report: &TaskReport) -> bool {
        let attempt = self.jobs.find(&report.job).and_then(JobRow::attempt);
        let attempt = attempt.filter(|attempt| attempt.number == report.attempt);
        let task = attempt.and_then(|attempt| attempt.tasks.get(usize::from(report.task)));
        let Some(task) = task else { return false };
        if !task.state.may_become(report.state) {
            return false;
        }
        let slot = task.slot;
        if let Some(attempt) = self
            .jobs
            .find_mut(&report.job)
            .and_then(JobRow::attempt_mut)
        {
            attempt.tasks[usize::from(report.task)].state = report.state;
        }
        self.record_worker_result(&report.job, slot, report.state);
        self.advance_attempt(offset, report, slot);
        true
    }

    fn record_worker_result(&mut self, job: &ObjectName, slot: WorkerSlot, state: TaskState) {
        match state {
            TaskState::Finished => self.record_worker_success(slot),
            TaskState::Failed => self.record_worker_failure(job, slot),
            _ => {}
        }
    }

    fn advance_attempt(&mut self, offset: u64, report: &TaskReport, slot: WorkerSlot) {
        let id = &report.job;
        match report.state {
            TaskState::Failed => {
                self.record_job_failure(offset, id, slot);
                self.stop_attempt(offset, id, StopCause::TaskFailed);
            }
            TaskState::Lost => {
                self.record_task_event(offset, id, slot, "does not answer; the gang stops");
                self.stop_attempt(offset, id, StopCause::WorkerLost);
            }
            TaskState::Stopped | TaskState::Released => {
                // A stop nobody asked for is a lapsed lease or a restarted worker.
                self.stop_attempt_unless_stopping(offset, id, slot);
            }
            _ => {}
        }
        self.add_attained_service(id, report.ran_ms);
        self.start_when_prepared(offset, id);
        self.record_gang_start(offset, id);
        let attempt = self.jobs.find(id).and_then(JobRow::attempt);
        if attempt.is_some_and(|attempt| attempt.tasks.iter().all(|task| task.state.is_over())) {
            self.end_attempt(offset, id);
        }
    }

    fn stop_attempt_unless_stopping(&mut self, offset: u64, id: &ObjectName, slot: WorkerSlot) {
        let attempt = self.jobs.find(id).and_then(JobRow::attempt);
        let stopping = attempt.is_some_and(|row| matches!(row.phase, AttemptPhase::Stopping(_)));
        if !stopping {
            self.record_task_event(offset, id, slot, "stopped its task; the gang stops");
            self.stop_attempt(offset, id, StopCause::WorkerLost);
        }
    }

    fn record_task_event(&mut self, offset: u64, id: &ObjectName, slot: WorkerSlot, text: &str) {
        let now_ms = self.now_ms;
        let worker = self.racks.worker(slot);
        let name = worker.map_or("?".to_owned(), |worker| worker.name.to_string());
        if let Some(job) = self.jobs.find_mut(id) {
            job.record_event(now_ms, offset, format!("worker {name} {text}"));
        }
    }

    fn record_job_failure(&mut self, offset: u64, id: &ObjectName, slot: WorkerSlot) {
        self.record_task_event(offset, id, slot, "failed its task; the gang stops");
        let worker = self.racks.worker(slot).map(|worker| worker.name.clone());
        let (Some(worker), Some(job)) = (worker, self.jobs.find_mut(id)) else {
            return;
        };
        if let Err(index) = job.failed_on.binary_search(&worker) {
            job.failed_on.insert(index, worker);
        }
    }

    fn add_attained_service(&mut self, id: &ObjectName, ran_ms: u64) {
        if let Some(job) = self.jobs.find_mut(id).filter(|_| ran_ms > 0) {
            job.attained_ms = job.attained_ms.saturating_add(ran_ms);
        }
    }

    fn start_when_prepared(&mut self, offset: u64, id: &ObjectName) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.find_mut(id) else {
            return;
        };
        let Some(attempt) = job.attempt_mut() else {
            return;
        };
        let all_prepared = attempt
            .tasks
            .iter()
            .all(|task| task.state == TaskState::Prepared);
        if attempt.phase == AttemptPhase::Preparing && all_prepared {
            attempt.phase = AttemptPhase::Running;
            attempt.launched = true;
            job.launches += 1;
            job.record_event(now_ms, offset, "every task is prepared; the gang starts");
        }
    }

    fn record_gang_start(&mut self, offset: u64, id: &ObjectName) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.find_mut(id) else {
            return;
        };
        let Some(attempt) = job.attempt_mut() else {
            return;
        };
        let started = |state| matches!(state, TaskState::Running | TaskState::Finished);
        let whole = attempt.tasks.iter().all(|task| started(task.state));
        if whole && attempt.started_ms.is_none() {
            attempt.started_ms = Some(now_ms);
            job.record_event(now_ms, offset, "every task runs");
        }
    }

    /// Ends an attempt none of whose tasks can run any more.
    pub(crate) fn end_attempt(&mut self, offset: u64, id: &ObjectName) {
        let Some(job) = self.jobs.find(id).cloned() else {
            return;
        };
        let Some(attempt) = job.attempt().cloned() else {
            return;
        };
        self.release_cells(&job, &attempt);
        self.record_run_time(&job, &attempt);
        let next = next_state(&job, &attempt);
        let now_ms = self.now_ms;
        if let Some(row) = self.jobs.find_mut(id) {
            row.record_event(now_ms, offset, attempt_end_text(&attempt, &next));
            row.state = next.clone();
            // An eviction is the system's doing and doesn't use up an attempt.
            let evicted = attempt.phase == AttemptPhase::Stopping(StopCause::Reclaimed);
            row.launches -= u32::from(evicted && attempt.launched);
        }
        if let JobState::Ended(outcome) = next {
            self.end_job(id, outcome);
        }
        self.prepare_unblocked_attempts(offset);
    }
}

impl FoldState {
    fn record_run_time(&mut self, job: &JobRow, attempt: &AttemptRow) {
        let finished = attempt
            .tasks
            .iter()
            .all(|task| task.state == TaskState::Finished);
        let started_ms = attempt.started_ms.filter(|_| finished && job.attempts == 1);
        let team = self.teams.find_mut(&job.spec.team);
        if let (Some(started_ms), Some(team)) = (started_ms, team) {
            team.update_run_ratio(job.spec.declared_ms, self.now_ms.saturating_sub(started_ms));
        }
    }
}

fn next_state(job: &JobRow, attempt: &AttemptRow) -> JobState {
    let finished = |task: &crate::tables::job::TaskRow| task.state == TaskState::Finished;
    if attempt.tasks.iter().all(finished) {
        return JobState::Ended(JobOutcome::Finished);
    }
    let AttemptPhase::Stopping(cause) = attempt.phase else {
        return JobState::Waiting;
    };
    match cause {
        StopCause::Cancelled => JobState::Ended(JobOutcome::Cancelled),
        StopCause::Reclaimed => JobState::Waiting,
        _ if job.failed_on.len() >= JOB_FAILURE_WORKERS => {
            let workers: Vec<&str> = job.failed_on.iter().map(ObjectName::as_str).collect();
            let reason = format!("failed on distinct workers {}", workers.join(", "));
            JobState::Ended(JobOutcome::Failed(reason))
        }
        _ if job.launches >= job.spec.max_attempts => {
            let reason = format!("its {} attempts are used up", job.spec.max_attempts);
            JobState::Ended(JobOutcome::Failed(reason))
        }
        _ => JobState::Waiting,
    }
}

fn attempt_end_text(attempt: &AttemptRow, next: &JobState) -> String {
    let number = attempt.number;
    match next {
        JobState::Ended(JobOutcome::Finished) => format!("attempt {number} finished"),
        JobState::Ended(JobOutcome::Cancelled) => format!("attempt {number} stopped; cancelled"),
        JobState::Ended(JobOutcome::Failed(reason)) => {
            format!("attempt {number} stopped; the job failed: {reason}")
        }
        _ => format!("attempt {number} stopped everywhere; the job waits again"),
    }
}
