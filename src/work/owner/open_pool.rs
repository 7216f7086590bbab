//! The upstreams of a pool that take work, kept up to date through a round of placement.

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;
use crate::work::headroom::kept_room;
use crate::work::place::{OpenUpstream, UnitDemand};

/// Share of the room in use above which a pool counts as busy, in thousandths.
const BUSY_SHARE: u64 = 450;

/// Upstreams of one pool that take work, kept up to date through a round.
pub(super) struct OpenPool {
    pub(super) name: ObjectName,
    pub(super) open: Vec<OpenUpstream>,
    /// Index in the owner's table for each open upstream.
    pub(super) rows: Vec<usize>,
    /// Sum of what the upstreams have.
    pub(super) capacity: ResourceAmount,
    /// Sum of what is free on them.
    pub(super) free: ResourceAmount,
    /// What urgent work holds in the pool.
    pub(super) urgent: ResourceAmount,
}

impl OpenPool {
    pub(super) fn add(&mut self, row: usize, open: OpenUpstream) {
        self.capacity = self.capacity.plus(&open.capacity);
        self.free = self.free.plus(&open.free);
        self.rows.push(row);
        self.open.push(open);
    }

    pub(super) fn set_free(&mut self, index: usize, free: ResourceAmount) {
        let open = &mut self.open[index];
        self.free = self.free.minus(&open.free).plus(&free);
        open.free = free;
    }

    /// Returns whether enough stays free for urgent work beside a unit of a queue.
    pub(super) fn spares(&self, priority: u32, demand: &UnitDemand) -> bool {
        let taken = demand.need.times(demand.count as u64);
        let kept = kept_room(priority, &self.urgent, &self.capacity);
        self.free.minus(&taken).holds(&kept)
    }

    /// Returns over how many racks some upstreams spread.
    pub(super) fn rack_count(&self, chosen: &[usize]) -> usize {
        let mut racks: Vec<_> = chosen.iter().map(|&index| &self.open[index].rack).collect();
        racks.sort_unstable();
        racks.dedup();
        racks.len()
    }

    /// Returns whether about half of the room or more is in use.
    pub(super) fn is_busy(&self) -> bool {
        let used = self.capacity.minus(&self.free);
        used.dominant_share(&self.capacity) > BUSY_SHARE
    }
}
