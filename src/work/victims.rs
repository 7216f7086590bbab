//! Choice of the running units to preempt for a stronger claim.
//!
//! Urgent gangs, or gangs inside a guarantee, arrive while the pool is full of small work that may
//! wait. Slots are freed one by one, on the upstreams where the least work is lost, and within one
//! rack if the gang requires it. Only whole units are preempted.

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;
use crate::work::placement::{CandidateUpstream, CapacityClaim, UnitDemand, max_task_slots};

/// A running unit that may be preempted.
#[derive(Clone, Debug)]
pub struct VictimUnit {
    /// Upstreams of its tasks, as indexes into the candidates, one entry a task.
    pub upstreams: Vec<usize>,
    /// Capacity that each of its tasks holds.
    pub need: ResourceAmount,
    /// Work that would have to be repeated, in millicore-milliseconds.
    pub lost_work: u64,
    /// Rank of its claim; lower is stronger.
    pub rank: u32,
}

/// Capacity for one task, gained by preempting units.
struct PreemptedSlot {
    upstream: usize,
    /// Work lost in addition to that of the slots freed earlier on the same upstream.
    cost: u64,
    victims: Vec<usize>,
}

/// Chooses the victims that make the unit fit, as indexes into `victims`. Returns `None` if no
/// choice does.
pub fn choose_victims(
    demand: &UnitDemand,
    claim: &CapacityClaim,
    candidates: &[CandidateUpstream],
    victims: &[&VictimUnit],
) -> Option<Vec<usize>> {
    let by_upstream = victims_by_upstream(candidates.len(), victims);
    let mut slots: Vec<PreemptedSlot> = Vec::new();
    for (index, upstream) in candidates.iter().enumerate() {
        let slots_max = max_task_slots(demand, claim, upstream);
        slots.extend(preempt_slots(
            demand,
            candidates,
            victims,
            index,
            &by_upstream[index],
            slots_max,
        ));
    }
    // The sort is stable: slots of one upstream keep the order in which they are freed.
    slots.sort_by_key(|slot| slot.cost);
    let racks = allowed_racks(demand, candidates);
    let choices = racks.iter().filter_map(|rack| {
        let inside =
            |slot: &&PreemptedSlot| rack.is_none() || candidates[slot.upstream].rack == *rack;
        let chosen: Vec<&PreemptedSlot> = slots.iter().filter(inside).take(demand.count).collect();
        let cost: u64 = chosen.iter().map(|slot| slot.cost).sum();
        (chosen.len() == demand.count).then_some((cost, chosen))
    });
    let (_, chosen) = choices.min_by_key(|(cost, _)| *cost)?;
    let mut all: Vec<usize> = chosen
        .iter()
        .flat_map(|slot| slot.victims.iter().copied())
        .collect();
    all.sort_unstable();
    all.dedup();
    Some(all)
}

/// Returns the victims on each upstream: weakest claims first, then those that lose the least work.
fn victims_by_upstream(upstreams: usize, victims: &[&VictimUnit]) -> Vec<Vec<usize>> {
    let mut sorted = vec![Vec::new(); upstreams];
    let mut order: Vec<usize> = (0..victims.len()).collect();
    order.sort_by_key(|&index| {
        let victim = victims[index];
        (std::cmp::Reverse(victim.rank), victim.lost_work)
    });
    for index in order {
        for &upstream in &victims[index].upstreams {
            if sorted[upstream].last() != Some(&index) {
                sorted[upstream].push(index);
            }
        }
    }
    sorted
}

/// Frees up to `slots_max` slots on one upstream, one after the other.
fn preempt_slots(
    demand: &UnitDemand,
    candidates: &[CandidateUpstream],
    victims: &[&VictimUnit],
    index: usize,
    on_upstream: &[usize],
    slots_max: usize,
) -> Vec<PreemptedSlot> {
    let mut free = candidates[index].free;
    let mut next = on_upstream.iter();
    let mut slots = Vec::new();
    while slots.len() < slots_max.min(demand.count) {
        let mut slot = PreemptedSlot {
            upstream: index,
            cost: 0,
            victims: Vec::new(),
        };
        while !free.holds(&demand.need) {
            let Some(&victim) = next.next() else {
                return slots;
            };
            let unit = victims[victim];
            let tasks = unit.upstreams.iter().filter(|&&at| at == index).count();
            for _ in 0..tasks {
                free = free.plus(&unit.need);
            }
            slot.cost += unit.lost_work;
            slot.victims.push(victim);
        }
        free = free.minus(&demand.need);
        slots.push(slot);
    }
    slots
}

/// Returns the racks to which the whole unit may be confined; `None` stands for any upstream.
fn allowed_racks(demand: &UnitDemand, candidates: &[CandidateUpstream]) -> Vec<Option<ObjectName>> {
    if let Some(rack) = &demand.data_rack
        && !demand.any_rack
    {
        return vec![Some(rack.clone())];
    }
    if demand.same_rack && demand.count > 1 && !demand.may_span_racks {
        let mut racks: Vec<Option<ObjectName>> = candidates
            .iter()
            .map(|upstream| upstream.rack.clone())
            .collect();
        racks.sort_unstable();
        racks.dedup();
        racks.retain(Option::is_some);
        return racks;
    }
    vec![None]
}
