//! Reservations and preemption for units that do not fit.

use crate::tables::name::ObjectName;
use crate::work::load::delay_cost::{RunningUnit, UnitOutlook};
use crate::work::load::queue_order::WaitingUnit;
use crate::work::load::room_choice::{RoomChoice, RoomOptions};
use crate::work::load::victims::{VictimSearch, VictimUnit};
use crate::work::owner::PoolOwner;
use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::unit_state::UnitPhase;
use crate::work::owner::work_counts::WorkKind;
use crate::work::placing::placement::{CandidateUpstream, CapacityClaim, UnitDemand, place_unit};

/// The former module path; operators filter log lines by it.
const LOG_TARGET: &str = "hemlockramp::work::owner::make_room";
/// Time that a reservation lasts beyond the longest stop, in ms; then the unit is tried again.
const RESERVATION_MS: u64 = 400;
/// Waiting units, besides urgent ones, that may hold reservations.
const RESERVED_UNITS_MAX: usize = 4;
/// Slack below which a non-urgent unit preempts instead of waiting for capacity, in ms.
const PREEMPTION_SLACK_MS: i64 = 4_000;
/// Factor from core-seconds to millicore-milliseconds.
const MILLICORE_MS_PER_CORE_S: u64 = 1_000_000;

/// A unit that does not fit now.
pub(super) struct BlockedUnit<'a> {
    pub(super) waiting: &'a WaitingUnit,
    pub(super) demand: &'a UnitDemand,
    pub(super) claim: CapacityClaim,
    pub(super) outlook: UnitOutlook,
    /// Estimated run time of its tasks, in ms.
    pub(super) estimate_ms: u64,
}

/// A preemptible unit and where to find it.
struct RunningVictim {
    victim: VictimUnit,
    job: usize,
    unit: usize,
}

impl PoolOwner {
    /// Reserves capacity for a unit that does not fit, and preempts weaker claims if it cannot
    /// wait.
    pub(super) fn reserve_or_preempt(
        &mut self,
        blocked: &BlockedUnit,
        pool: &mut PlacementPool,
        reserved: &mut usize,
    ) {
        let waiting = blocked.waiting;
        let urgent = waiting.priority == 0;
        // Capacity reserved for the unit is being freed; it is tried again when the reservation
        // expires.
        let already_reserved = pool.reserved_claims().any(|claim| *claim == blocked.claim);
        if already_reserved {
            *reserved += usize::from(!urgent);
            return;
        }
        if !urgent {
            if waiting.slack_ms < 0 || waiting.expired || *reserved >= RESERVED_UNITS_MAX {
                return;
            }
            *reserved += 1;
        }
        // Capacity freed by stops in progress may be enough.
        let after_stops = self.upstreams_after_stops(pool);
        if let Some(chosen) = self.find_room(blocked, pool, &after_stops) {
            self.reserve(blocked, pool, &chosen);
            return;
        }
        let may_preempt = match urgent {
            true => waiting.guaranteed || waiting.slack_ms >= 0,
            false => waiting.slack_ms < PREEMPTION_SLACK_MS,
        };
        if may_preempt && self.preempt_or_wait(blocked, pool, &after_stops) {
            return;
        }
        let without_weaker = self.upstreams_without_weaker(blocked.claim.rank, pool);
        if let Some(chosen) = self.find_room(blocked, pool, &without_weaker) {
            self.reserve(blocked, pool, &chosen);
        }
    }

