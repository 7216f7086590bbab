//! Choice of upstreams for a unit's tasks.
//!
//! Gangs of large tasks compete with many small tasks, on upstreams that differ in free capacity,
//! rack and health. Small tasks are packed onto upstreams that are already in use, so that empty
//! ones remain for large gangs. A gang that slows down when spread over racks goes into one rack,
//! as long as some rack can hold it.

use crate::tables::name::ObjectName;
use crate::work::model::amount::ResourceAmount;
use crate::work::placing::sibling_counts::SiblingCounts;
use crate::work::placing::slowdown::{SpeedPreference, UpstreamSlowdown};

/// An upstream that may take new work.
#[derive(Clone, Debug)]
pub struct CandidateUpstream {
    /// Name of the upstream.
    pub name: ObjectName,
    /// Rack of the upstream, if it reports one.
    pub rack: Option<ObjectName>,
    /// Labels of the upstream.
    pub labels: Vec<ObjectName>,
    /// Total capacity.
    pub capacity: ResourceAmount,
    /// Free capacity.
    pub free: ResourceAmount,
    /// Recent failures; lower is better.
    pub failure_score: f64,
    /// Estimated slowdown against other upstreams.
    pub slowdown: UpstreamSlowdown,
    /// Claim for which the capacity is reserved.
    pub reserved: Option<CapacityClaim>,
}

/// A unit's claim to capacity. Capacity reserved for a claim stays open to stronger claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityClaim {
    /// Job of the unit.
    pub job: ObjectName,
    /// Index of the unit in the job.
    pub unit: usize,
    /// Rank of the claim; lower is stronger.
    pub rank: u32,
}

/// Returns the rank of a unit's claim to capacity; lower is stronger. Guarantees cover priority 0
/// only, so guaranteed work outranks all other work, including that of urgent queues.
pub fn claim_rank(priority: u32, guaranteed: bool) -> u32 {
    2 * priority + u32::from(!guaranteed)
}

impl CandidateUpstream {
    fn is_idle(&self) -> bool {
        self.free == self.capacity
    }

    fn admits(&self, claim: &CapacityClaim) -> bool {
        let Some(reserved) = &self.reserved else {
            return true;
        };
        reserved == claim || reserved.rank > claim.rank
    }
}

/// How far a unit is kept away from other work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Isolation {
    /// It may run beside other work.
    #[default]
    None,
    /// Idle upstreams are preferred.
    Preferred,
    /// Only idle upstreams may be used.
    Required,
}

/// Requirements of a unit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnitDemand {
    /// Number of tasks.
    pub count: usize,
    /// Capacity that each task needs.
    pub need: ResourceAmount,
    /// Label that the upstream must have.
    pub label: Option<ObjectName>,
    /// Rack with the unit's data, preferred over others.
    pub data_rack: Option<ObjectName>,
    /// Whether racks without the data are allowed now.
    pub any_rack: bool,
    /// Whether the tasks should share a rack.
    pub same_rack: bool,
    /// Whether the tasks may span racks now.
    pub may_span_racks: bool,
    /// Most tasks of the step on one upstream (anti-affinity); 0 for no limit.
    pub spread_max: usize,
    /// Placed tasks of the step, if their number on an upstream is limited.
    pub siblings: SiblingCounts,
    /// Upstreams to use only if no other fits.
    pub avoided_upstreams: Vec<ObjectName>,
    /// Preferred speed of the upstreams.
    pub speed: SpeedPreference,
    /// How far the unit is kept away from other work.
    pub isolation: Isolation,
}

impl UnitDemand {
    /// Returns whether another demand fits wherever this one does. That does not depend on the
    /// preferred speed.
    pub fn needs_same_room(&self, other: &Self) -> bool {
        self.count == other.count
            && self.need == other.need
            && self.label == other.label
            && self.data_rack == other.data_rack
            && self.any_rack == other.any_rack
            && self.same_rack == other.same_rack
            && self.may_span_racks == other.may_span_racks
            && self.spread_max == other.spread_max
            && self.isolation == other.isolation
            && self.avoided_upstreams == other.avoided_upstreams
            && self.siblings == other.siblings
    }
}

