//! Comparison of the runs that an upstream lists with those that the owner expects there.

use crate::tables::name::ObjectName;
use crate::work::owner::PoolOwner;
use crate::work::owner::job_state::{MemberPhase, UnitPhase};
use crate::work::owner::loss_proof::LossProof;
use crate::work::record::JobPhase;
use crate::work::upstream::RenewReply;

/// Shortest time between two slowdown samples of an upstream, in ms.
const SLOWDOWN_SAMPLE_INTERVAL_MS: u64 = 500;

impl PoolOwner {
    pub(super) fn reconcile_running(&mut self, name: &ObjectName, reply: &RenewReply) {
        let now_ms = self.now.steady_ms;
        let incarnation = self
            .upstream_index(name)
            .map_or(0, |index| self.upstreams[index].incarnation);
        for running in &reply.running {
            let key = (&running.task, running.run, name);
            let Some((job, unit, member)) = self.find_member(key) else {
                self.stop_orphaned_run(name, running);
                continue;
            };
            self.keep_checkpoint(job, unit, &running.checkpoint);
            let state = &mut self.jobs[job].units[unit].members[member];
            state.start_unconfirmed = false;
            state.incarnation = incarnation;
            state.confirmed_ms = reply.clock_ms;
            state.percent = running.percent;
            state.reported_ms = now_ms;
            let start_time_unknown = state.began_ms == 0;
            if state.phase == MemberPhase::Sent && !state.in_flight {
                state.phase = MemberPhase::Running;
                self.set_phase(job, JobPhase::Running);
            }
            self.forget_old_crashes(job, unit, member);
            // The run began under an earlier owner, which alone knows its start time.
            if !start_time_unknown {
                self.sample_slowdown(name, job, unit);
            }
        }
    }

    fn sample_slowdown(&mut self, name: &ObjectName, job: usize, unit: usize) {
        let Some(own) = self.jobs[job].units[unit].progress() else {
            return;
        };
        let now_ms = self.now.steady_ms;
        let Some(index) = self.upstream_index(name) else {
            return;
        };
        if self.upstreams[index].next_sample_ms > now_ms {
            return;
        }
        self.upstreams[index].next_sample_ms = now_ms + SLOWDOWN_SAMPLE_INTERVAL_MS;
        let siblings = self.jobs[job].step_progress(unit);
        self.upstreams[index].slowdown.add_sample(own, &siblings);
    }

    /// Gives up runs that the upstream should have but lists neither as running nor as ended. A
    /// partial list proves nothing; the rest of it follows once its ends are acknowledged.
    pub(super) fn reconcile_missing(&mut self, name: &ObjectName, reply: &RenewReply) {
        if reply.ended_is_partial {
            return;
        }
        let Some(index) = self.upstream_index(name) else {
            return;
        };
        let incarnation = self.upstreams[index].incarnation;
        for held in self.upstreams[index].held.clone() {
            let Some(job) = self.job_index(&held.job) else {
                continue;
            };
            let unit = &self.jobs[job].units[held.unit];
            let state = &unit.members[held.member];
            let earlier_incarnation = state.incarnation != 0 && state.incarnation < incarnation;
            let stopping = unit.phase != UnitPhase::Active;
            let known = state.phase == MemberPhase::Running || stopping;
            let settled = known && !state.start_unconfirmed && !state.in_flight;
            let confirmed_clock_ms = state.confirmed_ms;
            let newer = confirmed_clock_ms != 0 && reply.clock_ms > confirmed_clock_ms;
            let gone = earlier_incarnation || (settled && newer);
            if !gone {
                continue;
            }
            let run = unit.run;
            let task = self.jobs[job].task(held.unit, held.member);
            let listed = reply
                .running
                .iter()
                .any(|one| one.run == run && one.task == task);
            let ended = reply
                .ended
                .iter()
                .any(|one| one.run == run && one.task == task);
            if !listed && !ended {
                let proof = match earlier_incarnation {
                    true => LossProof::LaterLife,
                    false => LossProof::NotListed {
                        answer_clock_ms: reply.clock_ms,
                        confirmed_clock_ms,
                        running: reply.running.len(),
                        ended: reply.ended.len(),
                    },
                };
                self.member_lost(job, held.unit, held.member, proof);
            }
        }
    }
}
