//! Limits and cost factors of the owner.

/// Limits and cost factors that the owner works with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerTiming {
    /// Length of a lease, in ms.
    pub lease_ms: u64,
    /// Longest lease that upstreams take, in ms.
    pub lease_max_ms: u64,
    /// Longest time for which an earlier owner may have sent orders after it last proved its
    /// ownership, in ms.
    pub ownership_timeout_ms: u64,
    /// How many times longer a task takes away from its data or spread over racks.
    pub far_factor: u64,
    /// Time within which work inside a team's guarantee has to start, in ms.
    pub reclaim_ms: u64,
    /// Longest time that stopping a run takes, in ms.
    pub stop_ms: u64,
    /// Longest checkpoint that is kept, in bytes.
    pub checkpoint_max_bytes: usize,
}
