//! Reservations and preemption for units that do not fit.

use crate::work::load::delay_cost::UnitOutlook;
use crate::work::load::queue_order::WaitingUnit;
use crate::work::load::room_choice::{RoomChoice, RoomOptions};
use crate::work::load::victims::{VictimSearch, VictimUnit};
use crate::work::model::amount::ResourceAmount;
use crate::work::owner::PoolOwner;
use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::running_work::UnitRow;
use crate::work::owner::unit_state::UnitPhase;
use crate::work::owner::work_counts::WorkKind;
use crate::work::placing::placement::{CapacityClaim, UnitDemand, place_unit};

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

/// What is known in a placement round of the claims to capacity.
#[derive(Default)]
pub(super) struct RoundClaims {
    /// Units other than urgent ones with a reservation.
    reserved: usize,
    /// Claim rank of each job's running work, once it is needed.
    ranks: Option<Vec<u32>>,
}

impl RoundClaims {
    /// Forgets the ranks, since urgent work was placed.
    pub(super) fn forget_ranks(&mut self) {
        self.ranks = None;
    }
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
        claims: &mut RoundClaims,
    ) {
        let waiting = blocked.waiting;
        let urgent = waiting.priority == 0;
        // Capacity reserved for the unit is being freed; it is tried again when the reservation
        // expires.
        let already_reserved = pool.reserved_claims().any(|claim| *claim == blocked.claim);
        if already_reserved {
            claims.reserved += usize::from(!urgent);
            return;
        }
        if !urgent {
            if waiting.slack_ms < 0 || waiting.expired || claims.reserved >= RESERVED_UNITS_MAX {
                return;
            }
            claims.reserved += 1;
        }
        // Capacity freed by stops in progress may be enough.
        self.gather_work(pool);
        let mut after_stops = self.free_after_stops(pool);
        if let Some(chosen) = self.find_room(blocked, pool, &mut after_stops) {
            self.reserve(blocked, pool, &chosen);
            return;
        }
        let may_preempt = match urgent {
            true => waiting.guaranteed || waiting.slack_ms >= 0,
            false => waiting.slack_ms < PREEMPTION_SLACK_MS,
        };
        let ranks = claims.ranks.get_or_insert_with(|| self.running_ranks());
        if may_preempt {
            let running = self.running_victims(blocked, pool, ranks);
            if self.preempt_or_wait(blocked, pool, &running, &mut after_stops) {
                return;
            }
        }
        let mut without_weaker = self.free_without_weaker(blocked.claim.rank, pool, ranks);
        if let Some(chosen) = self.find_room(blocked, pool, &mut without_weaker) {
            self.reserve(blocked, pool, &chosen);
        }
    }

    /// Chooses between preemption and the ends of runs in sight, and prepares the one that costs
    /// callers less. Returns whether nothing else is to be tried.
    fn preempt_or_wait(
        &mut self,
        blocked: &BlockedUnit,
        pool: &mut PlacementPool,
        running: &[RunningVictim],
        after_stops: &mut [ResourceAmount],
    ) -> bool {
        let victims: Vec<&VictimUnit> = running.iter().map(|one| &one.victim).collect();
        let chosen = pool.search_with(after_stops, |candidates| {
            let search = VictimSearch::new(blocked.demand, &blocked.claim, candidates, &victims);
            let chosen = search.choose();
            self.counts.add(WorkKind::SearchStep, search.steps());
            chosen
        });
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
            self.preempt(blocked, pool, running, &chosen);
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
        let mut after_stops = self.free_after_stops(pool);
        if let Some(chosen) = self.find_room(blocked, pool, &mut after_stops) {
            self.reserve(blocked, pool, &chosen);
        }
    }

    /// Chooses candidates for the unit as if each had this free capacity.
    pub(super) fn find_room(
        &self,
        blocked: &BlockedUnit,
        pool: &mut PlacementPool,
        free: &mut [ResourceAmount],
    ) -> Option<Vec<usize>> {
        let steps = pool.search_steps(blocked.demand);
        self.counts.add(WorkKind::SearchStep, steps);
        pool.search_with(free, |candidates| {
            place_unit(blocked.demand, &blocked.claim, candidates)
        })
    }

    /// Returns the free capacity of each candidate once all stops in progress are complete.
    fn free_after_stops(&self, pool: &PlacementPool) -> Vec<ResourceAmount> {
        self.free_without(pool, |job, unit| {
            self.jobs[job].units[unit].phase == UnitPhase::Stopping
        })
    }

    /// Returns the free capacity of each candidate without work of weaker claims.
    fn free_without_weaker(
        &self,
        rank: u32,
        pool: &PlacementPool,
        ranks: &[u32],
    ) -> Vec<ResourceAmount> {
        self.free_without(pool, |job, unit| {
            let lasting = self.jobs[job].step(unit).lasting;
            !lasting && ranks[job] > rank
        })
    }

    /// Returns the free capacity of each candidate without the units that are removed. The work of the
    /// pool must be known.
    pub(super) fn free_without(
        &self,
        pool: &PlacementPool,
        is_removed: impl Fn(usize, usize) -> bool,
    ) -> Vec<ResourceAmount> {
        let mut free: Vec<ResourceAmount> = pool.candidates.iter().map(|one| one.free).collect();
        let tasks = pool.work.as_ref().map_or(&[][..], |work| &work.tasks);
        self.counts
            .add(WorkKind::SearchStep, free.len() + tasks.len());
        for task in tasks {
            if is_removed(task.job, task.unit) {
                free[task.candidate] = free[task.candidate].plus(&task.need);
            }
        }
        free
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

    /// Returns the running units in the pool whose claims are weaker than the unit's. The work of the
    /// pool must be known.
    fn running_victims(
        &self,
        blocked: &BlockedUnit,
        pool: &PlacementPool,
        ranks: &[u32],
    ) -> Vec<RunningVictim> {
        let away_ms = self.timing.stop_ms + blocked.estimate_ms;
        let units = pool.work.as_ref().map_or(&[][..], |work| &work.units);
        self.counts.add(WorkKind::SearchStep, units.len());
        let is_victim = |row: &&UnitRow| {
            let phase = self.jobs[row.job].units[row.unit].phase;
            ranks[row.job] > blocked.claim.rank && phase == UnitPhase::Active
        };
        let victim = |row: &UnitRow| RunningVictim {
            victim: VictimUnit {
                upstreams: row.candidates.clone(),
                need: row.need,
                lost_work: row.running.displacement_cost(away_ms),
                rank: ranks[row.job],
            },
            job: row.job,
            unit: row.unit,
        };
        units.iter().filter(is_victim).map(victim).collect()
    }
}
