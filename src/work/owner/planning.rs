//! A round of placement over all waiting units.

use crate::tables::name::ObjectName;
use crate::work::config::QueueRule;
use crate::work::displace::{VictimUnit, choose_victims};
use crate::work::order::{OrderKey, WaitingUnit, order_key};
use crate::work::owner::PoolOwner;
use crate::work::owner::job_state::{MemberPhase, MemberState, UnitPhase};
use crate::work::owner::upstream_state::HeldTask;
use crate::work::place::{OpenUpstream, UnitDemand, place_unit};

/// How long a unit waits for room near its data or in one rack, in ms. It is short, since
/// callers would rather have slow work than none while there is room.
const NEAR_WAIT_MS: u64 = 2_000;
/// How long room that was made for urgent work is kept for it, in ms.
const RESERVE_MS: u64 = 1_500;
/// Failed upstreams that a unit avoids.
const AVOID_MAX: usize = 6;

struct Candidate {
    key: OrderKey,
    job: usize,
    unit: usize,
}

/// Places that a round may use.
struct OpenPool {
    open: Vec<OpenUpstream>,
    /// Index in the owner's table for each open upstream.
    rows: Vec<usize>,
    reserved: Vec<bool>,
}

impl PoolOwner {
    /// Returns how a job's queue is treated now.
    pub(super) fn rule(&self, job: usize) -> &QueueRule {
        let fact = &self.jobs[job].fact;
        self.config.rule(&fact.queue).unwrap_or(&fact.rule)
    }

