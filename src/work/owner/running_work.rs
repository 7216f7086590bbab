//! Work on the candidates of a pool, gathered once for all units of a placement round that do not fit.

use crate::tables::name::ObjectName;
use crate::work::load::delay_cost::RunningUnit;
use crate::work::model::amount::ResourceAmount;
use crate::work::owner::PoolOwner;
use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::unit_state::UnitPhase;
use crate::work::owner::upstream_state::HeldTask;
use crate::work::owner::work_counts::WorkKind;

/// Work on the candidates of a pool.
pub(super) struct RunningWork {
    /// Tasks on the candidates, in no particular order.
    pub(super) tasks: Vec<TaskRow>,
    /// Units at work that end by themselves or may be preempted, sorted by job and unit.
    pub(super) units: Vec<UnitRow>,
}

/// A task on a candidate.
pub(super) struct TaskRow {
    /// Index of the candidate.
    pub(super) candidate: usize,
    pub(super) job: usize,
    pub(super) unit: usize,
    /// Capacity that it holds.
    pub(super) need: ResourceAmount,
}

/// A unit at work.
pub(super) struct UnitRow {
    pub(super) job: usize,
    pub(super) unit: usize,
    /// Candidates with its tasks, one entry a task.
    pub(super) candidates: Vec<usize>,
    /// Capacity that each of its tasks holds.
    pub(super) need: ResourceAmount,
    /// Time that its run is expected to need, in ms.
    pub(super) left_ms: u64,
    pub(super) running: RunningUnit,
}

impl RunningWork {
    /// Returns the row of a unit at work.
    pub(super) fn unit(&self, job: usize, unit: usize) -> Option<&UnitRow> {
        let found = self.find(job, unit).ok();
        found.map(|index| &self.units[index])
    }

    fn find(&self, job: usize, unit: usize) -> Result<usize, usize> {
        self.units
            .binary_search_by_key(&(job, unit), |row| (row.job, row.unit))
    }
}

impl PoolOwner {
    /// Gathers the work on a pool's candidates, unless it is known.
    pub(super) fn gather_work(&self, pool: &mut PlacementPool) {
        if pool.work.is_some() {
            return;
        }
        let mut tasks = Vec::new();
        for (candidate, &index) in pool.upstream_indexes.iter().enumerate() {
            let held = &self.upstreams[index].held;
            self.counts.add(WorkKind::SearchStep, 1 + held.len());
            tasks.extend(
                held.iter()
                    .filter_map(|task| self.task_row(candidate, task)),
            );
        }
        let mut units = Vec::new();
        for (job, state) in self.jobs.iter().enumerate() {
            self.counts.add(WorkKind::SearchStep, state.units.len());
            units.extend((0..state.units.len()).filter_map(|unit| self.unit_row(job, unit, pool)));
        }
        pool.work = Some(RunningWork { tasks, units });
    }

    /// Adds a unit that was placed in this round on the chosen candidates, if the work of the pool is
    /// known.
    pub(super) fn add_work(
        &self,
        job: usize,
        unit: usize,
        pool: &mut PlacementPool,
        chosen: &[usize],
    ) {
        let Some(mut work) = pool.work.take() else {
            return;
        };
        let need = self.jobs[job].step(unit).need;
        work.tasks.extend(chosen.iter().map(|&candidate| TaskRow {
            candidate,
            job,
            unit,
            need,
        }));
        if let Some(row) = self.unit_row(job, unit, pool)
            && let Err(index) = work.find(job, unit)
        {
            work.units.insert(index, row);
        }
        pool.work = Some(work);
    }

    fn task_row(&self, candidate: usize, task: &HeldTask) -> Option<TaskRow> {
        Some(TaskRow {
            candidate,
            job: self.job_index(&task.job)?,
            unit: task.unit,
            need: task.need,
        })
    }

    /// Returns the row of a unit; `None` unless it is at work on candidates, or if it lasts.
    fn unit_row(&self, job: usize, unit: usize, pool: &PlacementPool) -> Option<UnitRow> {
        let state = &self.jobs[job];
        let step = state.step(unit);
        if state.units[unit].phase != UnitPhase::Active || step.lasting {
            return None;
        }
        let members = &state.units[unit].members;
        self.counts.add(WorkKind::SearchStep, members.len());
        let position = |name: &ObjectName| {
            // Upstreams and candidates are both sorted by name.
            pool.candidates
                .binary_search_by(|candidate| candidate.name.cmp(name))
                .ok()
        };
        let candidates: Vec<usize> = members
            .iter()
            .filter_map(|member| position(member.upstream.as_ref()?))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let step_index = state.shapes[unit].step as usize;
        let path_ms = state.record.spec.path_from_ms(step_index);
        let after_ms = path_ms.saturating_sub(step.estimate_ms);
        let left_ms = self.run_left_ms(job, unit);
        let running = RunningUnit {
            outlook: self.unit_outlook(job, unit, left_ms + after_ms),
            worked_ms: self.worked_ms(job, unit),
            checkpoints: step.checkpoints,
            rate_milli: step.need.weight_milli() * candidates.len() as u64,
            displaced: state.units[unit].preempted,
        };
        Some(UnitRow {
            job,
            unit,
            candidates,
            need: step.need,
            left_ms,
            running,
        })
    }
}