    /// Chooses between preemption and the ends of runs in sight, and prepares the one that costs
    /// callers less. Returns whether nothing else is to be tried.
    fn preempt_or_wait(
        &mut self,
        blocked: &BlockedUnit,
        pool: &mut PlacementPool,
        after_stops: &[CandidateUpstream],
    ) -> bool {
        let running = self.running_victims(blocked, pool);
        let victims: Vec<&VictimUnit> = running.iter().map(|one| &one.victim).collect();
        let search = VictimSearch::new(blocked.demand, &blocked.claim, after_stops, &victims);
        let chosen = search.choose();
        self.counts.add(WorkKind::SearchStep, search.steps());
        let Some(chosen) = chosen else {
            // It is tried again in the next round: a reservation would hold that up.
            return true;
        };
        // A guarantee is kept whatever it costs, so nothing is to be compared.
        let ends = match blocked.waiting.guaranteed {
            true => None,
            false => self.next_ends(blocked, pool),
        };
        let options = RoomOptions {
            outlook: blocked.outlook,
            guaranteed: blocked.waiting.guaranteed,
            ends_ms: ends.as_ref().map(|ends| ends.after_ms),
            displacement_cost: Some(chosen.iter().map(|&one| victims[one].lost_work).sum()),
            stop_ms: self.timing.stop_ms,
        };
        if options.choose() == RoomChoice::Displace {
            self.preempt(blocked, pool, &running, &chosen);
            return true;
        }
        self.log_choice(blocked, &options);
        if let Some(ends) = &ends {
            self.reserve(blocked, pool, &ends.chosen);
        }
        ends.is_some()
    }

    fn log_choice(&self, blocked: &BlockedUnit, options: &RoomOptions) {
        metrics::counter!("hemlockramp_displacements_spared_total").increment(1);
        log::debug!(
            target: LOG_TARGET,
            job = blocked.claim.job.as_str(), unit = blocked.claim.unit,
            slack_ms = options.outlook.slack_ms, ends_ms = options.ends_ms,
            cost = options.displacement_cost.map(|cost| cost / MILLICORE_MS_PER_CORE_S);
            "owner: a unit waits rather than displace others."
        );
    }

    /// Preempts the chosen units and reserves the capacity that they free.
    fn preempt(
        &mut self,
        blocked: &BlockedUnit,
        pool: &mut PlacementPool,
        running: &[RunningVictim],
        chosen: &[usize],
    ) {
        for &index in chosen {
            let RunningVictim { victim, job, unit } = &running[index];
            let cost = victim.lost_work / MILLICORE_MS_PER_CORE_S;
            log::info!(
                target: LOG_TARGET,
                job = self.jobs[*job].id.as_str(), unit = *unit,
                for_job = blocked.claim.job.as_str(), for_unit = blocked.claim.unit,
                guaranteed = blocked.waiting.guaranteed, slack_ms = blocked.waiting.slack_ms, cost,
                queue = self.jobs[*job].record.queue.as_str(), tasks = victim.upstreams.len(),
                worked_ms = self.worked_ms(*job, *unit);
                "owner: a unit makes room for more urgent work."
            );
            metrics::counter!("hemlockramp_displaced_total").increment(1);
            metrics::histogram!("hemlockramp_displacement_cost_core_seconds").record(cost as f64);
            self.jobs[*job].units[*unit].preempted += 1;
            self.stop_unit(*job, *unit);
        }
        let after_stops = self.upstreams_after_stops(pool);
        if let Some(chosen) = self.find_room(blocked, pool, &after_stops) {
            self.reserve(blocked, pool, &chosen);
        }
    }

    /// Chooses candidates for the unit, given the pool's candidates as they would be.
    pub(super) fn find_room(
        &self,
        blocked: &BlockedUnit,
        pool: &PlacementPool,
        candidates: &[CandidateUpstream],
    ) -> Option<Vec<usize>> {
        let steps = pool.search_steps(blocked.demand);
        self.counts.add(WorkKind::SearchStep, steps);
        place_unit(blocked.demand, &blocked.claim, candidates)
    }

    /// Returns the candidates as they will be once all stops in progress are complete.
    fn upstreams_after_stops(&self, pool: &PlacementPool) -> Vec<CandidateUpstream> {
        self.upstreams_without(pool, |job, unit| {
            self.jobs[job].units[unit].phase == UnitPhase::Stopping
        })
    }

