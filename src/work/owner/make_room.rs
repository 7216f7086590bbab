//! Room for units that do not fit: kept for them, or made by displacing less urgent work.

use crate::tables::name::ObjectName;
use crate::work::displace::{VictimUnit, choose_victims};
use crate::work::order::WaitingUnit;
use crate::work::owner::PoolOwner;
use crate::work::owner::job_state::UnitPhase;
use crate::work::owner::open_pool::OpenPool;
use crate::work::place::{OpenUpstream, RoomClaim, UnitDemand, place_unit};

/// How long room is kept for a unit before it is looked at again, in ms, beyond the time that
/// a stop takes.
const RESERVE_MS: u64 = 400;
/// Waiting units, beside urgent ones, for which room is kept.
const RESERVED_UNITS_MAX: usize = 4;
/// Time until it must start below which a unit's room is made rather than waited for, in ms.
const MAKE_ROOM_SLACK_MS: i64 = 4_000;
/// Work that a unit with checkpoints loses when it is stopped, in ms.
const CHECKPOINT_LOSS_MS: u64 = 1_000;
/// Thousandths of a core times ms in a core-second.
const LOST_CORE_SECOND: u64 = 1_000_000;

/// A unit that does not fit now.
pub(super) struct BlockedUnit<'a> {
    pub(super) waiting: &'a WaitingUnit,
    pub(super) demand: &'a UnitDemand,
    pub(super) claim: RoomClaim,
}

/// A unit that may be displaced, and where it stands.
struct RunningVictim {
    victim: VictimUnit,
    job: usize,
    unit: usize,
}

impl PoolOwner {
    /// Keeps room for a unit that does not fit now, and makes it where there is no time left.
    pub(super) fn claim_room(
        &mut self,
        blocked: &BlockedUnit,
        pool: &mut OpenPool,
        reserved: &mut usize,
    ) {
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
            let lower = self.room_without_lower(blocked.claim.rank, pool);
            if let Some(chosen) = place_unit(blocked.demand, &blocked.claim, &lower) {
                self.reserve(blocked, pool, &chosen);
            }
        }
    }

    /// Displaces work of weaker claims.
    fn make_room(&mut self, blocked: &BlockedUnit, pool: &mut OpenPool, leaving: &[OpenUpstream]) {
        let running = self.running_victims(blocked.claim.rank, pool);
        let victims: Vec<&VictimUnit> = running.iter().map(|one| &one.victim).collect();
        let chosen = choose_victims(blocked.demand, &blocked.claim, leaving, &victims);
        for index in chosen.unwrap_or_default() {
            let (other, other_unit) = (running[index].job, running[index].unit);
            log::info!(
                job = self.jobs[other].id.as_str(), unit = other_unit,
                for_job = blocked.claim.job.as_str(), for_unit = blocked.claim.unit,
                lost = running[index].victim.lost / LOST_CORE_SECOND;
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

    /// Returns the open upstreams as they would be without work of weaker claims.
    fn room_without_lower(&self, rank: u32, pool: &OpenPool) -> Vec<OpenUpstream> {
        let ranks = self.running_ranks();
        self.room_without(pool, |job, unit| {
            let lasting = self.jobs[job].step(unit).lasting;
            !lasting && ranks[job] > rank
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
        let until_ms = self.now.steady_ms + self.timing.stop_ms + RESERVE_MS;
        for &index in chosen {
            let upstream = &mut self.upstreams[pool.rows[index]];
            upstream.reserved = Some(blocked.claim.clone());
            upstream.reserved_ms = until_ms;
            pool.open[index].reserved = Some(blocked.claim.clone());
        }
    }

    /// Returns running units with weaker claims in the same pool.
    fn running_victims(&self, rank: u32, pool: &OpenPool) -> Vec<RunningVictim> {
        let ranks = self.running_ranks();
        let mut victims = Vec::new();
        for (other, state) in self.jobs.iter().enumerate() {
            if ranks[other] <= rank {
                continue;
            }
            for unit in 0..state.units.len() {
                let may_go = state.units[unit].phase == UnitPhase::Active;
                if may_go && !state.step(unit).lasting {
                    victims.extend(self.running_victim(other, unit, ranks[other], pool));
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
        pool: &OpenPool,
    ) -> Option<RunningVictim> {
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
                rank,
            },
            job,
            unit,
        })
    }
}
