//! Owner election: when a host claims the pool, and when an owner steps down.
//!
//! The owner can crash or be partitioned while tasks hold short leases, which must be renewed
//! before they expire; neither a slow store nor a busy thread must cost an owner its term. Hosts
//! also differ in size, and a small one is too slow for the whole pool under load.

use crate::tables::name::ObjectName;
use crate::work::state::inquiry::{INQUIRY_LEAD_MS, InquiryVerdict, OwnerInquiry};
use crate::work::state::jobs_view::{HostRow, OwnerRow};
use crate::work::store::timing::READ_WAIT_MS;

/// Time without a heartbeat, counted while the store answers, after which other hosts may claim the
/// pool, in ms.
const OWNER_TIMEOUT_MS: u64 = 1_400;
/// Longest additional wait by rank, which keeps hosts from claiming at once, in ms.
const CLAIM_STAGGER_MS: u64 = 600;
/// Longest additional wait by name and term, which separates hosts of one rank, in ms.
const CLAIM_SPREAD_MS: u64 = 100;
/// Longest wait by rank for a vacant pool, in ms; it covers hosts that start later.
const VACANT_STAGGER_MS: u64 = 1_000;
/// Longest time between two answers of the store that counts as available, in ms.
const STORE_ANSWER_GAP_MAX_MS: u64 = 1_200;
/// Longest time between two answers that counts as silence of the owner, in ms. What is longer than
/// a held read and the pause before it is the store's delay.
const SILENT_GAP_MAX_MS: u64 = READ_WAIT_MS + 200;
/// Longest time between two polls of this host's own timer, in ms. In what is longer this host did
/// not run, so that it would have read no heartbeat.
const POLL_GAP_MAX_MS: u64 = 250;
/// Share of a lease in percent for which an owner that proves to be at work may be silent. The rest
/// remains for a successor that has to renew the leases.
const PROVED_SILENCE_PERCENT: u64 = 75;
/// Longest silence of such an owner however long leases are, in ms: it may answer its peers and yet
/// not reach the store, so that nothing is recorded meanwhile.
const PROVED_SILENCE_MAX_MS: u64 = 2 * OWNER_TIMEOUT_MS;
/// Low bits of a term that distinguish rivals for it.
const TERM_NONCE_BITS: u32 = 16;

/// What a host knows of the pool's owner when it claims the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimEvidence {
    /// Time without a heartbeat, counted while the store answers and this host runs, in ms.
    pub silence_ms: u64,
    /// Time since the owner's last heartbeat was read, in ms; none before the first answer.
    pub heartbeat_age_ms: Option<u64>,
    /// Time since the store's last answer, in ms; none before the first.
    pub answer_age_ms: Option<u64>,
    /// What the owner's own answers show.
    pub inquiry: InquiryVerdict,
}

/// What a host does about the pool's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Nothing for now.
    Wait,
    /// Ask the owner itself whether it is at work.
    AskOwner,
    /// Claim the pool.
    Claim,
}

