//! The schedulable upstreams of one pool, updated during a placement round.

use crate::tables::name::ObjectName;
use crate::work::model::amount::ResourceAmount;
use crate::work::placing::headroom::required_headroom;
use crate::work::placing::placement::{CandidateUpstream, CapacityClaim, UnitDemand, place_unit};

/// Share of the capacity in use above which a pool counts as busy, in thousandths.
const BUSY_SHARE_MILLI: u64 = 450;

/// Schedulable upstreams of one pool, updated during a placement round.
pub(super) struct PlacementPool {
    pub(super) name: ObjectName,
    pub(super) candidates: Vec<CandidateUpstream>,
    /// Index in the owner's table of each candidate.
    pub(super) upstream_indexes: Vec<usize>,
    /// Upstreams that are used only if the candidates do not suffice, with their indexes.
    pub(super) excluded: Vec<(usize, CandidateUpstream)>,
    /// Total capacity of the candidates.
    pub(super) capacity: ResourceAmount,
    /// Free capacity of the candidates.
    pub(super) free: ResourceAmount,
    /// Capacity that urgent work holds in the pool.
    pub(super) urgent: ResourceAmount,
}

impl PlacementPool {
    pub(super) fn add(&mut self, upstream_index: usize, candidate: CandidateUpstream) {
        self.capacity = self.capacity.plus(&candidate.capacity);
        self.free = self.free.plus(&candidate.free);
        self.upstream_indexes.push(upstream_index);
        self.candidates.push(candidate);
    }

    /// Returns whether a unit that may be placed anywhere needs the excluded upstreams: no other has
    /// room, and most of the pool is free or all of it is excluded. In a pool that is in use, waiting
    /// for sound upstreams is better than losing runs on broken ones.
    pub(super) fn needs_excluded(
        &self,
        priority: u32,
        demand: &UnitDemand,
        claim: &CapacityClaim,
    ) -> bool {
        let waits_for_place = !demand.any_rack || (demand.same_rack && !demand.may_span_racks);
        if self.excluded.is_empty() || waits_for_place {
            return false;
        }
        let excluded = self.excluded.iter().map(|(_, upstream)| upstream);
        let (capacity, free) = excluded
            .fold((self.capacity, self.free), |(capacity, free), one| {
                (capacity.plus(&one.capacity), free.plus(&one.free))
            });
        (!is_in_use(&capacity, &free) || self.candidates.is_empty())
            && (!self.leaves_headroom(priority, demand)
                || place_unit(demand, claim, &self.candidates).is_none())
    }

    /// Returns the pool with its excluded upstreams among the candidates.
    pub(super) fn with_excluded(&self) -> Self {
        let own = self.upstream_indexes.iter().copied();
        let mut rows: Vec<_> = own.zip(self.candidates.iter().cloned()).collect();
        rows.extend_from_slice(&self.excluded);
        rows.sort_by_key(|(index, _)| *index);
        let mut pool = Self {
            name: self.name.clone(),
            candidates: Vec::with_capacity(rows.len()),
            upstream_indexes: Vec::with_capacity(rows.len()),
            excluded: Vec::new(),
            capacity: ResourceAmount::default(),
            free: ResourceAmount::default(),
            urgent: self.urgent,
        };
        for (index, candidate) in rows {
            pool.add(index, candidate);
        }
        pool
    }

    pub(super) fn set_free(&mut self, index: usize, free: ResourceAmount) {
        let candidate = &mut self.candidates[index];
        self.free = self.free.minus(&candidate.free).plus(&free);
        candidate.free = free;
    }

    /// Returns whether the headroom for urgent work remains after placing a unit of this priority.
    pub(super) fn leaves_headroom(&self, priority: u32, demand: &UnitDemand) -> bool {
        let taken = demand.need.times(demand.count as u64);
        let headroom = required_headroom(priority, &self.urgent, &self.capacity);
        self.free.minus(&taken).holds(&headroom)
    }

    /// Returns the number of distinct racks among the chosen candidates, those without a rack
    /// counted as one.
    pub(super) fn rack_count(&self, chosen: &[usize]) -> usize {
        let mut racks: Vec<_> = chosen
            .iter()
            .map(|&index| &self.candidates[index].rack)
            .collect();
        racks.sort_unstable();
        racks.dedup();
        racks.len()
    }

    /// Returns whether more than `BUSY_SHARE_MILLI` of some resource is in use.
    pub(super) fn is_busy(&self) -> bool {
        is_in_use(&self.capacity, &self.free)
    }
}

fn is_in_use(capacity: &ResourceAmount, free: &ResourceAmount) -> bool {
    capacity.minus(free).dominant_share(capacity) > BUSY_SHARE_MILLI
}
