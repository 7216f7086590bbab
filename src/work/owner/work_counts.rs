//! Counts of the owner's work by decision.
//!
//! Steps are counted rather than times, so that they show on any machine how the cost of one
//! decision grows with the pool.

use std::cell::Cell;

/// Kind of work that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Answers to renewals that were handled.
    Renewal,
    /// Ends of runs that were handled.
    End,
    /// Units that were placed.
    Placement,
    /// Rows of failures that were read to score upstreams.
    BlameStep,
    /// Upstreams, tasks and units that were looked at to place units or to make room for them.
    SearchStep,
    /// Tasks and upstreams that were looked at for what is due: leases, renewals, orders, records.
    ScanStep,
    /// Upstreams that were read to judge the speed of others by their common runs.
    EvidenceStep,
    /// Listed runs that were compared with expected ones.
    ReconcileStep,
}

impl WorkKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 8] = [
        Self::Renewal,
        Self::End,
        Self::Placement,
        Self::BlameStep,
        Self::SearchStep,
        Self::ScanStep,
        Self::EvidenceStep,
        Self::ReconcileStep,
    ];

    /// Returns the label for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Renewal => "renewal",
            Self::End => "end",
            Self::Placement => "placement",
            Self::BlameStep => "blame_step",
            Self::SearchStep => "search_step",
            Self::ScanStep => "scan_step",
            Self::EvidenceStep => "evidence_step",
            Self::ReconcileStep => "reconcile_step",
        }
    }
}

/// Work done since the start of a term, a count for each kind.
#[derive(Clone, Debug, Default)]
pub struct WorkCounts([Cell<u64>; WorkKind::ALL.len()]);

impl WorkCounts {
    /// Adds work of a kind.
    pub fn add(&self, kind: WorkKind, count: usize) {
        let cell = &self.0[kind as usize];
        cell.set(cell.get() + count as u64);
    }

    /// Returns the work of a kind.
    pub fn get(&self, kind: WorkKind) -> u64 {
        self.0[kind as usize].get()
    }
}