/// Chooses an upstream for each task of a unit, as indexes into `candidates`. Returns `None` if the
/// tasks do not all fit.
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

/// Returns how many tasks of a unit an upstream could hold if all its capacity were free.
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

/// Inputs of one placement.
struct PlacementSearch<'a> {
    demand: &'a UnitDemand,
    claim: &'a CapacityClaim,
    candidates: &'a [CandidateUpstream],
}

impl PlacementSearch<'_> {
    fn place(&self) -> Option<Vec<usize>> {
        let demand = self.demand;
        if demand.count == 1 {
            return self.place_task().map(|index| vec![index]);
        }
        if let Some(rack) = &demand.data_rack {
            let chosen = self.pack(|upstream| upstream.rack.as_ref() == Some(rack));
            if chosen.is_some() || !demand.any_rack {
                return chosen;
            }
        }
        if demand.same_rack {
            let chosen = self.pack_one_rack();
            if chosen.is_some() || !demand.may_span_racks {
                return chosen;
            }
        }
        self.pack(|_| true)
    }

    fn place_task(&self) -> Option<usize> {
        let ranked = self
            .candidates
            .iter()
            .enumerate()
            .filter_map(|(index, one)| {
                let rank = TaskRank::new(self.demand, self.claim, one)?;
                Some((rank, index))
            });
        ranked.min().map(|(_, index)| index)
    }

    /// Packs the unit into the fitting rack whose upstreams suit it best in speed, of those into the
    /// one with the least free capacity, so that emptier racks remain for other gangs.
    fn pack_one_rack(&self) -> Option<Vec<usize>> {
        let wanted = self.demand.count;
        let order = self.order(|upstream| upstream.rack.is_some());
        let rack = |index: usize| &self.candidates[index].rack;
        let mut by_rack = order;
        by_rack.sort_by_key(|&index| rack(index));
        let racks = by_rack.chunk_by(|&left, &right| rack(left) == rack(right));
        let packed = racks.filter_map(|order| {
            let chosen = self.take_slots(order)?;
            let slots = order
                .iter()
                .map(|&index| self.free_slots(index).min(wanted));
            Some((self.speed_penalty(&chosen), slots.sum::<usize>(), chosen))
        });
        let best = packed.min_by_key(|(penalty, slots, _)| (*penalty, *slots));
        best.map(|(_, _, chosen)| chosen)
    }

    /// Returns the sum of the members' penalties for the speed of their upstreams.
    fn speed_penalty(&self, chosen: &[usize]) -> u64 {
        let penalty = |&index: &usize| {
            let slowdown = self.candidates[index].slowdown;
            slowdown.penalty(self.demand.speed)
        };
        chosen.iter().map(penalty).sum()
    }

    fn pack(&self, allowed: impl Fn(&CandidateUpstream) -> bool) -> Option<Vec<usize>> {
        self.take_slots(&self.order(allowed))
    }

    /// Returns the feasible candidates among the allowed ones, the first choice first.
    fn order(&self, allowed: impl Fn(&CandidateUpstream) -> bool) -> Vec<usize> {
        let (demand, candidates) = (self.demand, self.candidates);
        let mut order: Vec<usize> = (0..candidates.len())
            .filter(|&index| allowed(&candidates[index]))
            .filter(|&index| is_feasible(demand, self.claim, &candidates[index]))
            .collect();
        order.sort_by_cached_key(|&index| (placement_score(demand, &candidates[index]), index));
        order
    }

    /// Takes slots for all tasks in this order; `None` if there are too few.
    fn take_slots(&self, order: &[usize]) -> Option<Vec<usize>> {
        let wanted = self.demand.count;
        let mut chosen = Vec::with_capacity(wanted);
        for &index in order {
            let slots = self.free_slots(index).min(wanted - chosen.len());
            chosen.extend(std::iter::repeat_n(index, slots));
            if chosen.len() == wanted {
                return Some(chosen);
            }
        }
        None
    }

    fn free_slots(&self, index: usize) -> usize {
        free_task_slots(self.demand, &self.candidates[index])
    }
}

