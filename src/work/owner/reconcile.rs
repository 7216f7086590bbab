//! Comparison of the runs that an upstream lists with those that the owner expects there.

use crate::tables::name::ObjectName;
use crate::work::clock::drift_safe_wait_ms;
use crate::work::model::record::JobPhase;
use crate::work::model::task_ref::TaskRef;
use crate::work::model::upstream::RenewReply;
use crate::work::owner::PoolOwner;
use crate::work::owner::loss_proof::LossProof;
use crate::work::owner::unit_state::{MemberPhase, StopProgress, UnitPhase};
use crate::work::owner::upstream_state::HeldTask;
use crate::work::owner::work_counts::WorkKind;

impl PoolOwner {
    pub(super) fn reconcile_running(&mut self, name: &ObjectName, reply: &RenewReply) {
        let arrived_ms = self.arrived_ms;
        let upstream = self
            .upstream_index(name)
            .map(|index| &self.upstreams[index]);
        let (incarnation, renewals) =
            upstream.map_or((0, 0), |upstream| (upstream.incarnation, upstream.renewals));
        for running in &reply.running {
            let key = (&running.task, running.run, name);
            let Some((job, unit, member)) = self.find_member(key) else {
                self.stop_orphaned_run(name, running);
                continue;
            };
            self.keep_checkpoint(job, unit, &running.checkpoint);
            self.confirm_member(job, unit, member, reply.clock_ms);
            self.note_life(job, unit, member, incarnation);
            let state = &mut self.jobs[job].units[unit].members[member];
            state.listed_at_renewal = Some(renewals);
            state.percent = running.percent;
            state.reported_ms = arrived_ms;
            if state.phase == MemberPhase::Sent && !state.in_flight {
                state.phase = MemberPhase::Running;
                self.set_phase(job, JobPhase::Running);
            }
            self.forget_old_crashes(job, unit, member);
        }
        self.look_at_progress(name);
    }

    /// Notes in which life of its upstream a member runs: a start may reach a later one than it was meant
    /// for. The stored row must name that life, or a later owner would take the run to be over.
    fn note_life(&mut self, job: usize, unit: usize, member: usize, incarnation: u64) {
        let state = &mut self.jobs[job].units[unit].members[member];
        if state.incarnation != incarnation {
            state.incarnation = incarnation;
            self.jobs[job].rows.mark_member(unit, member);
        }
    }

    /// Gives up runs that the upstream should have but lists neither as running nor as ended. A
    /// partial list proves nothing; the rest of it follows once its ends are acknowledged.
    ///
    /// Upstreams need not read their lists in one step, nor list a run while it stops, so one answer
    /// proves nothing either: the run must still be missing when a stop would be complete.
    pub(super) fn reconcile_missing(&mut self, name: &ObjectName, reply: &RenewReply) {
        let Some(index) = self.upstream_index(name) else {
            return;
        };
        self.upstreams[index].recheck_ms = None;
        if reply.ended_is_partial {
            return;
        }
        for held in self.unlisted_tasks(index) {
            if let Some(job) = self.job_index(&held.job)
                && let Some(proof) = self.absence_proof(index, job, &held, reply)
            {
                self.on_unlisted_run(index, job, &held, proof);
            }
        }
    }

    /// Returns the held tasks whose runs the last answer does not list as running.
    fn unlisted_tasks(&self, index: usize) -> Vec<HeldTask> {
        let upstream = &self.upstreams[index];
        self.counts
            .add(WorkKind::ReconcileStep, upstream.held.len());
        let is_unlisted = |held: &&HeldTask| {
            let job = self.job_index(&held.job);
            job.is_some_and(|job| {
                let member = &self.jobs[job].units[held.unit].members[held.member];
                member.listed_at_renewal != Some(upstream.renewals)
            })
        };
        let unlisted = upstream.held.iter().filter(is_unlisted);
        unlisted.cloned().collect()
    }

    /// Gives up a run that an answer lacks, unless a stop may still be in progress.
    fn on_unlisted_run(&mut self, index: usize, job: usize, held: &HeldTask, proof: LossProof) {
        let now_ms = self.now.steady_ms;
        let state = &mut self.jobs[job].units[held.unit].members[held.member];
        let seen_before = state.unlisted_since_ms.is_some();
        let since_ms = *state.unlisted_since_ms.get_or_insert(now_ms);
        let stop_ms = drift_safe_wait_ms(self.timing.stop_ms);
        // Once a later life has answered, it carries out no order of the life before, so a run that is
        // not listed there can only be one that is being stopped. Whether an earlier owner has told a
        // restored run to stop is not known.
        let recheck_ms = match (state.stop, proof) {
            (StopProgress::Answered { at_ms }, _) => since_ms.max(at_ms) + stop_ms,
            (_, LossProof::LaterLife) if !state.restored => since_ms,
            _ => since_ms + stop_ms,
        };
        let upstream = &mut self.upstreams[index];
        if seen_before && upstream.renewal_sent_ms >= recheck_ms {
            self.member_lost(job, held.unit, held.member, proof);
            return;
        }
        let earliest_ms = upstream.recheck_ms.unwrap_or(recheck_ms);
        upstream.recheck_ms = Some(earliest_ms.min(recheck_ms));
    }

    /// Returns the proof that a held task's run is not at its upstream, if the answer lists it neither as
    /// running nor as ended and was asked for after the upstream had confirmed the run.
    fn absence_proof(
        &self,
        index: usize,
        job: usize,
        held: &HeldTask,
        reply: &RenewReply,
    ) -> Option<LossProof> {
        let upstream = &self.upstreams[index];
        let unit = &self.jobs[job].units[held.unit];
        let state = &unit.members[held.member];
        let rows = reply.running.len() + reply.ended.len();
        self.counts.add(WorkKind::ReconcileStep, rows);
        let task = self.jobs[job].task(held.unit, held.member);
        let is_run = |other: &TaskRef, run: u32| run == unit.run && *other == task;
        let mut running = reply.running.iter();
        let mut ended = reply.ended.iter();
        let listed = running.any(|one| is_run(&one.task, one.run))
            || ended.any(|one| is_run(&one.task, one.run));
        if listed {
            return None;
        }
        if state.in_flight || state.stop == StopProgress::Sent {
            return None;
        }
        if state.incarnation != 0 && state.incarnation != upstream.incarnation {
            return Some(LossProof::LaterLife);
        }
        let known = state.phase == MemberPhase::Running || unit.phase != UnitPhase::Active;
        let settled = known && !state.start_unconfirmed;
        let asked_after = state
            .confirmed_at_renewal
            .is_some_and(|renewal| renewal < upstream.renewals);
        (settled && asked_after).then_some(LossProof::NotListed {
            answer_clock_ms: reply.clock_ms,
            confirmed_clock_ms: state.confirmed_ms,
            running: reply.running.len(),
            ended: reply.ended.len(),
        })
    }
}
