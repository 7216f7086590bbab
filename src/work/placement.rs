//! Where a unit's tasks go.
//!
//! Answers this pattern: gangs of large tasks beside swarms of small ones, on upstreams that
//! differ in room, rack and health. Small tasks fill upstreams that are in use already, so
//! that whole ones stay free for large gangs; a gang that slows down over racks goes into one
//! rack while any rack can hold it.

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;
use crate::work::slowdown::{SpeedPreference, UpstreamSlowdown};

/// An upstream that takes new work.
#[derive(Clone, Debug)]
pub struct CandidateUpstream {
    /// Its name.
    pub name: ObjectName,
    /// Its rack, if it names one.
    pub rack: Option<ObjectName>,
    /// All its labels.
    pub labels: Vec<ObjectName>,
    /// What it has in all.
    pub capacity: ResourceAmount,
    /// What is free.
    pub free: ResourceAmount,
    /// Failures lately; fewer is better.
    pub failure_score: f64,
    /// How fast it works.
    pub slowdown: UpstreamSlowdown,
    /// For whom its room is kept.
    pub reserved: Option<CapacityClaim>,
}

/// Room kept for a unit. Units with a better claim may take it all the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityClaim {
    /// The job.
    pub job: ObjectName,
    /// Unit of the job.
    pub unit: usize,
    /// How good its claim is; lower is better.
    pub rank: u32,
}

/// Returns how good a unit's claim to room is; lower is better. A team's guarantee holds
/// against all work beyond guarantees, also against that of urgent queues.
pub fn claim_rank(priority: u32, guaranteed: bool) -> u32 {
    2 * priority + u32::from(!guaranteed)
}

impl CandidateUpstream {
    fn admits(&self, claim: &CapacityClaim) -> bool {
        let Some(reserved) = &self.reserved else {
            return true;
        };
        reserved == claim || reserved.rank > claim.rank
    }
}

/// What a unit asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnitDemand {
    /// Number of tasks.
    pub count: usize,
    /// What each needs.
    pub need: ResourceAmount,
    /// Label that the upstream must have.
    pub label: Option<ObjectName>,
    /// Rack that it should be in; a rack with the data.
    pub data_rack: Option<ObjectName>,
    /// Whether another rack than the data's may be taken now.
    pub any_rack: bool,
    /// Whether the tasks should share a rack.
    pub same_rack: bool,
    /// Whether they may spread over racks now.
    pub may_span_racks: bool,
    /// Most tasks on one upstream; 0 for any number.
    pub spread_max: usize,
    /// Tasks of the same step on upstreams already, one entry a task.
    pub siblings: Vec<ObjectName>,
    /// Upstreams to avoid where another will do.
    pub avoided_upstreams: Vec<ObjectName>,
    /// What it asks of an upstream's pace.
    pub speed: SpeedPreference,
}

/// Chooses an upstream for each task of a unit; none if they do not all fit. The result holds
/// indexes into `candidates`.
pub fn place_unit(
    demand: &UnitDemand,
    claim: &CapacityClaim,
    candidates: &[CandidateUpstream],
) -> Option<Vec<usize>> {
    let search = PlacementSearch {
        demand,
        claim,
        candidates,
    };
    search.place()
}

/// Returns how many tasks of a unit may be on an upstream if all its room were free.
pub fn max_task_slots(
    demand: &UnitDemand,
    claim: &CapacityClaim,
    upstream: &CandidateUpstream,
) -> usize {
    let avoided = demand.avoided_upstreams.contains(&upstream.name);
    if !is_eligible(demand, claim, upstream) || avoided {
        return 0;
    }
    task_slots(demand, upstream, &upstream.capacity)
}

/// One search for places.
struct PlacementSearch<'a> {
    demand: &'a UnitDemand,
    claim: &'a CapacityClaim,
    candidates: &'a [CandidateUpstream],
}