/// Decides from the owner's heartbeats and answers when this host should claim the pool.
#[derive(Clone, Debug)]
pub struct ElectionTimer {
    host: ObjectName,
    /// This host's position in the order of claiming, 0 to 1.
    rank: f64,
    /// Silence up to the store's last answer.
    silence_ms: u64,
    answered_ms: Option<u64>,
    /// Time of the owner's last heartbeat, or of the store's first answer.
    heartbeat_ms: Option<u64>,
    /// When this host was first able to own the pool.
    ready_ms: Option<u64>,
    /// When this host last polled the timer or handled an answer, once it polls.
    polled_ms: Option<u64>,
    /// Time since the store's last answer in which this host did not run.
    stopped_ms: u64,
    inquiry: OwnerInquiry,
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
            polled_ms: None,
            stopped_ms: 0,
            inquiry: OwnerInquiry::default(),
        }
    }

    /// Records a heartbeat of the owner. The time before it is no silence, whenever the store's
    /// answer to the read that brought it is recorded.
    pub fn record_owner_heartbeat(&mut self, now_ms: u64) {
        self.note_stop(now_ms);
        self.silence_ms = 0;
        self.stopped_ms = 0;
        self.answered_ms = self.answered_ms.map(|_| now_ms);
        self.heartbeat_ms = Some(now_ms);
        self.inquiry.clear();
    }

    /// Records an answer of the store. Only time between answers counts as silence of the owner.
    pub fn record_store_answer(&mut self, now_ms: u64) {
        self.note_stop(now_ms);
        let passed_ms = self.since_answer_ms(now_ms);
        let running_ms = passed_ms.saturating_sub(self.stopped_ms);
        if passed_ms <= STORE_ANSWER_GAP_MAX_MS {
            self.silence_ms += running_ms.min(SILENT_GAP_MAX_MS);
        }
        self.stopped_ms = 0;
        self.answered_ms = Some(now_ms);
        self.heartbeat_ms.get_or_insert(now_ms);
    }

    /// Records that this host is able to own the pool. All hosts become able at once when the first
    /// configuration arrives, so the wait for a vacant pool starts no earlier than this.
    pub fn record_ready(&mut self, now_ms: u64) {
        self.ready_ms.get_or_insert(now_ms);
    }

    /// Records a poll of this timer, which this host makes at short intervals whenever it runs.
    pub fn record_poll(&mut self, now_ms: u64) {
        self.polled_ms.get_or_insert(now_ms);
        self.note_stop(now_ms);
    }

    /// Records that the owner is asked.
    pub fn record_inquiry(&mut self, now_ms: u64) {
        self.inquiry.start(now_ms);
    }

    /// Records the outcome of the inquiry that was sent at `asked_ms`: whether the owner has proved
    /// to be at work.
    pub fn record_inquiry_outcome(&mut self, asked_ms: u64, now_ms: u64, at_work: bool) {
        self.inquiry.finish(asked_ms, now_ms, at_work);
    }

    /// Returns what this host should do now, as its records and the owner's own answers tell.
    ///
    /// The owner is asked shortly before its silence calls for a claim. Proof that it is at work delays the claim, but not beyond the time in which a successor
    /// can renew the leases.
    pub fn next_step(
        &self,
        owner: Option<&OwnerRow>,
        now_ms: u64,
        allowance_ms: u64,
        lease_ms: u64,
    ) -> ElectionStep {
        let is_silent = self.should_claim(owner, now_ms, allowance_ms);
        let Some(owner) = owner.filter(|row| !self.is_vacant(row)) else {
            return match is_silent {
                true => ElectionStep::Claim,
                false => ElectionStep::Wait,
            };
        };
        let silence_ms = self.silence_at(now_ms);
        let claim_ms = self.claim_silence_ms(owner, allowance_ms);
        let of_lease_ms = lease_ms * PROVED_SILENCE_PERCENT / 100;
        let longest_ms = of_lease_ms.min(PROVED_SILENCE_MAX_MS) + allowance_ms;
        let verdict = self.inquiry.verdict(now_ms);
        let is_doubted = match verdict {
            InquiryVerdict::Unasked | InquiryVerdict::Awaited => true,
            InquiryVerdict::AtWork => {
                let wait_ms = self.wait_ms(owner, allowance_ms);
                silence_ms < claim_ms.max(longest_ms + wait_ms)
            }
            InquiryVerdict::Unproved => false,
        };
        if is_silent && !is_doubted {
            return ElectionStep::Claim;
        }
        match silence_ms + INQUIRY_LEAD_MS >= claim_ms && self.inquiry.is_due(now_ms) {
            true => ElectionStep::AskOwner,
            false => ElectionStep::Wait,
        }
    }

    /// Returns whether the records alone call for a claim by this host.
    ///
    /// Vacancy is recorded in the stream, so elapsed time alone decides which host claims first. An
    /// owner's silence counts only while the store answers. `allowance_ms` is the delay that a slow
    /// store adds to each call: heartbeats arrive that much later, and rivals take that much longer
    /// to see each other's claims.
    pub fn should_claim(&self, owner: Option<&OwnerRow>, now_ms: u64, allowance_ms: u64) -> bool {
        let Some(heartbeat_ms) = self.heartbeat_ms else {
            return false;
        };
        let since_ms = heartbeat_ms.max(self.ready_ms.unwrap_or(heartbeat_ms));
        match owner.filter(|row| !self.is_vacant(row)) {
            None => now_ms.saturating_sub(since_ms) >= self.stagger_ms(VACANT_STAGGER_MS),
            Some(row) => self.silence_at(now_ms) >= self.claim_silence_ms(row, allowance_ms),
        }
    }

    /// Returns on what a claim rests at this time.
    pub fn evidence(&self, now_ms: u64) -> ClaimEvidence {
        let age = |at_ms: Option<u64>| at_ms.map(|at| now_ms.saturating_sub(at));
        ClaimEvidence {
            silence_ms: self.silence_at(now_ms),
            heartbeat_age_ms: age(self.heartbeat_ms),
            answer_age_ms: age(self.answered_ms),
            inquiry: self.inquiry.verdict(now_ms),
        }
    }

    fn is_vacant(&self, owner: &OwnerRow) -> bool {
        owner.record.released || owner.record.host == self.host
    }

    /// Notes the time in which this host did not run, if it polls.
    fn note_stop(&mut self, now_ms: u64) {
        let Some(polled_ms) = self.polled_ms else {
            return;
        };
        self.stopped_ms += now_ms.saturating_sub(polled_ms + POLL_GAP_MAX_MS);
        self.polled_ms = Some(now_ms);
    }

    fn since_answer_ms(&self, now_ms: u64) -> u64 {
        self.answered_ms
            .map_or(0, |before| now_ms.saturating_sub(before))
    }

    /// Returns the silence at this time. A read that the store may still hold open counts as well:
    /// answers come at the same time on all hosts, which would then claim at the same time.
    fn silence_at(&self, now_ms: u64) -> u64 {
        let open_ms = self.since_answer_ms(now_ms).min(READ_WAIT_MS);
        self.silence_ms + open_ms.saturating_sub(self.stopped_ms)
    }

    /// Returns the silence of an owner after which this host claims.
    fn claim_silence_ms(&self, owner: &OwnerRow, allowance_ms: u64) -> u64 {
        OWNER_TIMEOUT_MS + allowance_ms + self.wait_ms(owner, allowance_ms)
    }

    /// Returns how much longer than the first one this host waits before it claims.
    fn wait_ms(&self, owner: &OwnerRow, allowance_ms: u64) -> u64 {
        let spread_ms = host_hash(&self.host, owner.record.term) % CLAIM_SPREAD_MS;
        self.stagger_ms(CLAIM_STAGGER_MS + allowance_ms) + spread_ms
    }

    fn stagger_ms(&self, longest_ms: u64) -> u64 {
        (self.rank * longest_ms as f64) as u64
    }
}

/// Returns a number that is spread evenly over hosts and terms (FNV-1a).
pub fn host_hash(host: &ObjectName, term: u64) -> u64 {
    let bytes = host.as_str().bytes().chain(term.to_be_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
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
