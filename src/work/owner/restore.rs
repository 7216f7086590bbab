//! Jobs that the owner takes on, with the task state that an earlier owner recorded.

use std::rc::Rc;

use crate::tables::name::ObjectName;
use crate::work::model::record::{JobPhase, JobRecord, RunRow};
use crate::work::owner::PoolOwner;
use crate::work::owner::job_state::JobState;
use crate::work::owner::upstream_state::HeldTask;

impl PoolOwner {
    /// Adds a job, with the rows of its tasks that an earlier owner recorded, sorted by number.
    pub fn add_job(
        &mut self,
        id: &ObjectName,
        record: Rc<JobRecord>,
        phase: JobPhase,
        stored: &[RunRow],
    ) {
        let Err(index) = self.jobs.binary_search_by(|job| job.id.cmp(id)) else {
            return;
        };
        // The job can be submitted again before its final phase is in the table.
        if self.ended.binary_search(id).is_ok() {
            return;
        }
        let mut job = JobState::new(id.clone(), record, phase, self.now.steady_ms);
        if !stored.is_empty() {
            job.restore(stored);
            self.restore_held_tasks(&job);
        }
        self.restore_waits(&mut job);
        let over = job.phase.is_over();
        self.jobs.insert(index, job);
        self.resolve_restored_losses(index);
        if over {
            self.stop_job(index);
        } else {
            self.restore_final_phase(index);
        }
        self.placement_due = true;
    }

    /// Dates the waits of units that have never run from their job's acceptance, as the owner does
    /// that saw it. Otherwise they would wait for their racks anew under each owner.
    fn restore_waits(&self, job: &mut JobState) {
        let waited_ms = self.now.wall_ms.saturating_sub(job.record.accepted_ms);
        let since_ms = self.now.steady_ms.saturating_sub(waited_ms);
        for unit in job.units.iter_mut().filter(|unit| unit.run == 0) {
            unit.since_ms = since_ms;
        }
    }

    /// Sets the final phase of a job whose previous owner recorded the last run's end but not the
    /// phase.
    fn restore_final_phase(&mut self, job: usize) {
        let attempts_max = self.rule(job).attempts_max;
        let state = &self.jobs[job];
        let failed = (0..state.units.len()).any(|unit| {
            let lasting = state.step(unit).lasting;
            !lasting && state.units[unit].failed >= attempts_max
        });
        if state.is_done() {
            self.set_phase(job, JobPhase::Completed);
        } else if failed {
            self.set_phase(job, JobPhase::Failed);
        }
    }

    /// Reserves what a restored job already holds on upstreams.
    fn restore_held_tasks(&mut self, job: &JobState) {
        for (unit, unit_state) in job.units.iter().enumerate() {
            for (member, state) in unit_state.members.iter().enumerate() {
                let Some(name) = &state.upstream else {
                    continue;
                };
                let held = HeldTask {
                    job: job.id.clone(),
                    unit,
                    member,
                    need: job.step(unit).need,
                    isolated: unit_state.crashes.is_isolated(),
                };
                let prior_leases_expire_ms = self.prior_leases_expire_ms;
                let upstream = self.upstream_mut(name);
                upstream.leases_expire_ms = upstream.leases_expire_ms.max(prior_leases_expire_ms);
                upstream.hold(held);
            }
        }
    }
}
