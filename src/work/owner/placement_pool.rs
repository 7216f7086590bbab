//! The schedulable upstreams of one pool, updated during a placement round.

use std::cell::Cell;

use crate::tables::name::ObjectName;
use crate::work::model::amount::ResourceAmount;
use crate::work::owner::running_work::RunningWork;
use crate::work::owner::work_counts::{WorkCounts, WorkKind};
use crate::work::placing::headroom::required_headroom;
use crate::work::placing::placement::{
    CandidateUpstream, CapacityClaim, UnitDemand, fits_in_one_rack,
};

/// Share of the capacity in use above which a pool counts as busy, in thousandths.
const BUSY_SHARE_MILLI: u64 = 450;

/// Schedulable upstreams of one pool, updated during a placement round.
pub(super) struct PlacementPool {
    pub(super) name: ObjectName,
    pub(super) candidates: Vec<CandidateUpstream>,
    /// Index in the owner's table of each candidate.
    pub(super) upstream_indexes: Vec<usize>,
    /// Upstreams that are used only if the candidates do not suffice, with their indexes.
    excluded: Vec<(usize, CandidateUpstream)>,
    /// Capacity of the candidates and the excluded upstreams.
    whole_capacity: ResourceAmount,
    /// Free capacity of the excluded upstreams.
    excluded_free: ResourceAmount,
    /// Candidates with a reservation, sorted.
    reserved: Vec<usize>,
    /// Total capacity of the candidates.
    pub(super) capacity: ResourceAmount,
    /// Free capacity of the candidates.
    pub(super) free: ResourceAmount,
    /// Capacity that urgent work holds in the pool.
    pub(super) urgent: ResourceAmount,
    /// Work on the candidates, once it is needed.
    pub(super) work: Option<RunningWork>,
    /// Whether the unit that was asked about last fits into one rack.
    rack_fit: Cell<Option<RackFit>>,
}

/// Whether tasks fit into one rack that is empty.
#[derive(Clone, Copy)]
struct RackFit {
    need: ResourceAmount,
    count: usize,
    fits: bool,
}

impl PlacementPool {
    /// Creates a pool without upstreams, in which urgent work holds this capacity.
    pub(super) fn new(name: ObjectName, urgent: ResourceAmount) -> Self {
        Self {
            name,
            candidates: Vec::new(),
            upstream_indexes: Vec::new(),
            excluded: Vec::new(),
            whole_capacity: ResourceAmount::default(),
            excluded_free: ResourceAmount::default(),
            reserved: Vec::new(),
            capacity: ResourceAmount::default(),
            free: ResourceAmount::default(),
            urgent,
            work: None,
            rack_fit: Cell::new(None),
        }
    }

    pub(super) fn add(&mut self, upstream_index: usize, candidate: CandidateUpstream) {
        if candidate.reserved.is_some() {
            self.reserved.push(self.candidates.len());
        }
        self.whole_capacity = self.whole_capacity.plus(&candidate.capacity);
        self.capacity = self.capacity.plus(&candidate.capacity);
        self.free = self.free.plus(&candidate.free);
        self.upstream_indexes.push(upstream_index);
        self.candidates.push(candidate);
    }

    /// Adds an upstream that is used only if the others do not suffice.
    pub(super) fn exclude(&mut self, upstream_index: usize, candidate: CandidateUpstream) {
        self.whole_capacity = self.whole_capacity.plus(&candidate.capacity);
        self.excluded_free = self.excluded_free.plus(&candidate.free);
        self.excluded.push((upstream_index, candidate));
    }

    /// Returns whether some rack could hold the whole unit if the rack were empty.
    pub(super) fn fits_in_one_rack(&self, demand: &UnitDemand, counts: &WorkCounts) -> bool {
        let known = self.rack_fit.get();
        let same = known.filter(|known| known.need == demand.need && known.count == demand.count);
        if let Some(known) = same {
            return known.fits;
        }
        counts.add(WorkKind::SearchStep, self.candidates.len());
        let fits = fits_in_one_rack(demand, &self.candidates);
        self.rack_fit.set(Some(RackFit {
            need: demand.need,
            count: demand.count,
            fits,
        }));
        fits
    }

    /// Reserves a candidate for a claim.
    pub(super) fn reserve(&mut self, index: usize, claim: &CapacityClaim) {
        self.candidates[index].reserved = Some(claim.clone());
        if let Err(at) = self.reserved.binary_search(&index) {
            self.reserved.insert(at, index);
        }
    }

    /// Releases the candidates reserved for a unit and returns their indexes.
    pub(super) fn release(&mut self, job: &ObjectName, unit: usize) -> Vec<usize> {
        let candidates = &mut self.candidates;
        let is_own = |index: &mut usize| {
            let claim = candidates[*index].reserved.as_ref();
            claim.is_some_and(|claim| claim.job == *job && claim.unit == unit)
        };
        let released: Vec<usize> = self.reserved.extract_if(.., is_own).collect();
        for &index in &released {
            candidates[index].reserved = None;
        }
        released
    }

    /// Returns whether a candidate is reserved for a unit of a job.
    pub(super) fn has_reserved(&self, job: &ObjectName) -> bool {
        let claims = self.reserved_claims();
        claims.into_iter().any(|claim| claim.job == *job)
    }

    /// Returns the claims for which candidates are reserved, one for each candidate.
    pub(super) fn reserved_claims(&self) -> impl Iterator<Item = &CapacityClaim> {
        let reserved = self.reserved.iter();
        reserved.filter_map(|&index| self.candidates[index].reserved.as_ref())
    }

    /// Returns the number of candidates that a search for a demand looks at, each time that it does.
    pub(super) fn search_steps(&self, demand: &UnitDemand) -> usize {
        let is_gang = demand.count > 1;
        let passes = 1
            + usize::from(is_gang && demand.data_rack.is_some())
            + usize::from(is_gang && demand.same_rack);
        passes * self.candidates.len()
    }

    /// Returns whether a unit that may be placed anywhere gets the excluded upstreams if no other has
    /// room: most of the pool is free or all of it is excluded. In a pool that is in use, waiting for
    /// sound upstreams is better than losing runs on broken ones.
    pub(super) fn may_need_excluded(&self, demand: &UnitDemand) -> bool {
        let waits_for_place = !demand.any_rack || (demand.same_rack && !demand.may_span_racks);
        if self.excluded.is_empty() || waits_for_place {
            return false;
        }
        let free = self.free.plus(&self.excluded_free);
        !is_in_use(&self.whole_capacity, &free) || self.candidates.is_empty()
    }

    /// Returns the pool with its excluded upstreams among the candidates.
    pub(super) fn with_excluded(&self) -> Self {
        let own = self.upstream_indexes.iter().copied();
        let mut rows: Vec<_> = own.zip(self.candidates.iter().cloned()).collect();
        rows.extend_from_slice(&self.excluded);
        rows.sort_by_key(|(index, _)| *index);
        let mut pool = Self::new(self.name.clone(), self.urgent);
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

    /// Searches among the candidates as if each had this free capacity.
    pub(super) fn search_with<T>(
        &mut self,
        free: &mut [ResourceAmount],
        search: impl FnOnce(&[CandidateUpstream]) -> T,
    ) -> T {
        self.swap_free(free);
        let found = search(&self.candidates);
        self.swap_free(free);
        found
    }

    fn swap_free(&mut self, free: &mut [ResourceAmount]) {
        for (candidate, free) in self.candidates.iter_mut().zip(free) {
            std::mem::swap(&mut candidate.free, free);
        }
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
