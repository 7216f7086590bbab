//! Choice of the running units to preempt for a stronger claim.
//!
//! Urgent gangs, or gangs inside a guarantee, arrive while the pool is full of small work that may
//! wait. Slots are freed one by one, on the upstreams where the least work is lost, and within one
//! rack if the gang requires it. Only whole units are preempted.

use std::cell::Cell;
use std::cmp::Reverse;

use crate::work::model::amount::ResourceAmount;
use crate::work::placing::placement::{
    CandidateUpstream, CapacityClaim, UnitDemand, claim_rank, max_task_slots,
};

/// A running unit that may be preempted.
#[derive(Clone, Debug)]
pub struct VictimUnit {
    /// Upstreams of its tasks, as indexes into the candidates, one entry a task.
    pub upstreams: Vec<usize>,
    /// Capacity that each of its tasks holds.
    pub need: ResourceAmount,
    /// What its callers lose, in millicore-milliseconds; see `RunningUnit::displacement_cost`.
    pub lost_work: u64,
    /// Rank of its claim; lower is stronger.
    pub rank: u32,
}

/// Capacity for one task, gained by preempting units.
struct PreemptedSlot {
    /// Victims in addition to those of the slots freed earlier on the same upstream.
    victims: Vec<usize>,
}

impl PreemptedSlot {
    /// Returns the work lost in addition to that of the victims chosen already.
    fn cost(&self, victims: &[&VictimUnit], choice: &SlotChoice) -> u64 {
        let added = self.victims.iter().filter(|victim| !choice.holds(**victim));
        added.map(|&victim| victims[victim].lost_work).sum()
    }
}

/// The first slots of an upstream that are not taken yet. The cheapest are taken first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotPrefix {
    /// Work lost for each of its slots.
    cost_per_slot: u64,
    slots: Reverse<usize>,
}

/// Slots for all tasks of a unit.
#[derive(Default)]
struct SlotChoice {
    cost: u64,
    /// Sorted.
    victims: Vec<usize>,
}

impl SlotChoice {
    fn holds(&self, victim: usize) -> bool {
        self.victims.binary_search(&victim).is_ok()
    }

    fn add(&mut self, slot: &PreemptedSlot, victims: &[&VictimUnit]) {
        self.cost += slot.cost(victims, self);
        self.victims.extend(&slot.victims);
        self.victims.sort_unstable();
        self.victims.dedup();
    }
}

/// Chooses the victims that make the unit fit, as indexes into `victims`. Returns `None` if no
/// choice does.
pub fn choose_victims(
    demand: &UnitDemand,
    claim: &CapacityClaim,
    candidates: &[CandidateUpstream],
    victims: &[&VictimUnit],
) -> Option<Vec<usize>> {
    VictimSearch::new(demand, claim, candidates, victims).choose()
}

/// Search of the victims that make a unit fit.
pub struct VictimSearch<'a> {
    demand: &'a UnitDemand,
    claim: &'a CapacityClaim,
    candidates: &'a [CandidateUpstream],
    victims: &'a [&'a VictimUnit],
    steps: Cell<usize>,
}

impl<'a> VictimSearch<'a> {
    /// Creates the search for a unit among the given victims.
    pub fn new(
        demand: &'a UnitDemand,
        claim: &'a CapacityClaim,
        candidates: &'a [CandidateUpstream],
        victims: &'a [&'a VictimUnit],
    ) -> Self {
        Self {
            demand,
            claim,
            candidates,
            victims,
            steps: Cell::new(0),
        }
    }

    /// Returns how many candidates, victims and slots the search has looked at.
    pub fn steps(&self) -> usize {
        self.steps.get()
    }

    /// Returns the victims as indexes; `None` if no choice makes the unit fit.
    pub fn choose(&self) -> Option<Vec<usize>> {
        let candidates = self.candidates;
        let by_upstream = victims_by_upstream(candidates.len(), self.victims);
        let slots: Vec<Vec<PreemptedSlot>> = (0..candidates.len())
            .map(|index| self.preempt_slots(index, &by_upstream[index]))
            .collect();
        let groups = allowed_groups(self.demand, candidates);
        let choices = groups
            .iter()
            .filter_map(|group| self.cheapest_slots(group, &slots));
        let cheapest = choices.min_by_key(|choice| choice.cost)?;
        Some(cheapest.victims)
    }

    fn count(&self, steps: usize) {
        self.steps.set(self.steps.get() + steps);
    }

    /// Takes a slot for each task on the upstreams of a group, given those of all upstreams in the order
    /// in which they are freed. A slot may cost nothing once an earlier one on its upstream has been
    /// freed, so the slots up to it are taken together; and one costs nothing where a victim chosen for
    /// another upstream also runs, so that the room of a displaced gang is used. Returns `None` if there
    /// are not enough.
    fn cheapest_slots(&self, group: &[usize], slots: &[Vec<PreemptedSlot>]) -> Option<SlotChoice> {
        let mut choice = SlotChoice::default();
        let mut missing = self.demand.count;
        let mut rest: Vec<&[PreemptedSlot]> =
            group.iter().map(|&index| slots[index].as_slice()).collect();
        let mut ranking = PrefixRanking::default();
        for (at, slots) in rest.iter().enumerate() {
            ranking.set(at, self.cheapest_prefix(slots, &choice, missing));
        }
        ranking.sort();
        while missing > 0 {
            let (prefix, at) = ranking.first()?;
            let Reverse(count) = prefix.slots;
            if count > missing {
                // It was ranked when more were missing; it ranks no better now.
                ranking.renew(at, self.cheapest_prefix(rest[at], &choice, missing));
                continue;
            }
            let (taken, left) = rest[at].split_at(count);
            rest[at] = left;
            missing -= count;
            let mut changed = vec![at];
            for slot in taken {
                let added = slot.victims.iter().filter(|one| !choice.holds(**one));
                let upstreams = added.flat_map(|&one| &self.victims[one].upstreams);
                changed.extend(upstreams.filter_map(|index| group.binary_search(index).ok()));
                choice.add(slot, self.victims);
            }
            changed.sort_unstable();
            changed.dedup();
            for at in changed {
                ranking.renew(at, self.cheapest_prefix(rest[at], &choice, missing));
            }
        }
        Some(choice)
    }

    /// Returns the prefix of up to `missing` slots that loses the least work for each slot, the longest
    /// of equals; `None` if no slot is left.
    fn cheapest_prefix(
        &self,
        slots: &[PreemptedSlot],
        choice: &SlotChoice,
        missing: usize,
    ) -> Option<SlotPrefix> {
        self.count(1 + slots.len().min(missing));
        let mut cost = 0;
        let prefixes = slots.iter().take(missing).enumerate().map(|(index, slot)| {
            cost += slot.cost(self.victims, choice);
            SlotPrefix {
                cost_per_slot: cost / (index as u64 + 1),
                slots: Reverse(index + 1),
            }
        });
        prefixes.min()
    }

    /// Frees slots for tasks on one upstream, one after the other.
    fn preempt_slots(&self, index: usize, on_upstream: &[VictimTasks]) -> Vec<PreemptedSlot> {
        let demand = self.demand;
        let upstream = &self.candidates[index];
        let slots_max = max_task_slots(demand, self.claim, upstream).min(demand.count);
        let mut free = upstream.free;
        let mut next = on_upstream.iter();
        let mut slots = Vec::new();
        self.count(1);
        while slots.len() < slots_max {
            let mut slot = PreemptedSlot {
                victims: Vec::new(),
            };
            while !free.holds(&demand.need) {
                let Some(here) = next.next() else {
                    return slots;
                };
                self.count(1);
                let need = self.victims[here.victim].need;
                free = free.plus(&need.times(here.tasks));
                slot.victims.push(here.victim);
            }
            free = free.minus(&demand.need);
            slots.push(slot);
        }
        slots
    }
}

