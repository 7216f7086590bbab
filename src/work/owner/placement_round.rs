//! Placement rounds over the waiting units.

use crate::work::owner::PoolOwner;
use crate::work::owner::placement_pass::{RoundBudget, StepId};
use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::preemption::{BlockedUnit, RoundClaims};
use crate::work::owner::step_search::StepSearch;
use crate::work::owner::waiting::WaitingStep;
use crate::work::owner::work_counts::WorkKind;
use crate::work::placing::placement::{CapacityClaim, Isolation, UnitDemand, claim_rank};

/// Guaranteed units for which one round searches capacity separately.
const GUARANTEED_UNITS_MAX: usize = 6;

/// State that is carried through one placement round.
struct PlacementRound {
    budget: RoundBudget,
    pools: Vec<PlacementPool>,
    /// Demands that could not be placed in this round; an equal demand fails too.
    unplaceable: Vec<UnitDemand>,
    claims: RoundClaims,
    /// Guaranteed units for which capacity was searched.
    guaranteed: usize,
}

impl PlacementRound {
    fn is_unplaceable(&self, demand: &UnitDemand) -> bool {
        let mut unplaceable = self.unplaceable.iter();
        unplaceable.any(|other| other.needs_same_room(demand))
    }
}

/// How far a round came with a step.
enum StepEnd {
    /// The step was gone through as far as there is room.
    Tried,
    /// The round is cut short.
    Cut {
        /// Whether a unit was placed.
        placed: bool,
    },
}

/// How far a round came with a unit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UnitEnd {
    /// It was placed.
    Placed,
    /// It waits on; other units of its step may fit.
    Waits,
    /// It waits on, as do the others of its step.
    Blocks,
}

impl PoolOwner {
    /// Places waiting units in queue order, and reserves or preempts capacity for those that do not
    /// fit. A round that has done enough is cut short; placement is then due again at once.
    pub(super) fn place_waiting_units(&mut self) {
        let teams = self.team_usage();
        let mut waiting_steps = self.waiting_steps(&teams);
        metrics::gauge!("hemlockramp_steps_waiting").set(waiting_steps.len() as f64);
        metrics::gauge!("hemlockramp_jobs_open").set(self.jobs.len() as f64);
        waiting_steps.sort_by_key(|waiting_step| (waiting_step.key, waiting_step.job));
        let mut round = PlacementRound {
            budget: RoundBudget::new(&self.counts),
            pools: Vec::new(),
            unplaceable: Vec::new(),
            claims: RoundClaims::default(),
            guaranteed: 0,
        };
        for waiting_step in &waiting_steps {
            let id = self.step_id(waiting_step);
            let retry = self.placement_pass.has_tried(&id);
            let end = self.place_step(waiting_step, retry, &mut round);
            if retry {
                continue;
            }
            // One that takes a whole round without a placement must not hold up the rest.
            if !matches!(end, StepEnd::Cut { placed: true }) {
                self.placement_pass.note_tried(id);
            }
            if matches!(end, StepEnd::Cut { .. }) {
                metrics::counter!("hemlockramp_placement_rounds_cut_total").increment(1);
                self.placement_due = true;
                return;
            }
        }
        self.placement_pass.finish();
    }

    fn step_id(&self, waiting_step: &WaitingStep) -> StepId {
        let state = &self.jobs[waiting_step.job];
        let shape = state.shapes[waiting_step.units[0]];
        StepId {
            job: state.id.clone(),
            round: shape.round,
            step: shape.step,
        }
    }

