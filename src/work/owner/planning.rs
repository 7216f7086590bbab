//! A round of placement over all waiting units.

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;
use crate::work::config::QueueRule;
use crate::work::displace::{VictimUnit, choose_victims};
use crate::work::order::{OrderKey, WaitingUnit, order_key};
use crate::work::owner::PoolOwner;
use crate::work::owner::job_state::{MemberPhase, MemberState, UnitPhase};
use crate::work::owner::upstream_state::HeldTask;
use crate::work::pace::PaceWish;
use crate::work::place::{OpenUpstream, RoomClaim, UnitDemand, fits_a_rack, place_unit};

/// How long a unit waits for room near its data or in one rack while half of the pool is idle,
/// in ms. It is short, since callers would rather have slow work than none.
const IDLE_NEAR_WAIT_MS: u64 = 1_500;
/// Longest such wait while the pool is busy, in ms.
const BUSY_NEAR_WAIT_MS: u64 = 15_000;
/// Longest such wait of a unit inside its team's guarantee, in ms: it is owed a start.
const GUARANTEED_NEAR_WAIT_MS: u64 = 800;
/// Guaranteed units for which room is sought in one round.
const GUARANTEED_UNITS_MAX: usize = 6;
/// How long room is kept for a unit before it is looked at again, in ms.
const RESERVE_MS: u64 = 600;
/// Waiting units, beside urgent ones, for which room is kept.
const RESERVED_UNITS_MAX: usize = 4;
/// Time until it must start below which a unit's room is made rather than waited for, in ms.
const MAKE_ROOM_SLACK_MS: i64 = 4_000;
/// Multiple of its objective after which nobody waits for a job any more.
const EXPIRED_FACTOR: u64 = 3;
/// Work that a unit with checkpoints loses when it is stopped, in ms.
const CHECKPOINT_LOSS_MS: u64 = 1_000;
/// Share of the room in use above which a pool counts as busy, in thousandths.
const BUSY_SHARE: u64 = 450;
/// Failed upstreams that a unit avoids.
const AVOID_MAX: usize = 6;

/// A step's waiting units of one job.
struct Candidate {
    key: OrderKey,
    waiting: WaitingUnit,
    job: usize,
    units: Vec<usize>,
}

/// Upstreams of one pool that take work, kept up to date through a round.
struct OpenPool {
    name: ObjectName,
    open: Vec<OpenUpstream>,
    /// Index in the owner's table for each open upstream.
    rows: Vec<usize>,
    /// Sum of what the upstreams have.
    capacity: ResourceAmount,
    /// Sum of what is free on them.
    free: ResourceAmount,
}

impl OpenPool {
    fn add(&mut self, row: usize, open: OpenUpstream) {
        self.capacity = self.capacity.plus(&open.capacity);
        self.free = self.free.plus(&open.free);
        self.rows.push(row);
        self.open.push(open);
    }

    fn set_free(&mut self, index: usize, free: ResourceAmount) {
        let open = &mut self.open[index];
        self.free = self.free.minus(&open.free).plus(&free);
        open.free = free;
    }

    /// Returns whether about half of the room or more is in use.
    fn is_busy(&self) -> bool {
        let used = self.capacity.minus(&self.free);
        used.share_of(&self.capacity) > BUSY_SHARE
    }
}

/// A unit that does not fit now.
struct BlockedUnit<'a> {
    waiting: &'a WaitingUnit,
    demand: &'a UnitDemand,
    claim: RoomClaim,
    job: usize,
}

/// Accelerators that a team's urgent jobs hold.
struct TeamUse {
    team: ObjectName,
    held: u64,
}

