//! Proofs that a run without a listed end is over.

/// What shows that a run without a listed end is over. It stands in the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossProof {
    /// The leases of its upstream have expired.
    LeaseOver {
        /// Time since they expired, in ms.
        since_ms: u64,
    },
    /// Its upstream has answered in a later life and does not have it.
    LaterLife,
    /// Its upstream lists it neither as running nor as ended.
    NotListed {
        /// The upstream's clock in that answer, in ms.
        answer_clock_ms: u64,
        /// The upstream's clock when it last confirmed the run or its stop, in ms.
        confirmed_clock_ms: u64,
        /// Number of runs that the answer lists as running.
        running: usize,
        /// Number of ends that the answer lists.
        ended: usize,
    },
}

impl LossProof {
    /// Returns the short reason that operators filter by.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::LeaseOver { .. } => "lease over",
            Self::LaterLife | Self::NotListed { .. } => "not there",
        }
    }
}
