//! When a host tries to become the pool's owner.
//!
//! Answers this pattern: the owner dies or is cut off while tasks hold short leases; the
//! leases must be renewed before they are over, and a slow store must not depose an owner.
//! Beside it: hosts differ in size, and a small one is too slow for the whole pool under load.

use crate::tables::name::ObjectName;
use crate::work::jobs_view::{HostRow, OwnerRow};

/// Silence of the owner, while the store answers, after which others try, in ms.
const OWNER_TIMEOUT_MS: u64 = 1_400;
/// Longest extra wait by which hosts avoid trying at once, in ms.
const CLAIM_STAGGER_MS: u64 = 600;
/// Longest wait where nobody owns the pool, in ms: it covers hosts that start later.
const VACANT_STAGGER_MS: u64 = 1_000;
/// Longest time between two answers of the store that still counts as answering, in ms.
const STORE_ANSWER_GAP_MAX_MS: u64 = 1_200;
/// Bits of a term that tell rivals for it apart.
const TERM_NONCE_BITS: u32 = 16;

/// Watches the owner's signs of life.
#[derive(Clone, Debug)]
pub struct ElectionTimer {
    host: ObjectName,
    /// This host's place in the order of trying, 0 to 1.
    rank: f64,
    silence_ms: u64,
    answered_ms: Option<u64>,
    /// When the owner was last heard, or the store first answered.
    heartbeat_ms: Option<u64>,
    /// When this host was first able to own the pool.
    ready_ms: Option<u64>,
}

impl ElectionTimer {
    /// Creates the watch of a host; `rank` is 0 for those that should try first, 1 last.
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

    /// Notes a sign of life of the owner.
    pub fn record_owner_heartbeat(&mut self, now_ms: u64) {
        self.silence_ms = 0;
        self.heartbeat_ms = Some(now_ms);
    }

    /// Notes that the store answered; only such time counts as silence.
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

    /// Notes that this host is able to own the pool. All hosts become so at once when the first
    /// configuration comes, so a vacant pool's wait counts from here at the earliest.
    pub fn record_ready(&mut self, now_ms: u64) {
        self.ready_ms.get_or_insert(now_ms);
    }

    /// Returns whether this host should try now.
    ///
    /// That a pool is vacant stands in the stream, so time alone decides who tries first; a
    /// silent owner is silent only while the store answers.
    /// `allowance_ms` is the time that a slow store adds to each call: signs of life come so much
    /// later, and hosts that try take so much longer to see each other.
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

    fn stagger_ms(&self, longest_ms: u64) -> u64 {
        (self.rank * longest_ms as f64) as u64
    }
}

/// Returns whether an owner on a small host gives the pool up: a large host has made itself
/// known since the owner's time began at the offset `term_start`.
pub fn should_step_down(own_large: bool, hosts: &[HostRow], term_start: u64) -> bool {
    let better =
        |host: &HostRow| host.record.large && !host.record.gone && host.offset >= term_start;
    !own_large && hosts.iter().any(better)
}

/// Returns the term after `last`; `nonce` keeps two rivals from choosing the same.
pub fn next_term(last: u64, nonce: u16) -> u64 {
    ((last >> TERM_NONCE_BITS) + 1) << TERM_NONCE_BITS | u64::from(nonce)
}
