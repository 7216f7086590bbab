//! The schedulable upstreams of one pool, updated during a placement round.

use crate::tables::name::ObjectName;
use crate::work::model::amount::ResourceAmount;
use crate::work::placing::headroom::required_headroom;
use crate::work::placing::placement::{CandidateUpstream, UnitDemand};

/// Share of the capacity in use above which a pool counts as busy, in thousandths.
const BUSY_SHARE_MILLI: u64 = 450;

/// Schedulable upstreams of one pool, updated during a placement round.
pub(super) struct PlacementPool {
    pub(super) name: ObjectName,
    pub(super) candidates: Vec<CandidateUpstream>,
    /// Index in the owner's table of each candidate.
    pub(super) upstream_indexes: Vec<usize>,
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
        let used = self.capacity.minus(&self.free);
        used.dominant_share(&self.capacity) > BUSY_SHARE_MILLI
    }
}
