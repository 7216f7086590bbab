//! Upstreams for single tasks of equal demands, ranked once for all of them.
//!
//! A wide step is placed one task after the other, and each placement changes only the upstream
//! that it takes.

use crate::work::placing::placement::{CandidateUpstream, CapacityClaim, TaskRank, UnitDemand};

/// The candidates that can take a task of a demand, in the order in which they are chosen.
pub struct CandidateRanking {
    /// Sorted, the first choice last.
    rows: Vec<RankedCandidate>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankedCandidate {
    rank: TaskRank,
    index: usize,
}

impl CandidateRanking {
    /// Ranks the candidates for a task of a demand.
    pub fn new(
        demand: &UnitDemand,
        claim: &CapacityClaim,
        candidates: &[CandidateUpstream],
    ) -> Self {
        let ranked = candidates.iter().enumerate().filter_map(|(index, one)| {
            let rank = TaskRank::new(demand, claim, one)?;
            Some(RankedCandidate { rank, index })
        });
        let mut rows: Vec<_> = ranked.collect();
        rows.sort_unstable_by(|left, right| right.cmp(left));
        Self { rows }
    }

    /// Returns the index of the candidate that the next task takes.
    pub fn first(&self) -> Option<usize> {
        self.rows.last().map(|row| row.index)
    }

    /// Ranks the first choice anew, after a task has been placed there.
    pub fn renew_first(
        &mut self,
        demand: &UnitDemand,
        claim: &CapacityClaim,
        candidates: &[CandidateUpstream],
    ) {
        let Some(RankedCandidate { index, .. }) = self.rows.pop() else {
            return;
        };
        if let Some(rank) = TaskRank::new(demand, claim, &candidates[index]) {
            let row = RankedCandidate { rank, index };
            let at = self.rows.partition_point(|other| *other > row);
            self.rows.insert(at, row);
        }
    }
}