    /// Returns the candidates as they would be without work of weaker claims.
    fn upstreams_without_weaker(&self, rank: u32, pool: &PlacementPool) -> Vec<CandidateUpstream> {
        let ranks = self.running_ranks();
        self.upstreams_without(pool, |job, unit| {
            let lasting = self.jobs[job].step(unit).lasting;
            !lasting && ranks[job] > rank
        })
    }

    pub(super) fn upstreams_without(
        &self,
        pool: &PlacementPool,
        is_removed: impl Fn(usize, usize) -> bool,
    ) -> Vec<CandidateUpstream> {
        let mut candidates = pool.candidates.clone();
        self.counts.add(WorkKind::SearchStep, candidates.len());
        for (candidate, &index) in candidates.iter_mut().zip(&pool.upstream_indexes) {
            let held = self.upstreams[index].held.len();
            self.counts.add(WorkKind::SearchStep, held);
            for held in &self.upstreams[index].held {
                let job = self.job_index(&held.job);
                if job.is_some_and(|job| is_removed(job, held.unit)) {
                    candidate.free = candidate.free.plus(&held.need);
                }
            }
        }
        candidates
    }

    fn reserve(&mut self, blocked: &BlockedUnit, pool: &mut PlacementPool, chosen: &[usize]) {
        let until_ms = self.now.steady_ms + self.timing.stop_ms + RESERVATION_MS;
        for &index in chosen {
            let upstream = &mut self.upstreams[pool.upstream_indexes[index]];
            upstream.reserved = Some(blocked.claim.clone());
            upstream.reserved_until_ms = until_ms;
            pool.reserve(index, &blocked.claim);
        }
    }

    /// Returns the running units in the pool whose claims are weaker than the unit's.
    fn running_victims(&self, blocked: &BlockedUnit, pool: &PlacementPool) -> Vec<RunningVictim> {
        let rank = blocked.claim.rank;
        let away_ms = self.timing.stop_ms + blocked.estimate_ms;
        let ranks = self.running_ranks();
        let mut victims = Vec::new();
        for (victim_job, state) in self.jobs.iter().enumerate() {
            if ranks[victim_job] <= rank {
                continue;
            }
            self.counts.add(WorkKind::SearchStep, state.units.len());
            for unit in 0..state.units.len() {
                let preemptible = state.units[unit].phase == UnitPhase::Active;
                if preemptible && !state.step(unit).lasting {
                    let rank = ranks[victim_job];
                    victims.extend(self.running_victim(victim_job, unit, rank, away_ms, pool));
                }
            }
        }
        victims
    }

    fn running_victim(
        &self,
        job: usize,
        unit: usize,
        rank: u32,
        away_ms: u64,
        pool: &PlacementPool,
    ) -> Option<RunningVictim> {
        let state = &self.jobs[job];
        let step = state.step(unit);
        let members = state.units[unit].members.len();
        self.counts.add(WorkKind::SearchStep, members);
        let position = |name: &ObjectName| {
            // Upstreams and candidates are both sorted by name.
            pool.candidates
                .binary_search_by(|candidate| candidate.name.cmp(name))
                .ok()
        };
        let upstreams: Vec<usize> = state.units[unit]
            .members
            .iter()
            .filter_map(|member| position(member.upstream.as_ref()?))
            .collect();
        if upstreams.is_empty() {
            return None;
        }
        let step_index = state.shapes[unit].step as usize;
        let path_ms = state.record.spec.path_from_ms(step_index);
        let after_ms = path_ms.saturating_sub(step.estimate_ms);
        let needed_ms = self.run_left_ms(job, unit) + after_ms;
        let running = RunningUnit {
            outlook: self.unit_outlook(job, unit, needed_ms),
            worked_ms: self.worked_ms(job, unit),
            checkpoints: step.checkpoints,
            rate_milli: step.need.weight_milli() * upstreams.len() as u64,
            displaced: state.units[unit].preempted,
        };
        Some(RunningVictim {
            victim: VictimUnit {
                upstreams,
                need: step.need,
                lost_work: running.displacement_cost(away_ms),
                rank,
            },
            job,
            unit,
        })
    }
}
