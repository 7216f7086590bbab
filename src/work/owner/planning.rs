//! What a waiting unit asks for, and its placement.

use crate::tables::name::ObjectName;
use crate::work::load::queue_order::WaitingUnit;
use crate::work::model::config::QueueRule;
use crate::work::owner::PoolOwner;
use crate::work::owner::placed_speed::PlacedSpeed;
use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::unit_state::{MemberPhase, MemberState, UnitPhase};
use crate::work::owner::upstream_state::HeldTask;
use crate::work::owner::work_counts::WorkKind;
use crate::work::placing::locality_wait::LocalityWait;
use crate::work::placing::placement::{CandidateUpstream, Isolation, UnitDemand};
use crate::work::placing::sibling_counts::SiblingCounts;
use crate::work::placing::slowdown::{SlowdownLimit, SpeedPreference};

/// Time to record, order and begin a run and to see its end, in ms.
const RUN_START_MS: i64 = 300;
/// Upstreams with a failed run that a unit avoids; only the newest count.
const AVOIDED_UPSTREAMS_MAX: usize = 6;

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

    /// Returns the schedulable upstreams of a pool.
    pub(super) fn placement_pool(&self, pool: &ObjectName) -> PlacementPool {
        self.counts.add(WorkKind::SearchStep, self.upstreams.len());
        let now_ms = self.now.steady_ms;
        let mut result = PlacementPool::new(pool.clone(), self.urgent_usage(pool));
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
                true => result.exclude(index, candidate),
                false => result.add(index, candidate),
            }
        }
        result
    }

    /// Returns what a unit asks for now, without the placed tasks of its step.
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
            siblings: SiblingCounts::default(),
            avoided_upstreams: failed_on.take(AVOIDED_UPSTREAMS_MAX).cloned().collect(),
            speed: self.speed_preference(job, unit, waiting),
            isolation: self.isolation(job, unit, waited_ms),
        };
        if demand.same_rack && !demand.may_span_racks {
            demand.may_span_racks = !pool.fits_in_one_rack(&demand, &self.counts);
        }
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

    /// Returns the placed tasks of a unit's step and round, if their number on an upstream is
    /// limited.
    pub(super) fn siblings(&self, job: usize, unit: usize) -> SiblingCounts {
        let state = &self.jobs[job];
        if state.step(unit).spread_max == 0 {
            return SiblingCounts::default();
        }
        let own = (state.shapes[unit].round, state.shapes[unit].step);
        let first = state
            .shapes
            .partition_point(|one| (one.round, one.step) < own);
        let after = state
            .shapes
            .partition_point(|one| (one.round, one.step) <= own);
        self.counts.add(WorkKind::SearchStep, after - first);
        state.units[first..after]
            .iter()
            .flat_map(|unit| &unit.members)
            .filter_map(|member| member.upstream.clone())
            .collect()
    }

    /// Logs why a unit waits, once for each wait.
    pub(super) fn log_wait(&mut self, job: usize, unit: usize, reason: &str, pool: &PlacementPool) {
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

    /// Places a unit on the chosen candidates.
    pub(super) fn assign(
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
        for index in pool.release(job, unit) {
            self.upstreams[pool.upstream_indexes[index]].reserved = None;
        }
    }
}