    /// Places what fits, in order, and makes room for urgent work.
    pub(super) fn plan(&mut self) {
        let mut candidates = self.candidates();
        if candidates.is_empty() {
            return;
        }
        candidates.sort_by_key(|candidate| (candidate.key, candidate.job, candidate.unit));
        let mut hopeless: Vec<UnitDemand> = Vec::new();
        for candidate in &candidates {
            self.place_candidate(candidate, &mut hopeless);
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (index, job) in self.jobs.iter().enumerate() {
            if job.phase.is_over() {
                continue;
            }
            for unit in 0..job.units.len() {
                if job.is_ready(unit, self.now.wall_ms) {
                    found.push(Candidate {
                        key: order_key(&self.waiting_unit(index, unit)),
                        job: index,
                        unit,
                    });
                }
            }
        }
        found
    }

    fn waiting_unit(&self, job: usize, unit: usize) -> WaitingUnit {
        let state = &self.jobs[job];
        let rule = self.rule(job);
        let spec = &state.fact.spec;
        let begun_ms = state
            .fact
            .accepted_ms
            .max(spec.due_ms(state.shapes[unit].round));
        let allowed_ms = rule.allowed_ms(spec.chain_ms());
        let due_ms = begun_ms + allowed_ms.saturating_sub(spec.chain_ms());
        WaitingUnit {
            priority: rule.priority,
            guaranteed: rule.priority == 0 && self.is_guaranteed(job),
            slack_ms: due_ms as i64 - self.now.wall_ms as i64,
            work: spec.work(),
            waited_ms: self
                .now
                .steady_ms
                .saturating_sub(state.units[unit].since_ms),
            begun: state.units.iter().any(|unit| unit.run > 0),
        }
    }

    /// Returns whether a job of priority 0 fits what its team is guaranteed, beside what the
    /// team's other such jobs hold.
    fn is_guaranteed(&self, job: usize) -> bool {
        let Some(team) = &self.jobs[job].fact.team else {
            return false;
        };
        let held: u64 = (0..self.jobs.len())
            .filter(|&other| other != job && self.jobs[other].fact.team.as_ref() == Some(team))
            .filter(|&other| self.rule(other).priority == 0)
            .map(|other| self.held_accelerators(other))
            .sum();
        let wanted = self.jobs[job].fact.spec.first_accelerators();
        held + wanted <= self.config.guaranteed(team)
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

    fn open_pool(&self, pool: &ObjectName, urgent: bool) -> OpenPool {
        let now_ms = self.now.steady_ms;
        let mut all = OpenPool {
            open: Vec::new(),
            rows: Vec::new(),
            reserved: Vec::new(),
        };
        for (row, upstream) in self.upstreams.iter().enumerate() {
            let Some(report) = &upstream.report else {
                continue;
            };
            let reserved = upstream.reserved_ms > now_ms;
            if report.pool != *pool || !upstream.is_open(now_ms) || (reserved && !urgent) {
                continue;
            }
            all.rows.push(row);
            all.reserved.push(reserved);
            all.open.push(OpenUpstream {
                name: upstream.name.clone(),
                rack: report.rack.clone(),
                labels: report.labels.clone(),
                capacity: report.capacity,
                free: upstream.free(),
                blame: upstream.blame,
            });
        }
        all
    }

    fn demand(&self, job: usize, unit: usize, pool: &OpenPool) -> UnitDemand {
        let state = &self.jobs[job];
        let step = state.step(unit);
        let shape = state.shapes[unit];
        let waited_ms = self
            .now
            .steady_ms
            .saturating_sub(state.units[unit].since_ms);
        let patient = waited_ms < NEAR_WAIT_MS;
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
            avoid: state.units[unit]
                .failed_on
                .iter()
                .rev()
                .take(AVOID_MAX)
                .cloned()
                .collect(),
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

    fn place_candidate(&mut self, candidate: &Candidate, hopeless: &mut Vec<UnitDemand>) {
        let (job, unit) = (candidate.job, candidate.unit);
        let rule = self.rule(job);
        let urgent = rule.priority == 0;
        let pool_name = rule.pool.clone();
        let pool = self.open_pool(&pool_name, urgent);
        let demand = self.demand(job, unit, &pool);
        // Equal demands of one round fail alike.
        if hopeless.contains(&demand) {
            return;
        }
        match place_unit(&demand, &pool.open) {
            Some(chosen) => self.assign(job, unit, &pool, &chosen),
            None if urgent => self.make_room(job, unit, &pool, demand, hopeless),
            None => hopeless.push(demand),
        }
    }

    fn assign(&mut self, job: usize, unit: usize, pool: &OpenPool, chosen: &[usize]) {
        let id = self.jobs[job].id.clone();
        let need = self.jobs[job].step(unit).need;
        let waited_ms = self
            .now
            .steady_ms
            .saturating_sub(self.jobs[job].units[unit].since_ms);
        let state = &mut self.jobs[job].units[unit];
        state.phase = UnitPhase::Active;
        state.run += 1;
        state.resumed = state.saved.clone();
        state.since_ms = self.now.steady_ms;
        state.displaced = false;
        let run = state.run;
        log::info!(
            job = id.as_str(), unit, run, tasks = chosen.len(), waited_ms,
            upstream = pool.open[chosen[0]].name.as_str(), config = self.config.version;
            "owner: a unit is placed."
        );
        for (member, &index) in chosen.iter().enumerate() {
            let upstream = &mut self.upstreams[pool.rows[index]];
            upstream.hold(HeldTask {
                job: id.clone(),
                unit,
                member,
                need,
            });
            upstream.reserved_ms = 0;
            let place = MemberState {
                phase: MemberPhase::Planned,
                upstream: Some(upstream.name.clone()),
                born: upstream.born,
                ..MemberState::default()
            };
            self.jobs[job].units[unit].members[member] = place;
        }
        self.jobs[job].dirty = true;
    }

    /// Displaces work that may wait, once for each urgent unit until its room has come.
    fn make_room(
        &mut self,
        job: usize,
        unit: usize,
        pool: &OpenPool,
        demand: UnitDemand,
        hopeless: &mut Vec<UnitDemand>,
    ) {
        let pending = self.leaving_room(pool);
        if place_unit(&demand, &pending).is_some() {
            // What is being stopped will do; keep it.
            self.reserve(pool, &pending, &demand);
            return;
        }
        let units = self.victim_units(job, pool);
        let victims: Vec<VictimUnit> = units.iter().map(|(victim, _, _)| victim.clone()).collect();
        let mut relaxed = demand.clone();
        relaxed.any_rack = true;
        relaxed.may_spread = true;
        let Some(chosen) = choose_victims(&relaxed, &pending, &victims) else {
            hopeless.push(demand);
            return;
        };
        for index in chosen {
            let (_, other, other_unit) = &units[index];
            log::info!(
                job = self.jobs[*other].id.as_str(), unit = *other_unit,
                for_job = self.jobs[job].id.as_str(), for_unit = unit;
                "owner: a unit makes room for urgent work."
            );
            self.jobs[*other].units[*other_unit].displaced = true;
            self.stop_unit(*other, *other_unit);
        }
        let pending = self.leaving_room(pool);
        self.reserve(pool, &pending, &relaxed);
    }

    /// Returns the open upstreams as they will be once all that is being stopped is gone.
    fn leaving_room(&self, pool: &OpenPool) -> Vec<OpenUpstream> {
        let mut room = pool.open.clone();
        for (open, &row) in room.iter_mut().zip(&pool.rows) {
            for held in &self.upstreams[row].held {
                let leaving = self.job_index(&held.job).is_some_and(|job| {
                    self.jobs[job].units[held.unit].phase == UnitPhase::Stopping
                });
                if leaving {
                    open.free = open.free.plus(&held.need);
                }
            }
        }
        room
    }

    fn reserve(&mut self, pool: &OpenPool, room: &[OpenUpstream], demand: &UnitDemand) {
        let until_ms = self.now.steady_ms + RESERVE_MS;
        for index in place_unit(demand, room).unwrap_or_default() {
            self.upstreams[pool.rows[index]].reserved_ms = until_ms;
        }
    }

    /// Returns running units of less urgent queues in the same pool.
    fn victim_units(&self, job: usize, pool: &OpenPool) -> Vec<(VictimUnit, usize, usize)> {
        let priority = self.rule(job).priority;
        let position = |name: &ObjectName| pool.open.iter().position(|open| open.name == *name);
        let mut victims = Vec::new();
        for (other, state) in self.jobs.iter().enumerate() {
            let rule = self.rule(other);
            if rule.priority <= priority {
                continue;
            }
            for (unit, unit_state) in state.units.iter().enumerate() {
                let lasting = state.step(unit).lasting;
                if unit_state.phase != UnitPhase::Active || lasting {
                    continue;
                }
                let upstreams: Vec<usize> = unit_state
                    .members
                    .iter()
                    .filter_map(|member| position(member.upstream.as_ref()?))
                    .collect();
                if upstreams.is_empty() {
                    continue;
                }
                let step = state.step(unit);
                let done_ms = match step.checkpoints {
                    true => 0,
                    false => self.now.steady_ms.saturating_sub(unit_state.since_ms),
                };
                let need = step.need;
                let lost = done_ms * need.weight_milli() * upstreams.len() as u64;
                let victim = VictimUnit {
                    upstreams,
                    need,
                    lost,
                    priority: rule.priority,
                };
                victims.push((victim, other, unit));
            }
        }
        victims
    }
}

/// Returns whether some rack could hold the whole unit if it were empty.
fn fits_a_rack(demand: &UnitDemand, open: &[OpenUpstream]) -> bool {
    let mut racks: Vec<&ObjectName> = open.iter().filter_map(|one| one.rack.as_ref()).collect();
    racks.sort_unstable();
    racks.dedup();
    racks.into_iter().any(|rack| {
        let own = open.iter().filter(|one| one.rack.as_ref() == Some(rack));
        let room: u64 = own
            .map(|one| one.capacity.count_of(&demand.need).min(demand.count as u64))
            .sum();
        room >= demand.count as u64
    })
}