/// A unit that may be displaced, and where it stands.
struct RunningVictim {
    victim: VictimUnit,
    job: usize,
    unit: usize,
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
        let fact = &self.jobs[job].fact;
        self.config.rule(&fact.queue).unwrap_or(&fact.rule)
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
        let spec = &state.fact.spec;
        let begun_ms = state
            .fact
            .accepted_ms
            .max(spec.due_ms(state.shapes[unit].round));
        let chain_ms = spec.chain_ms();
        let allowed_ms = rule.allowed_ms(chain_ms);
        let due_ms = begun_ms + allowed_ms.saturating_sub(chain_ms);
        WaitingUnit {
            priority: rule.priority,
            guaranteed: rule.priority == 0 && self.is_guaranteed(job, teams),
            slack_ms: due_ms as i64 - self.now.wall_ms as i64,
            expired: begun_ms + EXPIRED_FACTOR * allowed_ms < self.now.wall_ms + chain_ms,
            work: spec.work(),
            begun: state.units.iter().any(|unit| unit.run > 0),
        }
    }

    /// Returns what each team's urgent jobs hold, sorted by team.
    fn team_use(&self) -> Vec<TeamUse> {
        let mut teams: Vec<TeamUse> = Vec::new();
        for job in 0..self.jobs.len() {
            let Some(team) = &self.jobs[job].fact.team else {
                continue;
            };
            if self.rule(job).priority != 0 {
                continue;
            }
            let held = self.held_accelerators(job);
            match teams.binary_search_by(|row| row.team.cmp(team)) {
                Ok(index) => teams[index].held += held,
                Err(index) => {
                    let team = team.clone();
                    teams.insert(index, TeamUse { team, held });
                }
            }
        }
        teams
    }

    /// Returns whether an urgent job fits what its team is guaranteed, beside what the team's
    /// other urgent jobs hold.
    fn is_guaranteed(&self, job: usize, teams: &[TeamUse]) -> bool {
        let Some(team) = &self.jobs[job].fact.team else {
            return false;
        };
        let row = teams.binary_search_by(|row| row.team.cmp(team));
        let held = row.map_or(0, |index| teams[index].held);
        let others = held.saturating_sub(self.held_accelerators(job));
        let wanted = self.jobs[job].fact.spec.first_accelerators();
        others + wanted <= self.config.guaranteed(team)
    }

    fn held_accelerators(&self, job: usize) -> u64 {
        let state = &self.jobs[job];
        let on = |member: &&MemberState| member.phase != MemberPhase::Over;
        let of_unit = |unit: usize| {
            let members = state.units[unit].members.iter().filter(on).count() as u64;
            members * state.step(unit).need.accelerators
        };
        (0..state.units.len()).map(of_unit).sum()
    }

    fn open_pool(&self, pool: &ObjectName) -> OpenPool {
        let now_ms = self.now.steady_ms;
        let mut all = OpenPool {
            name: pool.clone(),
            open: Vec::new(),
            rows: Vec::new(),
            capacity: ResourceAmount::default(),
            free: ResourceAmount::default(),
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
        let near_wait_ms = match pool.is_busy() {
            // Slow work takes its room for longer as well.
            true => (step.estimate_ms * (self.timing.far_factor - 1)).min(BUSY_NEAR_WAIT_MS),
            false => IDLE_NEAR_WAIT_MS,
        };
        let near_wait_ms = match guaranteed {
            true => GUARANTEED_NEAR_WAIT_MS,
            false => near_wait_ms.max(IDLE_NEAR_WAIT_MS),
        };
        let patient = waited_ms < near_wait_ms;
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
                priority,
            };
            let Some(chosen) = place_unit(&demand, &claim, &pool.open) else {
                let blocked = BlockedUnit {
                    waiting: &candidate.waiting,
                    demand: &demand,
                    claim,
                    job,
                };
                round.guaranteed += usize::from(alone);
                self.claim_room(&blocked, pool, &mut round.reserved);
                round.hopeless.push(demand);
                return;
            };
            self.assign(job, unit, pool, &chosen);
        }
    }

    fn assign(&mut self, job: usize, unit: usize, pool: &mut OpenPool, chosen: &[usize]) {
        let id = self.jobs[job].id.clone();
        let need = self.jobs[job].step(unit).need;
        let now_ms = self.now.steady_ms;
        let state = &mut self.jobs[job].units[unit];
        let waited_ms = now_ms.saturating_sub(state.since_ms);
        state.phase = UnitPhase::Active;
        state.run += 1;
        state.resumed = state.saved.clone();
        state.since_ms = now_ms;
        let run = state.run;
        log::info!(
            job = id.as_str(), unit, run, tasks = chosen.len(), waited_ms,
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
            let own = upstream
                .reserved
                .as_ref()
                .is_some_and(|claim| claim.job == id);
            if own {
                upstream.reserved = None;
                pool.open[index].reserved = None;
            }
            pool.set_free(index, upstream.free());
            let place = MemberState {
                phase: MemberPhase::Planned,
                upstream: Some(upstream.name.clone()),
                born: upstream.born,
                ..MemberState::default()
            };
            self.jobs[job].units[unit].members[member] = place;
        }
        self.jobs[job].dirty = true;
        self.jobs[job].drive_due = true;
    }

    /// Keeps room for a unit that does not fit now, and makes it where there is no time left.
    fn claim_room(&mut self, blocked: &BlockedUnit, pool: &mut OpenPool, reserved: &mut usize) {
        let waiting = blocked.waiting;
        let urgent = waiting.priority == 0;
        // What is kept for it is on its way; it is looked at again once that is over.
        let kept = pool
            .open
            .iter()
            .any(|open| open.reserved.as_ref() == Some(&blocked.claim));
        if kept {
            *reserved += usize::from(!urgent);
            return;
        }
        if !urgent {
            if waiting.slack_ms < 0 || waiting.expired || *reserved >= RESERVED_UNITS_MAX {
                return;
            }
            *reserved += 1;
        }
        // What is being stopped already may do.
        let leaving = self.leaving_room(pool);
        if let Some(chosen) = place_unit(blocked.demand, &blocked.claim, &leaving) {
            self.reserve(blocked, pool, &chosen);
            return;
        }
        let hurry = match urgent {
            true => waiting.guaranteed || waiting.slack_ms >= 0,
            false => waiting.slack_ms < MAKE_ROOM_SLACK_MS,
        };
        if hurry {
            self.make_room(blocked, pool, &leaving);
        } else {
            let lower = self.room_without_lower(blocked.claim.priority, pool);
            if let Some(chosen) = place_unit(blocked.demand, &blocked.claim, &lower) {
                self.reserve(blocked, pool, &chosen);
            }
        }
    }

    /// Displaces work of less urgent queues.
    fn make_room(&mut self, blocked: &BlockedUnit, pool: &mut OpenPool, leaving: &[OpenUpstream]) {
        let running = self.running_victims(blocked.job, pool);
        let victims: Vec<&VictimUnit> = running.iter().map(|one| &one.victim).collect();
        let chosen = choose_victims(blocked.demand, &blocked.claim, leaving, &victims);
        for index in chosen.unwrap_or_default() {
            let (other, other_unit) = (running[index].job, running[index].unit);
            log::info!(
                job = self.jobs[other].id.as_str(), unit = other_unit,
                for_job = blocked.claim.job.as_str(), for_unit = blocked.claim.unit;
                "owner: a unit makes room for more urgent work."
            );
            metrics::counter!("hemlockramp_displaced_total").increment(1);
            self.jobs[other].units[other_unit].displaced += 1;
            self.stop_unit(other, other_unit);
        }
        let leaving = self.leaving_room(pool);
        if let Some(chosen) = place_unit(blocked.demand, &blocked.claim, &leaving) {
            self.reserve(blocked, pool, &chosen);
        }
    }

    /// Returns the open upstreams as they will be once all that is being stopped is gone.
    fn leaving_room(&self, pool: &OpenPool) -> Vec<OpenUpstream> {
        self.room_without(pool, |job, unit| {
            self.jobs[job].units[unit].phase == UnitPhase::Stopping
        })
    }

    /// Returns the open upstreams as they would be without less urgent work.
    fn room_without_lower(&self, priority: u32, pool: &OpenPool) -> Vec<OpenUpstream> {
        self.room_without(pool, |job, unit| {
            let lasting = self.jobs[job].step(unit).lasting;
            !lasting && self.rule(job).priority > priority
        })
    }

    fn room_without(
        &self,
        pool: &OpenPool,
        leaves: impl Fn(usize, usize) -> bool,
    ) -> Vec<OpenUpstream> {
        let mut room = pool.open.clone();
        for (open, &row) in room.iter_mut().zip(&pool.rows) {
            for held in &self.upstreams[row].held {
                let job = self.job_index(&held.job);
                if job.is_some_and(|job| leaves(job, held.unit)) {
                    open.free = open.free.plus(&held.need);
                }
            }
        }
        room
    }

    fn reserve(&mut self, blocked: &BlockedUnit, pool: &mut OpenPool, chosen: &[usize]) {
        let until_ms = self.now.steady_ms + RESERVE_MS;
        for &index in chosen {
            let upstream = &mut self.upstreams[pool.rows[index]];
            upstream.reserved = Some(blocked.claim.clone());
            upstream.reserved_ms = until_ms;
            pool.open[index].reserved = Some(blocked.claim.clone());
        }
    }

    /// Returns running units of less urgent queues in the same pool.
    fn running_victims(&self, job: usize, pool: &OpenPool) -> Vec<RunningVictim> {
        let priority = self.rule(job).priority;
        let mut victims = Vec::new();
        for (other, state) in self.jobs.iter().enumerate() {
            if self.rule(other).priority <= priority {
                continue;
            }
            for unit in 0..state.units.len() {
                let may_go = state.units[unit].phase == UnitPhase::Active;
                if may_go && !state.step(unit).lasting {
                    victims.extend(self.running_victim(other, unit, pool));
                }
            }
        }
        victims
    }

    fn running_victim(&self, job: usize, unit: usize, pool: &OpenPool) -> Option<RunningVictim> {
        let state = &self.jobs[job];
        let step = state.step(unit);
        let position = |name: &ObjectName| {
            // Both are sorted by name.
            pool.open.binary_search_by(|open| open.name.cmp(name)).ok()
        };
        let upstreams: Vec<usize> = state.units[unit]
            .members
            .iter()
            .filter_map(|member| position(member.upstream.as_ref()?))
            .collect();
        if upstreams.is_empty() {
            return None;
        }
        let done_ms = match step.checkpoints {
            true => CHECKPOINT_LOSS_MS,
            false => self
                .now
                .steady_ms
                .saturating_sub(state.units[unit].since_ms),
        };
        let tasks = upstreams.len() as u64;
        // Each earlier time counts again, so that none is displaced for ever.
        let times = u64::from(state.units[unit].displaced) + 1;
        Some(RunningVictim {
            victim: VictimUnit {
                upstreams,
                need: step.need,
                lost: done_ms * step.need.weight_milli() * tasks * times,
                priority: self.rule(job).priority,
            },
            job,
            unit,
        })
    }
}
