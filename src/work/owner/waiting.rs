//! The waiting units of a placement round and their order.

use crate::work::load::delay_cost::UnitOutlook;
use crate::work::load::queue_order::{OrderKey, WaitingUnit, order_key};
use crate::work::owner::PoolOwner;
use crate::work::owner::team_usage::TeamUsage;
use crate::work::owner::work_counts::WorkKind;

/// Waiting units of one step of a job.
pub(super) struct WaitingStep {
    pub(super) key: OrderKey,
    pub(super) waiting: WaitingUnit,
    pub(super) job: usize,
    pub(super) units: Vec<usize>,
}

impl PoolOwner {
    /// Returns the steps with units that may be placed now, in no particular order.
    pub(super) fn waiting_steps(&self, teams: &[TeamUsage]) -> Vec<WaitingStep> {
        let shares = self.team_shares();
        let mut found: Vec<WaitingStep> = Vec::new();
        for job in 0..self.jobs.len() {
            if self.jobs[job].waiting() == 0 {
                continue;
            }
            self.counts
                .add(WorkKind::ScanStep, self.jobs[job].units.len());
            let mut ready = self.jobs[job].ready_units(self.now.wall_ms);
            ready.retain(|&unit| !self.restart_is_paused(job, unit));
            let same_step = |left: &usize, right: &usize| {
                let shapes = &self.jobs[job].shapes;
                (shapes[*left].round, shapes[*left].step)
                    == (shapes[*right].round, shapes[*right].step)
            };
            for units in ready.chunk_by(same_step) {
                let mut waiting = self.waiting_unit(job, units[0], teams);
                waiting.share = shares.level(self.jobs[job].record.team.as_ref());
                found.push(WaitingStep {
                    key: order_key(&waiting),
                    waiting,
                    job,
                    units: units.to_vec(),
                });
            }
        }
        found
    }

    /// Returns the properties of a unit that waits or would wait.
    pub(super) fn waiting_unit(&self, job: usize, unit: usize, teams: &[TeamUsage]) -> WaitingUnit {
        if self.jobs[job].step(unit).lasting {
            return self.waiting_lasting_unit(job, unit, teams);
        }
        let state = &self.jobs[job];
        let spec = &state.record.spec;
        let outlook = self.unit_outlook(job, unit, spec.critical_path_ms());
        WaitingUnit {
            priority: outlook.priority,
            guaranteed: outlook.priority == 0 && self.is_guaranteed(job, teams),
            slack_ms: outlook.slack_ms,
            expired: outlook.is_expired(),
            work: spec.work(),
            job_started: state.units.iter().any(|unit| unit.run > 0),
            share: Default::default(),
        }
    }

    /// Returns the properties of a waiting lasting unit. Its tasks are awaited for as long as their job
    /// lasts, so that it never counts as late. One that was at work before is missed by its users, and
    /// comes back before all work but that inside a guarantee.
    fn waiting_lasting_unit(&self, job: usize, unit: usize, teams: &[TeamUsage]) -> WaitingUnit {
        let state = &self.jobs[job];
        let priority = self.rule(job).priority;
        let was_at_work = state.units[unit].run > 0;
        WaitingUnit {
            priority: match was_at_work {
                true => 0,
                false => priority,
            },
            guaranteed: priority == 0 && self.is_guaranteed(job, teams),
            slack_ms: 0,
            expired: false,
            work: state.record.spec.work(),
            job_started: was_at_work,
            share: Default::default(),
        }
    }

    /// Returns a unit's prospects, if its job still needs `needed_ms` without delay.
    pub(super) fn unit_outlook(&self, job: usize, unit: usize, needed_ms: u64) -> UnitOutlook {
        let state = &self.jobs[job];
        let rule = self.rule(job);
        let spec = &state.record.spec;
        let shape = state.shapes[unit];
        let step = state.step(unit);
        let eligible_ms = state.record.accepted_ms.max(spec.due_ms(shape.round));
        let objective_ms = rule.time_objective_ms(spec.critical_path_ms());
        let latest_ms = (eligible_ms + objective_ms).saturating_sub(needed_ms);
        UnitOutlook {
            priority: rule.priority,
            work: u64::from(shape.count) * step.estimate_ms * step.need.weight_milli(),
            slack_ms: latest_ms as i64 - self.now.wall_ms as i64,
            objective_ms,
        }
    }
}