impl PlacementSearch<'_> {
    fn place(&self) -> Option<Vec<usize>> {
        let demand = self.demand;
        if let Some(rack) = &demand.data_rack {
            let chosen = self.pack(|upstream| upstream.rack.as_ref() == Some(rack));
            if chosen.is_some() || !demand.any_rack {
                return chosen;
            }
        }
        if demand.same_rack && demand.count > 1 {
            let chosen = self.pack_one_rack();
            if chosen.is_some() || !demand.may_span_racks {
                return chosen;
            }
        }
        self.pack(|_| true)
    }

    /// The rack that is left with the least room, so that others stay whole.
    fn pack_one_rack(&self) -> Option<Vec<usize>> {
        let wanted = self.demand.count as u64;
        let slots = |upstream: &CandidateUpstream| match self.is_feasible(upstream) {
            true => (free_task_slots(self.demand, upstream) as u64).min(wanted),
            false => 0,
        };
        let mut fitting = slots_by_rack(self.candidates, slots);
        fitting.retain(|rack| rack.slots >= wanted);
        fitting.sort_by_key(|rack| rack.slots);
        fitting
            .into_iter()
            .find_map(|rack| self.pack(|upstream| upstream.rack.as_ref() == Some(rack.rack)))
    }

    fn pack(&self, allowed: impl Fn(&CandidateUpstream) -> bool) -> Option<Vec<usize>> {
        let (demand, candidates) = (self.demand, self.candidates);
        let suitable = (0..candidates.len())
            .filter(|&index| self.is_feasible(&candidates[index]))
            .filter(|&index| allowed(&candidates[index]));
        if demand.count == 1 {
            let best =
                suitable.min_by_key(|&index| (placement_score(demand, &candidates[index]), index));
            return best.map(|index| vec![index]);
        }
        let mut order: Vec<usize> = suitable.collect();
        order.sort_by_cached_key(|&index| (placement_score(demand, &candidates[index]), index));
        let mut chosen = Vec::with_capacity(demand.count);
        for index in order {
            let slots =
                free_task_slots(demand, &candidates[index]).min(demand.count - chosen.len());
            chosen.extend(std::iter::repeat_n(index, slots));
            if chosen.len() == demand.count {
                return Some(chosen);
            }
        }
        None
    }

    fn is_feasible(&self, upstream: &CandidateUpstream) -> bool {
        is_eligible(self.demand, self.claim, upstream) && free_task_slots(self.demand, upstream) > 0
    }
}

/// How good a place is; smaller is better.
type PlacementScore = (bool, u64, u64, u64);

/// Parts of a failure that blame is counted in when places are compared.
const FAILURE_SCORE_STEPS: f64 = 4.0;

/// Upstreams without failures first, then those of the right pace, then those with the least
/// room, so that whole ones stay free.
fn placement_score(demand: &UnitDemand, upstream: &CandidateUpstream) -> PlacementScore {
    let avoided = demand.avoided_upstreams.contains(&upstream.name);
    let failure_steps = (upstream.failure_score * FAILURE_SCORE_STEPS) as u64;
    let speed_penalty = upstream.slowdown.penalty(demand.speed);
    (
        avoided,
        failure_steps,
        speed_penalty,
        upstream.free.total_share(&upstream.capacity),
    )
}

/// Returns whether some rack could hold the whole unit if it were empty.
pub fn fits_in_one_rack(demand: &UnitDemand, candidates: &[CandidateUpstream]) -> bool {
    let wanted = demand.count as u64;
    let slots =
        |upstream: &CandidateUpstream| upstream.capacity.fit_count(&demand.need).min(wanted);
    slots_by_rack(candidates, slots)
        .into_iter()
        .any(|rack| rack.slots >= wanted)
}

/// A rack with the number of tasks that it holds.
struct RackSlots<'a> {
    slots: u64,
    rack: &'a ObjectName,
}

fn slots_by_rack(
    candidates: &[CandidateUpstream],
    slots: impl Fn(&CandidateUpstream) -> u64,
) -> Vec<RackSlots<'_>> {
    let mut racks: Vec<RackSlots<'_>> = Vec::new();
    for upstream in candidates {
        let Some(rack) = &upstream.rack else { continue };
        match racks.binary_search_by(|row| row.rack.cmp(rack)) {
            Ok(index) => racks[index].slots += slots(upstream),
            Err(index) => {
                let slots = slots(upstream);
                racks.insert(index, RackSlots { slots, rack });
            }
        }
    }
    racks
}

/// Returns whether a unit may be on an upstream, whatever its room.
fn is_eligible(demand: &UnitDemand, claim: &CapacityClaim, upstream: &CandidateUpstream) -> bool {
    let label = demand.label.as_ref();
    label.is_none_or(|label| upstream.labels.contains(label)) && upstream.admits(claim)
}

fn free_task_slots(demand: &UnitDemand, upstream: &CandidateUpstream) -> usize {
    task_slots(demand, upstream, &upstream.free)
}

/// Returns how many tasks of a unit fit into an amount of an upstream's room.
fn task_slots(demand: &UnitDemand, upstream: &CandidateUpstream, amount: &ResourceAmount) -> usize {
    let slots = amount.fit_count(&demand.need);
    let slots = usize::try_from(slots).unwrap_or(usize::MAX);
    if demand.spread_max == 0 {
        return slots;
    }
    let siblings_here = demand
        .siblings
        .iter()
        .filter(|name| **name == upstream.name);
    slots.min(demand.spread_max.saturating_sub(siblings_here.count()))
}
