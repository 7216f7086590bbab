//! Owner election: when a host claims the pool, and when an owner steps down.
//!
//! The owner can crash or be partitioned while tasks hold short leases, which must be renewed
//! before they expire; a slow store must not cost an owner its term. Hosts also differ in size, and
//! a small one is too slow for the whole pool under load.

use crate::tables::name::ObjectName;
use crate::work::state::jobs_view::{HostRow, OwnerRow};

/// Time without a heartbeat, counted while the store answers, after which other hosts may claim the
/// pool, in ms.
const OWNER_TIMEOUT_MS: u64 = 1_400;
/// Longest additional wait by rank, which keeps hosts from claiming at once, in ms.
const CLAIM_STAGGER_MS: u64 = 600;
/// Longest wait by rank for a vacant pool, in ms; it covers hosts that start later.
const VACANT_STAGGER_MS: u64 = 1_000;
/// Longest time between two answers of the store that counts as available, in ms.
const STORE_ANSWER_GAP_MAX_MS: u64 = 1_200;
/// Low bits of a term that distinguish rivals for it.
const TERM_NONCE_BITS: u32 = 16;

/// What a host knows of the pool's owner when it claims the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimEvidence {
    /// Time without a heartbeat, counted while the store answers, in ms.
    pub silence_ms: u64,
    /// Time since the owner's last heartbeat was read, in ms; none before the first answer.
    pub heartbeat_age_ms: Option<u64>,
    /// Time since the store's last answer, in ms; none before the first.
    pub answer_age_ms: Option<u64>,
}

/// Decides from the owner's heartbeats when this host should claim the pool.
#[derive(Clone, Debug)]
pub struct ElectionTimer {
    host: ObjectName,
    /// This host's position in the order of claiming, 0 to 1.
    rank: f64,
    silence_ms: u64,
    answered_ms: Option<u64>,
    /// Time of the owner's last heartbeat, or of the store's first answer.
    heartbeat_ms: Option<u64>,
    /// When this host was first able to own the pool.
    ready_ms: Option<u64>,
}

impl ElectionTimer {
    /// Creates the timer of a host; `rank` is 0 for hosts that should claim first, 1 for the last.
    pub fn new(host: ObjectName, rank: f64) -> Self {
        Self {
            host,
            rank: rank.clamp(0.0, 1.0),
            silence_ms: 0,
            answered_ms: None,
            heartbeat_ms: None,
            ready_ms: None,
        }
    }

    /// Records a heartbeat of the owner. The time before it is no silence, whenever the store's
    /// answer to the read that brought it is recorded.
    pub fn record_owner_heartbeat(&mut self, now_ms: u64) {
        self.silence_ms = 0;
        self.answered_ms = self.answered_ms.map(|_| now_ms);
        self.heartbeat_ms = Some(now_ms);
    }

    /// Records an answer of the store. Only time between answers counts as silence of the owner.
    pub fn record_store_answer(&mut self, now_ms: u64) {
        let passed = self
            .answered_ms
            .map_or(0, |before| now_ms.saturating_sub(before));
        if passed <= STORE_ANSWER_GAP_MAX_MS {
            self.silence_ms += passed;
        }
        self.answered_ms = Some(now_ms);
        self.heartbeat_ms.get_or_insert(now_ms);
    }

    /// Records that this host is able to own the pool. All hosts become able at once when the first
    /// configuration arrives, so the wait for a vacant pool starts no earlier than this.
    pub fn record_ready(&mut self, now_ms: u64) {
        self.ready_ms.get_or_insert(now_ms);
    }

    /// Returns whether this host should claim the pool now.
    ///
    /// Vacancy is recorded in the stream, so elapsed time alone decides which host claims first. An
    /// owner's silence counts only while the store answers. `allowance_ms` is the delay that a slow
    /// store adds to each call: heartbeats arrive that much later, and rivals take that much longer
    /// to see each other's claims.
    pub fn should_claim(&self, owner: Option<&OwnerRow>, now_ms: u64, allowance_ms: u64) -> bool {
        let Some(heartbeat_ms) = self.heartbeat_ms else {
            return false;
        };
        let vacant = owner.is_none_or(|row| row.record.released || row.record.host == self.host);
        let since_ms = heartbeat_ms.max(self.ready_ms.unwrap_or(heartbeat_ms));
        match vacant {
            true => now_ms.saturating_sub(since_ms) >= self.stagger_ms(VACANT_STAGGER_MS),
            false => {
                let limit_ms = OWNER_TIMEOUT_MS + allowance_ms;
                self.silence_ms >= limit_ms + self.stagger_ms(CLAIM_STAGGER_MS + allowance_ms)
            }
        }
    }

    /// Returns on what a claim rests at this time.
    pub fn evidence(&self, now_ms: u64) -> ClaimEvidence {
        let age = |at_ms: Option<u64>| at_ms.map(|at| now_ms.saturating_sub(at));
        ClaimEvidence {
            silence_ms: self.silence_ms,
            heartbeat_age_ms: age(self.heartbeat_ms),
            answer_age_ms: age(self.answered_ms),
        }
    }

    fn stagger_ms(&self, longest_ms: u64) -> u64 {
        (self.rank * longest_ms as f64) as u64
    }
}

/// Returns whether an owner on a small host should step down: a large host has announced itself
/// since the owner's term began at offset `term_start`.
pub fn should_step_down(own_large: bool, hosts: &[HostRow], term_start: u64) -> bool {
    let better =
        |host: &HostRow| host.record.large && !host.record.gone && host.offset >= term_start;
    !own_large && hosts.iter().any(better)
}

/// Returns the term after `last`; `nonce` keeps two rivals from choosing the same term.
pub fn next_term(last: u64, nonce: u16) -> u64 {
    ((last >> TERM_NONCE_BITS) + 1) << TERM_NONCE_BITS | u64::from(nonce)
}
