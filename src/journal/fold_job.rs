//! Folds submissions, cancellations and rejections.

use crate::journal::record::{CancelRecord, RejectRecord};
use crate::journal::state::FoldState;
use crate::tables::job::{AttemptPhase, JobOutcome, JobRow, JobSpec, JobState, StopCause};
use crate::tables::name::ObjectName;

/// Time an ended job is kept, in ms of log time.
pub const ENDED_JOB_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Most accelerators of one gang.
pub const GANG_ACCELERATORS_MAX: u32 = 4_096;

impl FoldState {
    pub(crate) fn apply_submit(&mut self, offset: u64, job: &JobSpec) -> Result<(), String> {
        if let Some(old) = self.jobs.find(&job.id) {
            return match old.spec == *job {
                true => Ok(()),
                false => Err(format!("job {} exists with another content", job.id)),
            };
        }
        self.check_submit(job)?;
        let mut row = JobRow::new(job.clone(), self.now_ms);
        row.record_event(self.now_ms, offset, "submitted");
        self.jobs.insert(row);
        Ok(())
    }

    /// Checks a job against its team's rules. Errors are told to the caller as not run.
    pub fn check_submit(&self, job: &JobSpec) -> Result<(), String> {
        let team = self.teams.find(&job.team);
        let team = team.ok_or_else(|| format!("team {} is not known", job.team))?;
        if job.count == 0 || job.accelerators() > GANG_ACCELERATORS_MAX {
            return Err(format!(
                "a gang of {} times {} accelerators; allowed are 1 to {GANG_ACCELERATORS_MAX} in all",
                job.count,
                job.shape.accelerators()
            ));
        }
        let quota = team.spec.quota_accelerators;
        if job.accelerators() > quota {
            return Err(format!(
                "{} accelerators; team {} may hold {quota}",
                job.accelerators(),
                job.team
            ));
        }
        let waiting = self.jobs.waiting().filter(|row| row.spec.team == job.team);
        if waiting.count() >= team.spec.max_waiting_jobs as usize {
            return Err(format!("team {} has too many waiting jobs", job.team));
        }
        Ok(())
    }

    pub(crate) fn apply_cancel(
        &mut self,
        offset: u64,
        cancel: &CancelRecord,
    ) -> Result<(), String> {
        let mut changed = 0;
        for id in &cancel.jobs {
            changed += usize::from(self.cancel_one(offset, id));
        }
        match changed {
            0 => Err("no such job, or all had ended".to_owned()),
            _ => Ok(()),
        }
    }

    fn cancel_one(&mut self, offset: u64, id: &ObjectName) -> bool {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.find_mut(id) else {
            return false;
        };
        match &job.state {
            JobState::Ended(_) => false,
            JobState::Waiting => {
                job.record_event(now_ms, offset, "cancelled while waiting");
                self.end_job(id, JobOutcome::Cancelled);
                true
            }
            JobState::Active(_) => {
                job.record_event(now_ms, offset, "cancelled; its tasks are being stopped");
                self.stop_attempt(offset, id, StopCause::Cancelled);
                true
            }
        }
    }

    pub(crate) fn apply_reject(
        &mut self,
        offset: u64,
        reject: &RejectRecord,
    ) -> Result<(), String> {
        let now_ms = self.now_ms;
        let job = self.jobs.find_mut(&reject.job);
        let job = job.filter(|job| job.state == JobState::Waiting);
        let job = job.ok_or_else(|| "the job does not wait".to_owned())?;
        job.record_event(now_ms, offset, format!("can never run: {}", reject.reason));
        self.end_job(&reject.job, JobOutcome::Failed(reject.reason.clone()));
        Ok(())
    }

    /// Ends a job that holds nothing.
    pub(crate) fn end_job(&mut self, id: &ObjectName, outcome: JobOutcome) {
        let now_ms = self.now_ms;
        if let Some(job) = self.jobs.find_mut(id) {
            job.state = JobState::Ended(outcome);
            job.ended_ms = Some(now_ms);
        }
    }

    /// Starts to stop a job's attempt. A cancellation overrides any other cause.
    pub(crate) fn stop_attempt(&mut self, offset: u64, id: &ObjectName, cause: StopCause) {
        let Some(attempt) = self.jobs.find_mut(id).and_then(JobRow::attempt_mut) else {
            return;
        };
        let never_sent = attempt.phase == AttemptPhase::Reclaiming;
        let stopping = matches!(attempt.phase, AttemptPhase::Stopping(_));
        if !stopping || cause == StopCause::Cancelled {
            attempt.phase = AttemptPhase::Stopping(cause);
        }
        if never_sent {
            self.end_attempt(offset, id);
        }
    }

    pub(crate) fn prune_jobs(&mut self) {
        let now_ms = self.now_ms;
        let expired = |ended_ms: Option<u64>| {
            ended_ms.is_some_and(|at| at.saturating_add(ENDED_JOB_RETENTION_MS) < now_ms)
        };
        self.jobs.rows.retain(|job| !expired(job.ended_ms));
    }
}
