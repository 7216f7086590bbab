//! Handling of the ends of runs that upstreams list.

use std::sync::Arc;

use crate::tables::name::ObjectName;
use crate::work::model::record::JobPhase;
use crate::work::model::upstream::{EndKind, EndedTask};
use crate::work::owner::PoolOwner;
use crate::work::owner::failure_ledger::FailedRun;
use crate::work::owner::renewals::UNRECORDED_RENEW_PAUSE_MS;
use crate::work::owner::step_failures::StepRef;
use crate::work::owner::unit_state::UnitPhase;
use crate::work::owner::work_counts::WorkKind;

/// The former module path; operators filter log lines by it.
const LOG_TARGET: &str = "hemlockramp::work::owner::replies";

impl PoolOwner {
    /// Handles the ends that an answer lists for the first time.
    pub(super) fn reconcile_ended(&mut self, index: usize, ended: &[EndedTask]) {
        let name = self.upstreams[index].name.clone();
        let seen = self.upstreams[index].seen_end;
        let mut new_ends: Vec<&EndedTask> = ended.iter().filter(|end| end.number > seen).collect();
        new_ends.sort_by_key(|end| end.number);
        for end in &new_ends {
            self.on_end(&name, end);
        }
        let batch = self.batch;
        let upstream = &mut self.upstreams[index];
        if let Some(last) = new_ends.last() {
            upstream.seen_end = last.number;
            upstream.end_batch = Some(batch);
        }
        if upstream.end_batch.is_some() {
            upstream.next_renewal_ms = self.now.steady_ms + UNRECORDED_RENEW_PAUSE_MS;
        }
    }

    fn on_end(&mut self, name: &ObjectName, end: &EndedTask) {
        let found = self.find_member((&end.task, end.run, name));
        log::info!(
                target: LOG_TARGET,
            job = end.task.job.as_str(), task:% = end.task, run = end.run,
            upstream = name.as_str(), how:? = end.kind, number = end.number,
            current = found.is_some(); "owner: a run has ended."
        );
        let how = end_label(end.kind);
        metrics::counter!("hemlockramp_runs_ended_total", "how" => how).increment(1);
        self.counts.add(WorkKind::End, 1);
        let Some((job, unit, member)) = found else {
            metrics::counter!("hemlockramp_stray_ends_total", "how" => how).increment(1);
            if end.kind == EndKind::Done {
                self.accept_late_success(end);
            }
            return;
        };
        let lasting = self.jobs[job].step(unit).lasting;
        self.keep_checkpoint(job, unit, &end.checkpoint);
        self.count_run_time(job, unit, end.kind);
        self.clear_member(job, unit, member);
        match end.kind {
            EndKind::Done if !lasting => self.on_done(job, unit, name),
            EndKind::Failed => self.on_failed(job, unit, name),
            _ => self.stop_unit(job, unit),
        }
    }

    /// Accepts the success of a run that had been given up, if its unit has not been placed again: the
    /// work is done, and need not be done twice.
    fn accept_late_success(&mut self, end: &EndedTask) {
        let Some(job) = self.job_index(&end.task.job) else {
            return;
        };
        let Some((unit, _)) = self.jobs[job].locate(&end.task) else {
            return;
        };
        let state = &self.jobs[job];
        let waits = state.units[unit].phase == UnitPhase::Waiting && !state.phase.is_over();
        if !waits || state.step(unit).lasting {
            return;
        }
        log::info!(
            target: LOG_TARGET,
            job = end.task.job.as_str(), task:% = end.task, run = end.run;
            "owner: the success of a run that was given up is accepted."
        );
        self.jobs[job].rows.mark_unit(unit);
        self.complete_unit(job, unit);
    }