/// The cheapest prefixes of the upstreams of a group, by position in the group.
#[derive(Default)]
struct PrefixRanking {
    /// `None` where no slot is left.
    prefixes: Vec<Option<SlotPrefix>>,
    /// Sorted, the cheapest last.
    order: Vec<(SlotPrefix, usize)>,
}

impl PrefixRanking {
    /// Sets the prefix of the next upstream.
    fn set(&mut self, at: usize, prefix: Option<SlotPrefix>) {
        self.prefixes.push(prefix);
        self.order.extend(prefix.map(|prefix| (prefix, at)));
    }

    fn sort(&mut self) {
        self.order.sort_unstable_by(|left, right| right.cmp(left));
    }

    fn first(&self) -> Option<(SlotPrefix, usize)> {
        self.order.last().copied()
    }

    fn renew(&mut self, at: usize, prefix: Option<SlotPrefix>) {
        let position = |order: &[(SlotPrefix, usize)], row| {
            order.partition_point(|other: &(SlotPrefix, usize)| *other > row)
        };
        if let Some(before) = std::mem::replace(&mut self.prefixes[at], prefix) {
            let index = position(&self.order, (before, at));
            self.order.remove(index);
        }
        if let Some(prefix) = prefix {
            let index = position(&self.order, (prefix, at));
            self.order.insert(index, (prefix, at));
        }
    }
}

/// Tasks of a victim on an upstream.
struct VictimTasks {
    victim: usize,
    tasks: u64,
}

/// Returns the victims on each upstream, those that lose the least first. Urgent claims, which would
/// displace others in turn, come last.
fn victims_by_upstream(upstreams: usize, victims: &[&VictimUnit]) -> Vec<Vec<VictimTasks>> {
    let urgent_rank = claim_rank(0, false);
    let mut sorted: Vec<Vec<VictimTasks>> = Vec::new();
    sorted.resize_with(upstreams, Vec::new);
    let mut order: Vec<usize> = (0..victims.len()).collect();
    order.sort_by_key(|&index| {
        let victim = victims[index];
        (victim.rank <= urgent_rank, victim.lost_work)
    });
    for victim in order {
        for &upstream in &victims[victim].upstreams {
            let here = &mut sorted[upstream];
            match here.last_mut().filter(|row| row.victim == victim) {
                Some(row) => row.tasks += 1,
                None => here.push(VictimTasks { victim, tasks: 1 }),
            }
        }
    }
    sorted
}

/// Returns the groups of upstreams to each of which the whole unit may be confined, as indexes.
fn allowed_groups(demand: &UnitDemand, candidates: &[CandidateUpstream]) -> Vec<Vec<usize>> {
    let all = 0..candidates.len();
    let rack = |index: usize| candidates[index].rack.as_ref();
    if let Some(data_rack) = &demand.data_rack
        && !demand.any_rack
    {
        return vec![
            all.filter(|&index| rack(index) == Some(data_rack))
                .collect(),
        ];
    }
    if demand.same_rack && demand.count > 1 && !demand.may_span_racks {
        let mut racked: Vec<usize> = all.filter(|&index| rack(index).is_some()).collect();
        racked.sort_by_key(|&index| rack(index));
        let groups = racked.chunk_by(|&left, &right| rack(left) == rack(right));
        return groups.map(<[usize]>::to_vec).collect();
    }
    vec![all.collect()]
}
