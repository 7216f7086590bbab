//! Runs that are lost with their upstream, and units that are restarted with care for it.

use crate::tables::name::ObjectName;
use crate::work::model::crash_record::{LossRecord, UpstreamLife};
use crate::work::owner::PoolOwner;
use crate::work::owner::unit_state::{MemberPhase, UnitPhase};
use crate::work::owner::upstream_state::UpstreamState;
use crate::work::owner::work_counts::WorkKind;
use crate::work::placing::placement::Isolation;

/// Run time after which a lasting task counts as one that does not crash its upstreams, in ms.
const STEADY_RUN_MS: u64 = 10_000;

impl PoolOwner {
    /// Notes that a member's run was lost with its upstream. A start that has not been sent, an
    /// upstream that answers and does not know the run, and one that had announced its shutdown do
    /// not count.
    pub(super) fn note_lost_run(&mut self, job: usize, unit: usize, member: usize) {
        let state = &self.jobs[job].units[unit].members[member];
        let sent = matches!(state.phase, MemberPhase::Sent | MemberPhase::Running);
        let Some(name) = state.upstream.clone().filter(|_| sent) else {
            return;
        };
        let upstream = self.upstream_index(&name).map(|at| &self.upstreams[at]);
        let report = upstream.and_then(|upstream| upstream.report.as_ref());
        let leaves = report.is_some_and(|report| report.draining);
        let answers = upstream.is_some_and(|upstream| {
            upstream.missed_renewals == 0 && upstream.incarnation == state.incarnation
        });
        if leaves || answers {
            return;
        }
        let loss = LossRecord {
            life: UpstreamLife {
                upstream: name.clone(),
                address: upstream.and_then(|upstream| upstream.address),
                incarnation: state.incarnation,
            },
            started: state.phase == MemberPhase::Running && !state.start_unconfirmed,
        };
        let later_life = self.later_life(&loss.life);
        self.jobs[job].units[unit].failed_on.push(name);
        self.jobs[job].add_loss(unit, member, loss);
        if let Some(life) = later_life {
            self.jobs[job].units[unit].crashes.resolve(&life);
        }
    }

    /// Returns a known life that has followed this one, if there is any.
    fn later_life(&self, life: &UpstreamLife) -> Option<UpstreamLife> {
        let mut later = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.incarnation > life.incarnation)
            .map(UpstreamState::life);
        later.find(|other| other.follows(life))
    }

    /// Counts the lost runs that a new life proves to be crashes.
    pub(super) fn resolve_losses(&mut self, life: &UpstreamLife) {
        for job in 0..self.jobs.len() {
            let state = &mut self.jobs[job];
            self.counts
                .add(WorkKind::ScanStep, state.crashed_units.len());
            let mut any = false;
            for &unit in &state.crashed_units {
                if state.units[unit].crashes.resolve(life) {
                    state.rows.mark_unit(unit);
                    any = true;
                }
            }
            if any {
                self.report_suspects(job);
            }
        }
    }

    /// Drops the losses on an upstream that has answered again in the life that they name.
    pub(super) fn refute_losses(&mut self, name: &ObjectName, incarnation: u64) {
        let life = UpstreamLife {
            upstream: name.clone(),
            address: None,
            incarnation,
        };
        for job in &mut self.jobs {
            self.counts.add(WorkKind::ScanStep, job.crashed_units.len());
            for &unit in &job.crashed_units {
                if job.units[unit].crashes.refute(&life) {
                    job.rows.mark_unit(unit);
                }
            }
        }
    }

    /// Resolves the losses that an earlier owner recorded, by the lives that are listed now.
    pub(super) fn resolve_restored_losses(&mut self, job: usize) {
        for unit in self.jobs[job].crashed_units.clone() {
            let crashes = &self.jobs[job].units[unit].crashes;
            let losses: Vec<LossRecord> = crashes.open_losses().cloned().collect();
            for loss in losses {
                let later_life = self.later_life(&loss.life);
                let lives_on = self.is_listed(&loss.life);
                let crashes = &mut self.jobs[job].units[unit].crashes;
                let changed = match later_life {
                    Some(life) => crashes.resolve(&life),
                    None if lives_on => crashes.refute(&loss.life),
                    None => false,
                };
                if changed {
                    self.jobs[job].rows.mark_unit(unit);
                }
            }
        }
    }

    /// Returns how long a unit waits before its next run, since it crashed its upstreams, in ms.
    fn restart_pause_ms(&self, job: usize, unit: usize) -> u64 {
        let state = &self.jobs[job];
        let lasting = state.step(unit).lasting;
        state.units[unit].crashes.restart_pause_ms(lasting)
    }

    /// Returns whether a unit waits on before its next run, since it crashed its upstreams.
    pub(super) fn restart_is_paused(&self, job: usize, unit: usize) -> bool {
        let since_ms = self.jobs[job].units[unit].since_ms;
        let waited_ms = self.now.steady_ms.saturating_sub(since_ms);
        waited_ms < self.restart_pause_ms(job, unit)
    }

    /// Returns how far a unit that has waited for `waited_ms` is kept away from other work.
    pub(super) fn isolation(&self, job: usize, unit: usize, waited_ms: u64) -> Isolation {
        let pause_ms = self.restart_pause_ms(job, unit);
        let crashes = &self.jobs[job].units[unit].crashes;
        crashes.isolation(waited_ms, pause_ms)
    }

    /// Drops the crash history of a lasting task that is at work for long enough to show that it did
    /// not cause the crashes.
    pub(super) fn forget_old_crashes(&mut self, job: usize, unit: usize, member: usize) {
        let state = &mut self.jobs[job];
        let at_work_ms = self
            .now
            .steady_ms
            .saturating_sub(state.units[unit].since_ms);
        let steady = state.units[unit].phase == UnitPhase::Active && at_work_ms >= STEADY_RUN_MS;
        if steady && state.step(unit).lasting && state.units[unit].crashes.forget(member as u32) {
            state.rows.mark_member(unit, member);
        }
    }

    fn is_listed(&self, life: &UpstreamLife) -> bool {
        let upstream = self.upstream_index(&life.upstream);
        upstream.is_some_and(|index| {
            let upstream = &self.upstreams[index];
            upstream.listed && upstream.incarnation == life.incarnation
        })
    }

    /// Tells operators which units of a job are suspected to crash their upstreams. Call after each of
    /// their lost runs.
    pub(super) fn report_suspects(&self, job: usize) {
        let state = &self.jobs[job];
        if state.phase.is_over() {
            return;
        }
        self.counts
            .add(WorkKind::ScanStep, state.crashed_units.len());
        for &unit in &state.crashed_units {
            let unit_state = &state.units[unit];
            if !unit_state.crashes.is_suspect() {
                continue;
            }
            log::warn!(
                job = state.id.as_str(), unit, pause_ms = self.restart_pause_ms(job, unit),
                crashes:? = unit_state.crashes.rows();
                "owner: a task seems to crash its upstreams; it runs alone, and ever more rarely."
            );
            metrics::counter!("hemlockramp_suspect_losses_total").increment(1);
        }
    }
}