    /// Keeps a unit's newest checkpoint. One that is too long to be stored is left out, and the unit
    /// would resume from the one before.
    pub(super) fn keep_checkpoint(&mut self, job: usize, unit: usize, checkpoint: &Arc<str>) {
        if checkpoint.is_empty() {
            return;
        }
        let bytes_max = self.timing.checkpoint_max_bytes;
        if checkpoint.len() > bytes_max {
            log::debug!(
                target: LOG_TARGET,
                job = self.jobs[job].id.as_str(), unit, bytes = checkpoint.len(), bytes_max;
                "owner: a checkpoint is too long to be kept."
            );
            return;
        }
        self.jobs[job].units[unit].checkpoint = Arc::clone(checkpoint);
    }

    fn on_done(&mut self, job: usize, unit: usize, name: &ObjectName) {
        self.note_proven(name);
        if !self.failures.is_empty() {
            let step = self.step_ref(job, unit);
            self.failures.add_success(&step, name);
            self.apply_blame();
        }
        self.complete_unit(job, unit);
    }

    fn complete_unit(&mut self, job: usize, unit: usize) {
        self.jobs[job].set_unit_phase(unit, UnitPhase::Done);
        if self.jobs[job].is_done() {
            self.set_phase(job, JobPhase::Completed);
        }
        self.placement_due = true;
    }

    fn note_proven(&mut self, name: &ObjectName) {
        if let Some(index) = self.upstream_index(name) {
            let was_proven = std::mem::replace(&mut self.upstreams[index].is_proven, true);
            self.proven_upstreams += usize::from(!was_proven);
        }
    }

    /// Brings the blame of upstreams up to date where evidence has changed.
    pub(super) fn apply_blame(&mut self) {
        if self.failures.is_empty() {
            return;
        }
        let now_ms = self.now.steady_ms;
        for name in self.failures.take_changes(now_ms) {
            let blame = self.failures.blame(&name);
            if let Some(index) = self.upstream_index(&name) {
                self.upstreams[index].set_blame(blame, now_ms);
            }
        }
        let rows = self.failures.take_rows_read();
        self.counts.add(WorkKind::BlameStep, rows);
    }

    fn note_failure(&mut self, job: usize, unit: usize, name: &ObjectName) {
        let step = self.step_ref(job, unit);
        let is_step_done = !self.failures.knows_step(&step) && self.is_step_done(job, unit);
        let is_known_well = self.proven_upstreams * 2 > self.upstreams.len();
        let upstream = self
            .upstream_index(name)
            .map(|index| &self.upstreams[index]);
        let is_proven = upstream.is_some_and(|upstream| upstream.is_proven);
        self.failures.add_failure(FailedRun {
            step: &step,
            upstream: name,
            tasks: self.jobs[job].step(unit).count,
            is_step_done,
            is_upstream_proven: is_proven || !is_known_well,
            now_ms: self.now.steady_ms,
        });
        self.apply_blame();
    }

    /// Returns whether a task of the unit's step is done.
    fn is_step_done(&self, job: usize, unit: usize) -> bool {
        let state = &self.jobs[job];
        let step = state.shapes[unit].step;
        let mut units = state.shapes.iter().zip(&state.units);
        units.any(|(shape, unit)| shape.step == step && unit.phase == UnitPhase::Done)
    }

    fn step_ref(&self, job: usize, unit: usize) -> StepRef {
        let state = &self.jobs[job];
        StepRef {
            job: state.id.clone(),
            step: state.shapes[unit].step,
        }
    }

    fn on_failed(&mut self, job: usize, unit: usize, name: &ObjectName) {
        self.note_failure(job, unit, name);
        let attempts_max = self.rule(job).attempts_max;
        let lasting = self.jobs[job].step(unit).lasting;
        let state = &mut self.jobs[job].units[unit];
        state.count_failed_run();
        state.failed_on.push(name.clone());
        let failed = state.failed;
        if failed >= attempts_max && !lasting && state.phase != UnitPhase::Done {
            self.set_phase(job, JobPhase::Failed);
        }
        self.stop_unit(job, unit);
    }
}

fn end_label(kind: EndKind) -> &'static str {
    match kind {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::Broken => "broken",
        EndKind::Alone => "alone",
    }
}
