//! Search of room for the waiting units of one step, one after the other.
//!
//! The units of a step mostly ask for the same, so that what is known for one serves the next.

use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::work_counts::{WorkCounts, WorkKind};
use crate::work::placing::placement::{CapacityClaim, UnitDemand, place_unit};
use crate::work::placing::ranking::CandidateRanking;
use crate::work::placing::sibling_counts::SiblingCounts;

/// Search of room for the units of one step.
pub(super) struct StepSearch {
    /// Demand of the current unit.
    demand: UnitDemand,
    /// Ranking of the candidates for this demand, if it is for a single task.
    ranking: Option<CandidateRanking>,
}

impl StepSearch {
    /// Creates the search for a step with these placed tasks.
    pub(super) fn new(siblings: SiblingCounts) -> Self {
        let demand = UnitDemand {
            siblings,
            ..UnitDemand::default()
        };
        Self {
            demand,
            ranking: None,
        }
    }

    /// Returns the demand of the current unit.
    pub(super) fn demand(&self) -> &UnitDemand {
        &self.demand
    }

    /// Goes on to a unit with this demand, which does not yet tell the placed tasks of the step.
    pub(super) fn set_demand(&mut self, demand: UnitDemand) {
        let siblings = std::mem::take(&mut self.demand.siblings);
        if self.demand != demand {
            self.ranking = None;
        }
        self.demand = UnitDemand { siblings, ..demand };
    }

    /// Forgets what is known of the candidates. Call it when others have taken their place.
    pub(super) fn forget_candidates(&mut self) {
        self.ranking = None;
    }

    /// Chooses candidates for the current unit; `None` if it does not fit.
    pub(super) fn place(
        &mut self,
        claim: &CapacityClaim,
        pool: &PlacementPool,
        counts: &WorkCounts,
    ) -> Option<Vec<usize>> {
        // Capacity reserved for one unit of the step is closed to the others.
        if self.demand.count != 1 || pool.has_reserved(&claim.job) {
            self.ranking = None;
            counts.add(WorkKind::SearchStep, pool.search_steps(&self.demand));
            return place_unit(&self.demand, claim, &pool.candidates);
        }
        let demand = &self.demand;
        let ranking = self.ranking.get_or_insert_with(|| {
            counts.add(WorkKind::SearchStep, pool.search_steps(demand));
            CandidateRanking::new(demand, claim, &pool.candidates)
        });
        counts.add(WorkKind::SearchStep, 1);
        ranking.first().map(|index| vec![index])
    }

    /// Notes that the current unit has been placed on the chosen candidates.
    pub(super) fn note_placed(
        &mut self,
        claim: &CapacityClaim,
        pool: &PlacementPool,
        chosen: &[usize],
    ) {
        if self.demand.spread_max > 0 {
            for &index in chosen {
                self.demand.siblings.add(&pool.candidates[index].name);
            }
        }
        if let Some(ranking) = &mut self.ranking {
            ranking.renew_first(&self.demand, claim, &pool.candidates);
        }
    }
}
