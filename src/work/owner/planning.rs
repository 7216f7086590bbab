//! A round of placement over all waiting units.

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;
use crate::work::config::QueueRule;
use crate::work::order::{OrderKey, WaitingUnit, order_key};
use crate::work::owner::PoolOwner;
use crate::work::owner::job_state::{MemberPhase, MemberState, UnitPhase};
use crate::work::owner::make_room::BlockedUnit;
use crate::work::owner::open_pool::OpenPool;
use crate::work::owner::team_use::TeamUse;
use crate::work::owner::upstream_state::HeldTask;
use crate::work::pace::PaceWish;
use crate::work::patience::NearWait;
use crate::work::place::{
    OpenUpstream, RoomClaim, UnitDemand, claim_rank, fits_a_rack, place_unit,
};

/// Guaranteed units for which room is sought in one round.
const GUARANTEED_UNITS_MAX: usize = 6;
/// Multiple of its objective after which nobody waits for a job any more.
const EXPIRED_FACTOR: u64 = 3;
/// Failed upstreams that a unit avoids.
const AVOID_MAX: usize = 6;

/// A step's waiting units of one job.
struct Candidate {
    key: OrderKey,
    waiting: WaitingUnit,
    job: usize,
    units: Vec<usize>,
}

/// What a round carries along.
struct PlanRound {
    pools: Vec<OpenPool>,
    /// Demands that found no room; equal ones of the round fail alike.
    hopeless: Vec<UnitDemand>,
    /// Units, beside urgent ones, for which room is kept.
    reserved: usize,
    /// Guaranteed units for which room was sought.
    guaranteed: usize,
}

impl PoolOwner {
    /// Returns how a job's queue is treated now.
    pub(super) fn rule(&self, job: usize) -> &QueueRule {
        let record = &self.jobs[job].record;
        self.config.rule(&record.queue).unwrap_or(&record.rule)
    }

    /// Places what fits, in order, and makes room for urgent work.
    pub(super) fn plan(&mut self) {
        let teams = self.team_use();
        let mut candidates = self.candidates(&teams);
        metrics::gauge!("hemlockramp_steps_waiting").set(candidates.len() as f64);
        metrics::gauge!("hemlockramp_jobs_open").set(self.jobs.len() as f64);
        candidates.sort_by_key(|candidate| (candidate.key, candidate.job));
        let mut round = PlanRound {
            pools: Vec::new(),
            hopeless: Vec::new(),
            reserved: 0,
            guaranteed: 0,
        };
        for candidate in &candidates {
            self.place_candidate(candidate, &mut round);
        }
    }

    fn candidates(&self, teams: &[TeamUse]) -> Vec<Candidate> {
        let mut found: Vec<Candidate> = Vec::new();
        for job in 0..self.jobs.len() {
            let ready = self.jobs[job].ready_units(self.now.wall_ms);
            let same_step = |left: &usize, right: &usize| {
                let shapes = &self.jobs[job].shapes;
                (shapes[*left].round, shapes[*left].step)
                    == (shapes[*right].round, shapes[*right].step)
            };
            for units in ready.chunk_by(same_step) {
                let waiting = self.waiting_unit(job, units[0], teams);
                found.push(Candidate {
                    key: order_key(&waiting),
                    waiting,
                    job,
                    units: units.to_vec(),
                });
            }
        }
        found
    }

    fn waiting_unit(&self, job: usize, unit: usize, teams: &[TeamUse]) -> WaitingUnit {
        let state = &self.jobs[job];
        let rule = self.rule(job);
        let spec = &state.record.spec;
        let begun_ms = state
            .record
            .accepted_ms
            .max(spec.due_ms(state.shapes[unit].round));
        let critical_path_ms = spec.critical_path_ms();
        let time_objective_ms = rule.time_objective_ms(critical_path_ms);
        let due_ms = begun_ms + time_objective_ms.saturating_sub(critical_path_ms);
        WaitingUnit {
            priority: rule.priority,
            guaranteed: rule.priority == 0 && self.is_guaranteed(job, teams),
            slack_ms: due_ms as i64 - self.now.wall_ms as i64,
            expired: begun_ms + EXPIRED_FACTOR * time_objective_ms
                < self.now.wall_ms + critical_path_ms,
            work: spec.work(),
            begun: state.units.iter().any(|unit| unit.run > 0),
        }
    }

    fn open_pool(&self, pool: &ObjectName) -> OpenPool {
        let now_ms = self.now.steady_ms;
        let mut all = OpenPool {
            name: pool.clone(),
            open: Vec::new(),
            rows: Vec::new(),
            capacity: ResourceAmount::default(),
            free: ResourceAmount::default(),
            urgent: self.urgent_use(pool),
        };
        for (row, upstream) in self.upstreams.iter().enumerate() {
            let Some(report) = &upstream.report else {
                continue;
            };
            if report.pool != *pool || !upstream.is_open(now_ms) {
                continue;
            }
            let open = OpenUpstream {
                name: upstream.name.clone(),
                rack: report.rack.clone(),
                labels: report.labels.clone(),
                capacity: report.capacity,
                free: upstream.free(),
                blame: upstream.blame,
                pace: upstream.pace,
                reserved: upstream
                    .reserved
                    .clone()
                    .filter(|_| upstream.reserved_ms > now_ms),
            };
            all.add(row, open);
        }
        all
    }