    fn place_step(
        &mut self,
        waiting_step: &WaitingStep,
        retry: bool,
        round: &mut PlacementRound,
    ) -> StepEnd {
        let mut placed = false;
        if !round.budget.allows(retry, &self.counts) {
            return StepEnd::Cut { placed };
        }
        let mut steps_before = self.counts.get(WorkKind::SearchStep);
        let job = waiting_step.job;
        let pool = self.round_pool(job, round);
        let mut search = StepSearch::new(self.siblings(job, waiting_step.units[0]));
        for &unit in &waiting_step.units {
            if !round.budget.allows(retry, &self.counts) {
                return StepEnd::Cut { placed };
            }
            let end = self.place_step_unit(waiting_step, unit, &mut search, pool, round);
            let tasks = match end {
                UnitEnd::Placed => search.demand().count,
                UnitEnd::Waits | UnitEnd::Blocks => 0,
            };
            let steps = self.counts.get(WorkKind::SearchStep);
            round.budget.note_search(retry, steps - steps_before, tasks);
            steps_before = steps;
            placed |= end == UnitEnd::Placed;
            if end == UnitEnd::Blocks {
                break;
            }
        }
        StepEnd::Tried
    }

    /// Returns the index of a job's pool in the round.
    fn round_pool(&self, job: usize, round: &mut PlacementRound) -> usize {
        let name = &self.rule(job).pool;
        let known = round.pools.iter().position(|pool| pool.name == *name);
        known.unwrap_or_else(|| {
            round.pools.push(self.placement_pool(name));
            round.pools.len() - 1
        })
    }

    fn place_step_unit(
        &mut self,
        waiting_step: &WaitingStep,
        unit: usize,
        search: &mut StepSearch,
        pool: usize,
        round: &mut PlacementRound,
    ) -> UnitEnd {
        let (job, waiting) = (waiting_step.job, &waiting_step.waiting);
        let priority = waiting.priority;
        search.set_demand(self.demand(job, unit, waiting, &round.pools[pool]));
        self.counts.add(WorkKind::SearchStep, 1);
        // Each guaranteed unit gets a reservation of its own, even if its demand equals another's.
        let own_search = waiting.guaranteed && round.guaranteed < GUARANTEED_UNITS_MAX;
        let isolated = search.demand().isolation == Isolation::Required;
        if !own_search && round.is_unplaceable(search.demand()) {
            return match isolated {
                true => UnitEnd::Waits,
                false => UnitEnd::Blocks,
            };
        }
        let pool = &mut round.pools[pool];
        let claim = CapacityClaim {
            job: self.jobs[job].id.clone(),
            unit,
            rank: claim_rank(priority, waiting.guaranteed),
        };
        if pool.may_need_excluded(search.demand())
            && (!pool.leaves_headroom(priority, search.demand())
                || search.place(&claim, pool, &self.counts).is_none())
        {
            *pool = pool.with_excluded();
            self.counts.add(WorkKind::SearchStep, pool.candidates.len());
            search.forget_candidates();
        }
        if !pool.leaves_headroom(priority, search.demand()) {
            self.log_wait(job, unit, "headroom for urgent work", pool);
            return UnitEnd::Blocks;
        }
        if let Some(chosen) = search.place(&claim, pool, &self.counts) {
            self.assign(job, unit, pool, &chosen, search.demand());
            self.add_work(job, unit, pool, &chosen);
            if self.rule(job).priority == 0 {
                round.claims.forget_ranks();
            }
            search.note_placed(&claim, pool, &chosen);
            return UnitEnd::Placed;
        }
        round.unplaceable.push(search.demand().clone());
        if isolated {
            // Other units of the step may share upstreams, and so may this one before long.
            self.log_wait(job, unit, "no upstream of its own", pool);
            return UnitEnd::Waits;
        }
        self.log_wait(job, unit, "not enough free capacity", pool);
        let path_ms = self.jobs[job].record.spec.critical_path_ms();
        let blocked = BlockedUnit {
            waiting,
            demand: search.demand(),
            claim,
            outlook: self.unit_outlook(job, unit, path_ms),
            estimate_ms: self.jobs[job].step(unit).estimate_ms,
        };
        round.guaranteed += usize::from(own_search);
        self.reserve_or_preempt(&blocked, pool, &mut round.claims);
        UnitEnd::Blocks
    }
}