/// Rank of an upstream for a single task; the smallest is chosen first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskRank {
    outside_data_rack: bool,
    score: PlacementScore,
}

impl TaskRank {
    /// Returns the rank of an upstream for a task of a demand; `None` if the task cannot go there.
    pub fn new(
        demand: &UnitDemand,
        claim: &CapacityClaim,
        upstream: &CandidateUpstream,
    ) -> Option<Self> {
        let data_rack = demand.data_rack.as_ref();
        let outside_data_rack = data_rack.is_some_and(|rack| upstream.rack.as_ref() != Some(rack));
        if outside_data_rack && !demand.any_rack || !is_feasible(demand, claim, upstream) {
            return None;
        }
        Some(Self {
            outside_data_rack,
            score: placement_score(demand, upstream),
        })
    }
}

/// Sort key of a candidate; the smallest is chosen first.
type PlacementScore = (bool, u64, u64, u64);

/// Quantization steps per unit of failure score; scores within the same step compare as equal.
const FAILURE_SCORE_STEPS: f64 = 4.0;

/// Returns the sort key: avoided upstreams and, for work to be isolated, busy ones last, then fewer failures, then the preferred speed,
/// then the least free capacity, so that empty upstreams stay available.
fn placement_score(demand: &UnitDemand, upstream: &CandidateUpstream) -> PlacementScore {
    let avoided = demand.avoided_upstreams.contains(&upstream.name);
    let shared = demand.isolation != Isolation::None && !upstream.is_idle();
    let failure_steps = (upstream.failure_score * FAILURE_SCORE_STEPS) as u64;
    let speed_penalty = upstream.slowdown.penalty(demand.speed);
    (
        avoided || shared,
        failure_steps,
        speed_penalty,
        upstream.free.total_share(&upstream.capacity),
    )
}

/// Returns whether some rack could hold the whole unit if the rack were empty.
pub fn fits_in_one_rack(demand: &UnitDemand, candidates: &[CandidateUpstream]) -> bool {
    let wanted = demand.count as u64;
    let slots =
        |upstream: &CandidateUpstream| upstream.capacity.fit_count(&demand.need).min(wanted);
    slots_by_rack(candidates, slots)
        .into_iter()
        .any(|rack| rack.slots >= wanted)
}

/// Number of tasks that fit into a rack.
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

/// Returns whether label and reservation allow a unit on an upstream, regardless of free capacity.
fn is_eligible(demand: &UnitDemand, claim: &CapacityClaim, upstream: &CandidateUpstream) -> bool {
    let label = demand.label.as_ref();
    label.is_none_or(|label| upstream.labels.contains(label)) && upstream.admits(claim)
}

fn is_feasible(demand: &UnitDemand, claim: &CapacityClaim, upstream: &CandidateUpstream) -> bool {
    is_eligible(demand, claim, upstream) && free_task_slots(demand, upstream) > 0
}

fn free_task_slots(demand: &UnitDemand, upstream: &CandidateUpstream) -> usize {
    if demand.isolation == Isolation::Required && !upstream.is_idle() {
        return 0;
    }
    task_slots(demand, upstream, &upstream.free)
}

/// Returns how many tasks of a unit fit into `amount` within the limit per upstream.
fn task_slots(demand: &UnitDemand, upstream: &CandidateUpstream, amount: &ResourceAmount) -> usize {
    let slots = amount.fit_count(&demand.need);
    let slots = usize::try_from(slots).unwrap_or(usize::MAX);
    if demand.spread_max == 0 {
        return slots;
    }
    let siblings_here = demand.siblings.on(&upstream.name);
    slots.min(demand.spread_max.saturating_sub(siblings_here))
}