    fn demand(&self, job: usize, unit: usize, guaranteed: bool, pool: &OpenPool) -> UnitDemand {
        let state = &self.jobs[job];
        let step = state.step(unit);
        let shape = state.shapes[unit];
        let waited_ms = self
            .now
            .steady_ms
            .saturating_sub(state.units[unit].since_ms);
        let near = NearWait {
            guaranteed,
            busy: pool.is_busy(),
            estimate_ms: step.estimate_ms,
            far_factor: self.timing.far_factor,
            reclaim_ms: self.timing.reclaim_ms,
            stop_ms: self.timing.stop_ms,
        };
        let patient = waited_ms < near.limit_ms();
        let failed_on = state.units[unit].failed_on.iter().rev();
        let mut demand = UnitDemand {
            count: shape.count as usize,
            need: step.need,
            label: step.label.clone(),
            data_rack: step.data_rack.clone(),
            any_rack: !patient,
            same_rack: step.same_rack,
            may_spread: !patient,
            spread_max: step.spread_max as usize,
            siblings: Vec::new(),
            avoid: failed_on.take(AVOID_MAX).cloned().collect(),
            pace: match self.rule(job).priority {
                0 => PaceWish::Fast,
                1 => PaceWish::Any,
                _ => PaceWish::Slow,
            },
        };
        if step.spread_max > 0 {
            demand.siblings = self.siblings(job, unit);
        }
        demand.may_spread |= demand.same_rack && !fits_a_rack(&demand, &pool.open);
        demand
    }

    /// Returns where other tasks of the same step and round are.
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

    fn place_candidate(&mut self, candidate: &Candidate, round: &mut PlanRound) {
        let job = candidate.job;
        let rule = self.rule(job);
        let priority = rule.priority;
        let name = rule.pool.clone();
        let index = match round.pools.iter().position(|pool| pool.name == name) {
            Some(index) => index,
            None => {
                round.pools.push(self.open_pool(&name));
                round.pools.len() - 1
            }
        };
        for &unit in &candidate.units {
            let pool = &mut round.pools[index];
            let demand = self.demand(job, unit, candidate.waiting.guaranteed, pool);
            // Each guaranteed unit gets room of its own, however many are alike.
            let alone = candidate.waiting.guaranteed && round.guaranteed < GUARANTEED_UNITS_MAX;
            if !alone && round.hopeless.contains(&demand) {
                return;
            }
            let claim = RoomClaim {
                job: self.jobs[job].id.clone(),
                unit,
                rank: claim_rank(priority, candidate.waiting.guaranteed),
            };
            if !pool.spares(priority, &demand) {
                self.tell_wait(job, unit, "room is kept for urgent work", pool);
                return;
            }
            let Some(chosen) = place_unit(&demand, &claim, &pool.open) else {
                let blocked = BlockedUnit {
                    waiting: &candidate.waiting,
                    demand: &demand,
                    claim,
                };
                round.guaranteed += usize::from(alone);
                self.tell_wait(job, unit, "no room", pool);
                self.claim_room(&blocked, pool, &mut round.reserved);
                round.hopeless.push(demand);
                return;
            };
            self.assign(job, unit, pool, &chosen);
        }
    }

    /// Tells once for each run of a unit why it waits.
    fn tell_wait(&mut self, job: usize, unit: usize, reason: &str, pool: &OpenPool) {
        let state = &mut self.jobs[job];
        if std::mem::replace(&mut state.units[unit].wait_told, true) {
            return;
        }
        log::info!(
            job = state.id.as_str(), unit, reason, open = pool.open.len(),
            free_accelerators = pool.free.accelerators, free_cpu_milli = pool.free.cpu_milli,
            urgent_accelerators = pool.urgent.accelerators, config = self.config.version;
            "owner: a unit waits."
        );
    }

    fn assign(&mut self, job: usize, unit: usize, pool: &mut OpenPool, chosen: &[usize]) {
        let id = self.jobs[job].id.clone();
        let need = self.jobs[job].step(unit).need;
        let now_ms = self.now.steady_ms;
        let state = &mut self.jobs[job].units[unit];
        let waited_ms = now_ms.saturating_sub(state.since_ms);
        state.phase = UnitPhase::Active;
        state.wait_told = false;
        state.run += 1;
        state.resumed = state.checkpoint.clone();
        state.since_ms = now_ms;
        let run = state.run;
        let racks = pool.rack_count(chosen);
        log::info!(
            job = id.as_str(), unit, run, tasks = chosen.len(), waited_ms, racks,
            upstream = pool.open[chosen[0]].name.as_str(), config = self.config.version;
            "owner: a unit is placed."
        );
        metrics::histogram!("hemlockramp_wait_seconds").record(waited_ms as f64 / 1_000.0);
        for (member, &index) in chosen.iter().enumerate() {
            let upstream = &mut self.upstreams[pool.rows[index]];
            upstream.hold(HeldTask {
                job: id.clone(),
                unit,
                member,
                need,
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
        self.unreserve(&id, unit, pool);
        self.jobs[job].dirty = true;
        self.jobs[job].drive_due = true;
    }

    /// Gives free what is kept for a unit.
    fn unreserve(&mut self, job: &ObjectName, unit: usize, pool: &mut OpenPool) {
        for (open, &row) in pool.open.iter_mut().zip(&pool.rows) {
            let kept = open.reserved.as_ref();
            if kept.is_some_and(|claim| claim.job == *job && claim.unit == unit) {
                open.reserved = None;
                self.upstreams[row].reserved = None;
            }
        }
    }
}
