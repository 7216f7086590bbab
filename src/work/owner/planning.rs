//! Placement rounds over all waiting units.

use crate::tables::name::ObjectName;
use crate::work::load::queue_order::WaitingUnit;
use crate::work::model::amount::ResourceAmount;
use crate::work::model::config::QueueRule;
use crate::work::owner::PoolOwner;
use crate::work::owner::placed_speed::PlacedSpeed;
use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::preemption::BlockedUnit;
use crate::work::owner::unit_state::{MemberPhase, MemberState, UnitPhase};
use crate::work::owner::upstream_state::HeldTask;
use crate::work::owner::waiting::WaitingStep;
use crate::work::owner::work_counts::WorkKind;
use crate::work::placing::locality_wait::LocalityWait;
use crate::work::placing::placement::{
    CandidateUpstream, CapacityClaim, Isolation, UnitDemand, claim_rank, fits_in_one_rack,
    place_unit,
};
use crate::work::placing::slowdown::{SlowdownLimit, SpeedPreference};

/// Guaranteed units for which one round searches capacity separately.
const GUARANTEED_UNITS_MAX: usize = 6;
/// Time to record, order and begin a run and to see its end, in ms.
const RUN_START_MS: i64 = 300;
/// Upstreams with a failed run that a unit avoids; only the newest count.
const AVOIDED_UPSTREAMS_MAX: usize = 6;

/// State that is carried through one placement round.
struct PlacementRound {
    pools: Vec<PlacementPool>,
    /// Demands that could not be placed in this round; an equal demand fails too.
    unplaceable: Vec<UnitDemand>,
    /// Units other than urgent ones with a reservation.
    reserved: usize,
    /// Guaranteed units for which capacity was searched.
    guaranteed: usize,
}

impl PlacementRound {
    /// Whether a demand fits does not depend on its preferred speed.
    fn note_unplaceable(&mut self, mut demand: UnitDemand) {
        demand.speed = SpeedPreference::default();
        self.unplaceable.push(demand);
    }

    fn is_unplaceable(&self, demand: &UnitDemand) -> bool {
        if self.unplaceable.is_empty() {
            return false;
        }
        let speed = SpeedPreference::default();
        let wanted = UnitDemand {
            speed,
            ..demand.clone()
        };
        self.unplaceable.contains(&wanted)
    }
}

impl PoolOwner {
    /// Returns the newest known rule of a job's queue: the current one, or the one at submission if
    /// the queue is gone or the job was admitted by a newer configuration than this host's.
    pub(super) fn rule(&self, job: usize) -> &QueueRule {
        let record = &self.jobs[job].record;
        if record.config_version > self.config.version {
            return &record.rule;
        }
        self.config.rule(&record.queue).unwrap_or(&record.rule)
    }

    /// Places waiting units in queue order, and reserves or preempts capacity for those that do not
    /// fit.
    pub(super) fn place_waiting_units(&mut self) {
        let teams = self.team_usage();
        let mut waiting_steps = self.waiting_steps(&teams);
        metrics::gauge!("hemlockramp_steps_waiting").set(waiting_steps.len() as f64);
        metrics::gauge!("hemlockramp_jobs_open").set(self.jobs.len() as f64);
        waiting_steps.sort_by_key(|waiting_step| (waiting_step.key, waiting_step.job));
        let mut round = PlacementRound {
            pools: Vec::new(),
            unplaceable: Vec::new(),
            reserved: 0,
            guaranteed: 0,
        };
        for waiting_step in &waiting_steps {
            self.place_step(waiting_step, &mut round);
        }
    }

