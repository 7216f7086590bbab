//! The result of a claim of the pool.

/// A term under which this host has claimed the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClaimedTerm {
    pub(super) term: u64,
    /// When the append that fences earlier owners was sent, steady ms. The term's first proof of
    /// ownership dates from then, however long the rest of the claim took.
    pub(super) fenced_ms: u64,
    /// Sequence number of the term's next append to the jobs stream. The claim and the heartbeats
    /// that went out meanwhile have used those before.
    pub(super) next_jobs_sequence: u64,
}
