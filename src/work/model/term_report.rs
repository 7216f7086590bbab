//! An owner's answer to a peer that asks whether it is at work.

use serde::{Deserialize, Serialize};

/// Share of a lease that may pass between two rounds of the owner's loop, as a divisor. Upstreams
/// hold renewals open for up to half of the usual lease.
const TURN_AGE_DIVISOR: u64 = 3;

/// An owner's answer to a peer that asks whether it is at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermReport {
    /// Term under which the host owns the pool.
    pub term: u64,
    /// Time since the newest confirmed append of the term was sent, in ms.
    pub confirmed_age_ms: u64,
    /// Time since the owner's loop last went round, in ms. It renews leases on each round.
    pub turn_age_ms: u64,
}

impl TermReport {
    /// Returns whether the owner of `term` proves its ownership and renews leases in time.
    pub fn proves(&self, term: u64, ownership_timeout_ms: u64, lease_ms: u64) -> bool {
        self.term == term
            && self.confirmed_age_ms < ownership_timeout_ms
            && self.turn_age_ms <= lease_ms / TURN_AGE_DIVISOR
    }
}