    pub(super) fn placement_pool(&self, pool: &ObjectName) -> PlacementPool {
        self.counts.add(WorkKind::SearchStep, self.upstreams.len());
        let now_ms = self.now.steady_ms;
        let mut result = PlacementPool {
            name: pool.clone(),
            candidates: Vec::new(),
            upstream_indexes: Vec::new(),
            excluded: Vec::new(),
            capacity: ResourceAmount::default(),
            free: ResourceAmount::default(),
            urgent: self.urgent_usage(pool),
        };
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let Some(report) = &upstream.report else {
                continue;
            };
            if report.pool != *pool || !upstream.is_schedulable(now_ms, &self.evacuated) {
                continue;
            }
            let candidate = CandidateUpstream {
                name: upstream.name.clone(),
                rack: report.rack.clone(),
                labels: report.labels.clone(),
                capacity: report.capacity,
                free: upstream.free(),
                failure_score: upstream.failure_score,
                slowdown: self.speeds.slowdown(&upstream.name),
                reserved: upstream
                    .reserved
                    .clone()
                    .filter(|_| upstream.reserved_until_ms > now_ms),
            };
            match upstream.excluded_until_ms > now_ms {
                true => result.excluded.push((index, candidate)),
                false => result.add(index, candidate),
            }
        }
        result
    }

    pub(super) fn demand(
        &self,
        job: usize,
        unit: usize,
        waiting: &WaitingUnit,
        pool: &PlacementPool,
    ) -> UnitDemand {
        let state = &self.jobs[job];
        let step = state.step(unit);
        let shape = state.shapes[unit];
        let waited_ms = self
            .now
            .steady_ms
            .saturating_sub(state.units[unit].since_ms);
        let locality_wait = LocalityWait {
            guaranteed: waiting.guaranteed,
            busy: pool.is_busy(),
            estimate_ms: step.estimate_ms,
            far_factor: self.timing.far_factor,
            reclaim_ms: self.timing.reclaim_ms,
            stop_ms: self.timing.stop_ms,
        };
        let waits_for_locality = waited_ms < locality_wait.limit_ms();
        let failed_on = state.units[unit].failed_on.iter().rev();
        let mut demand = UnitDemand {
            count: shape.count as usize,
            need: step.need,
            label: step.label.clone(),
            data_rack: step.data_rack.clone(),
            any_rack: !waits_for_locality,
            same_rack: step.same_rack,
            may_span_racks: !waits_for_locality,
            spread_max: step.spread_max as usize,
            siblings: Vec::new(),
            avoided_upstreams: failed_on.take(AVOIDED_UPSTREAMS_MAX).cloned().collect(),
            speed: self.speed_preference(job, unit, waiting),
            isolation: self.isolation(job, unit, waited_ms),
        };
        if step.spread_max > 0 {
            demand.siblings = self.siblings(job, unit);
        }
        demand.may_span_racks |= demand.same_rack && !fits_in_one_rack(&demand, &pool.candidates);
        demand
    }

    /// Returns which upstreams are fast enough for a unit, and for the urgent work of its pool.
    fn speed_preference(&self, job: usize, unit: usize, waiting: &WaitingUnit) -> SpeedPreference {
        let state = &self.jobs[job];
        if state.step(unit).lasting {
            return SpeedPreference::default();
        }
        let spec = &state.record.spec;
        let left_ms = waiting.slack_ms + spec.critical_path_ms() as i64 - RUN_START_MS;
        let path_ms = spec.path_from_ms(state.shapes[unit].step as usize);
        SpeedPreference {
            limit: SlowdownLimit::new(left_ms, path_ms),
            yields: self.urgent_limit(job),
        }
    }

    /// Returns the slowdown that the most demanding urgent queue of a job's pool allows; `None` if
    /// the job is urgent itself or no urgent queue shares the pool.
    fn urgent_limit(&self, job: usize) -> Option<SlowdownLimit> {
        let rule = self.rule(job);
        if rule.priority == 0 {
            return None;
        }
        let routes = self.config.routes.iter().map(|route| &route.rule);
        let urgent = routes.filter(|other| other.priority == 0 && other.pool == rule.pool);
        let stretch = urgent.map(|other| other.stretch).min_by(f64::total_cmp)?;
        SlowdownLimit::new((stretch * 1_000.0) as i64, 1_000)
    }

    /// Returns the upstreams of the placed tasks of the unit's step and round, one entry a task.
    fn siblings(&self, job: usize, unit: usize) -> Vec<ObjectName> {
        let state = &self.jobs[job];
        let own = state.shapes[unit];
        let same = |index: &usize| {
            state.shapes[*index].step == own.step && state.shapes[*index].round == own.round
        };
        (0..state.units.len())
            .filter(same)
            .flat_map(|index| state.units[index].members.iter())
            .filter_map(|member| member.upstream.clone())
            .collect()
    }

    fn place_step(&mut self, waiting_step: &WaitingStep, round: &mut PlacementRound) {
        let job = waiting_step.job;
        let priority = waiting_step.waiting.priority;
        let name = self.rule(job).pool.clone();
        let index = match round.pools.iter().position(|pool| pool.name == name) {
            Some(index) => index,
            None => {
                round.pools.push(self.placement_pool(&name));
                round.pools.len() - 1
            }
        };
        for &unit in &waiting_step.units {
            let pool = &round.pools[index];
            let demand = self.demand(job, unit, &waiting_step.waiting, pool);
            // Each guaranteed unit gets a reservation of its own, even if its demand equals
            // another's.
            let own_search =
                waiting_step.waiting.guaranteed && round.guaranteed < GUARANTEED_UNITS_MAX;
            let isolated = demand.isolation == Isolation::Required;
            if !own_search && round.is_unplaceable(&demand) {
                if isolated {
                    continue;
                }
                return;
            }
            let pool = &mut round.pools[index];
            let claim = CapacityClaim {
                job: self.jobs[job].id.clone(),
                unit,
                rank: claim_rank(priority, waiting_step.waiting.guaranteed),
            };
            if pool.needs_excluded(priority, &demand, &claim) {
                *pool = pool.with_excluded();
            }
            self.count_search(&demand, pool.excluded.len() + pool.candidates.len());
            if !pool.leaves_headroom(priority, &demand) {
                self.log_wait(job, unit, "headroom for urgent work", pool);
                return;
            }
            let chosen = place_unit(&demand, &claim, &pool.candidates);
            if chosen.is_none() && isolated {
                // Other units of the step may share upstreams, and so may this one before long.
                self.log_wait(job, unit, "no upstream of its own", pool);
                round.note_unplaceable(demand);
                continue;
            }
            let Some(chosen) = chosen else {
                let blocked = BlockedUnit {
                    waiting: &waiting_step.waiting,
                    demand: &demand,
                    claim,
                    outlook: self.unit_outlook(
                        job,
                        unit,
                        self.jobs[job].record.spec.critical_path_ms(),
                    ),
                    estimate_ms: self.jobs[job].step(unit).estimate_ms,
                };
                round.guaranteed += usize::from(own_search);
                self.log_wait(job, unit, "not enough free capacity", pool);
                self.reserve_or_preempt(&blocked, pool, &mut round.reserved);
                round.note_unplaceable(demand);
                return;
            };
            self.assign(job, unit, pool, &chosen, &demand);
        }
    }

    /// Counts a search of room for a unit. Each placed sibling is compared with each candidate.
    pub(super) fn count_search(&self, demand: &UnitDemand, candidates: usize) {
        let siblings = demand.siblings.len();
        self.counts
            .add(WorkKind::SearchStep, candidates * (1 + siblings));
    }

    /// Logs why a unit waits, once for each wait.
    fn log_wait(&mut self, job: usize, unit: usize, reason: &str, pool: &PlacementPool) {
        let state = &mut self.jobs[job];
        if std::mem::replace(&mut state.units[unit].wait_logged, true) {
            return;
        }
        log::info!(
            job = state.id.as_str(), unit, reason, open = pool.candidates.len(),
            free_accelerators = pool.free.accelerators, free_cpu_milli = pool.free.cpu_milli,
            urgent_accelerators = pool.urgent.accelerators, config = self.config.version;
            "owner: a unit waits."
        );
    }

    fn assign(
        &mut self,
        job: usize,
        unit: usize,
        pool: &mut PlacementPool,
        chosen: &[usize],
        demand: &UnitDemand,
    ) {
        self.counts.add(WorkKind::Placement, 1);
        let isolated = demand.isolation == Isolation::Required;
        let speed = PlacedSpeed::new(chosen, demand, pool);
        speed.record(self.rule(job).priority);
        let id = self.jobs[job].id.clone();
        let need = self.jobs[job].step(unit).need;
        let now_ms = self.now.steady_ms;
        self.jobs[job].set_unit_phase(unit, UnitPhase::Active);
        let state = &mut self.jobs[job].units[unit];
        let waited_ms = now_ms.saturating_sub(state.since_ms);
        state.wait_logged = false;
        state.run += 1;
        state.resumed = state.checkpoint.clone();
        state.since_ms = now_ms;
        let run = state.run;
        let racks = pool.rack_count(chosen);
        log::info!(
            job = id.as_str(), unit, run, tasks = chosen.len(), waited_ms, racks,
            slowdown_percent = speed.slowdown_percent, late_percent = speed.late_percent,
            upstream = pool.candidates[chosen[0]].name.as_str(), config = self.config.version;
            "owner: a unit is placed."
        );
        metrics::histogram!("hemlockramp_wait_seconds").record(waited_ms as f64 / 1_000.0);
        for (member, &index) in chosen.iter().enumerate() {
            self.due.touch(pool.upstream_indexes[index]);
            let upstream = &mut self.upstreams[pool.upstream_indexes[index]];
            upstream.hold(HeldTask {
                job: id.clone(),
                unit,
                member,
                need,
                isolated,
            });
            pool.set_free(index, upstream.free());
            let place = MemberState {
                phase: MemberPhase::Planned,
                upstream: Some(upstream.name.clone()),
                incarnation: upstream.incarnation,
                ..MemberState::default()
            };
            self.jobs[job].units[unit].members[member] = place;
        }
        self.release_reservation(&id, unit, pool);
        self.jobs[job].rows.mark_unit(unit);
        self.jobs[job].orders_due = true;
    }

    /// Releases the capacity reserved for a unit.
    fn release_reservation(&mut self, job: &ObjectName, unit: usize, pool: &mut PlacementPool) {
        self.counts.add(WorkKind::SearchStep, pool.candidates.len());
        for (candidate, &index) in pool.candidates.iter_mut().zip(&pool.upstream_indexes) {
            let reservation = candidate.reserved.as_ref();
            if reservation.is_some_and(|claim| claim.job == *job && claim.unit == unit) {
                candidate.reserved = None;
                self.upstreams[index].reserved = None;
            }
        }
    }
}
