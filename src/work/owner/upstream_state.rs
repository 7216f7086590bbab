//! State of an upstream as the owner tracks it.

use std::net::SocketAddr;

use crate::tables::name::ObjectName;
use crate::work::clock::{ClockReading, drift_safe_wait_ms};
use crate::work::model::amount::ResourceAmount;
use crate::work::model::crash_record::UpstreamLife;
use crate::work::model::evacuation::EvacuatedDomains;
use crate::work::model::upstream::{OrderTarget, UpstreamReport};
use crate::work::owner::OwnerTiming;
use crate::work::owner::failure_ledger::{EXCLUSION_SCORE, UpstreamBlame};
use crate::work::owner::start_gate::{StartConditions, StartStage, StartVerdict, start_verdict};
use crate::work::placing::placement::CapacityClaim;

/// Time after a lease's end by which its tasks have certainly stopped, in ms.
pub(super) const LEASE_EXPIRY_MARGIN_MS: u64 = 250;
/// How old the last answer of an upstream may be when its ends are acknowledged, in ms. No run can
/// start on a newer incarnation and end there within this time.
const ACK_ANSWER_AGE_MAX_MS: u64 = 250;
/// How long an upstream is excluded after failed runs, in ms.
const EXCLUSION_MS: u64 = 8_000;
/// Low bits of a fencing token; they count an upstream's restarts within a term.
const RESTART_BITS: u32 = 8;

/// A task that may be on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldTask {
    /// Job of the task.
    pub job: ObjectName,
    /// Index of the unit in the job.
    pub unit: usize,
    /// Index of the member in the unit.
    pub member: usize,
    /// Capacity that the task holds.
    pub need: ResourceAmount,
    /// Whether only tasks of its unit may run beside it.
    pub isolated: bool,
}

/// State of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Name of the upstream.
    pub name: ObjectName,
    /// Newest report; `None` if it left the list before this owner's term.
    pub report: Option<UpstreamReport>,
    /// Whether it is listed now.
    pub listed: bool,
    /// Address for orders; `None` if never known.
    pub address: Option<SocketAddr>,
    /// Incarnation; 0 if unknown.
    pub incarnation: u64,
    /// Restarts seen in this term.
    pub restarts: u64,
    /// Newest clock reading; `None` if never known.
    pub clock: Option<ClockReading>,
    /// When all granted leases have certainly expired, steady ms.
    pub leases_expire_ms: u64,
    /// Tasks that may be on it.
    pub held: Vec<HeldTask>,
    /// Capacity held by `held`.
    pub used: ResourceAmount,
    /// Whether a renewal is in flight.
    pub renewing: bool,
    /// Number of renewals sent.
    pub renewals: u64,
    /// When the last renewal was sent, steady ms.
    pub renewal_sent_ms: u64,
    /// When to ask again for a run that the last answer should have listed and did not, steady ms.
    pub recheck_ms: Option<u64>,
    /// Earliest time of the next renewal, steady ms.
    pub next_renewal_ms: u64,
    /// Consecutive renewals without an answer.
    pub missed_renewals: u32,
    /// Highest number of an end that was handled.
    pub seen_end: u64,
    /// Highest number of an end that is recorded.
    pub recorded_end: u64,
    /// Highest recorded end acknowledged to the upstream.
    pub acked_end: u64,
    /// When the current incarnation last answered a renewal, steady ms; 0 if it has not yet.
    pub answered_ms: u64,
    /// Batch that records the handled ends; renewals are spaced out until it is stored.
    pub end_batch: Option<u64>,
    /// Whether this owner has had an answer from the current incarnation.
    pub reconciled: bool,
    /// Whether runs were given up with its leases since it last answered. Their ends may be unread.
    pub gave_up_runs: bool,
    /// Failed runs for which it is to blame.
    pub failure_score: f64,
    /// Whether it has completed a run in this term.
    pub is_proven: bool,
    /// Used only if the others do not suffice before this time, since runs have failed there, steady ms.
    pub excluded_until_ms: u64,
    /// Earliest time of the next look at the progress of its runs, steady ms.
    pub next_sample_ms: u64,
    /// No new work before this time, steady ms.
    pub quarantined_until_ms: u64,
    /// Claim for which its capacity is reserved.
    pub reserved: Option<CapacityClaim>,
    /// End of the reservation, steady ms.
    pub reserved_until_ms: u64,
}

impl UpstreamState {
    /// Creates the state of an upstream that nothing is known about.
    pub fn new(name: ObjectName) -> Self {
        Self {
            name,
            report: None,
            listed: false,
            address: None,
            incarnation: 0,
            restarts: 0,
            clock: None,
            leases_expire_ms: 0,
            held: Vec::new(),
            used: ResourceAmount::default(),
            renewing: false,
            renewals: 0,
            renewal_sent_ms: 0,
            recheck_ms: None,
            next_renewal_ms: 0,
            missed_renewals: 0,
            seen_end: 0,
            recorded_end: 0,
            acked_end: 0,
            answered_ms: 0,
            end_batch: None,
            reconciled: false,
            gave_up_runs: false,
            failure_score: 0.0,
            is_proven: false,
            excluded_until_ms: 0,
            next_sample_ms: 0,
            quarantined_until_ms: 0,
            reserved: None,
            reserved_until_ms: 0,
        }
    }

    /// Returns the address and fencing token for orders, or `None` if the address is not known.
    pub fn target(&self, term: u64) -> Option<OrderTarget> {
        Some(OrderTarget {
            upstream: self.name.clone(),
            address: self.address?,
            fencing_token: (term << RESTART_BITS) + self.restarts,
        })
    }

    /// Returns what speaks against starts on it, at any stage.
    pub fn start_conditions(&self, now_ms: u64, evacuated: &EvacuatedDomains) -> StartConditions {
        let report = self.report.as_ref();
        StartConditions {
            evacuated: report.is_some_and(|report| evacuated.contains(&report.domain)),
            draining: report.is_none_or(|report| report.draining),
            unlisted: !self.listed || self.clock.is_none(),
            silent: self.missed_renewals > 0,
            unreconciled: !self.reconciled,
            quarantined: self.quarantined_until_ms > now_ms,
            ..StartConditions::default()
        }
    }

    /// Returns whether new work may be placed on it.
    pub fn is_schedulable(&self, now_ms: u64, evacuated: &EvacuatedDomains) -> bool {
        let mut conditions = self.start_conditions(now_ms, evacuated);
        conditions.silent |= self.gave_up_runs;
        // One that holds nothing of this owner or an earlier one need not tell what runs there.
        conditions.unreconciled &= !self.held.is_empty() || self.restarts > 0;
        start_verdict(StartStage::Placement, &conditions) == StartVerdict::Pass
    }

    /// Sets how far it is to blame for failed runs. It is excluded for a time after the last of them if
    /// they are enough; an exclusion for which the work turns out to be to blame is lifted.
    pub fn set_blame(&mut self, blame: UpstreamBlame, now_ms: u64) {
        self.failure_score = blame.score;
        let until_ms = blame.last_ms + EXCLUSION_MS;
        let is_excluded = self.excluded_until_ms > now_ms;
        if blame.score >= EXCLUSION_SCORE && until_ms > self.excluded_until_ms.max(now_ms) {
            self.excluded_until_ms = until_ms;
            log::warn!(
                target: "hemlockramp::work::owner::replies",
                upstream = self.name.as_str(), failures = blame.score, until_ms;
                "owner: an upstream is excluded after failed runs."
            );
        }
        if blame.score < EXCLUSION_SCORE && blame.is_exonerated && is_excluded {
            self.excluded_until_ms = 0;
            log::info!(
                target: "hemlockramp::work::owner::replies",
                upstream = self.name.as_str(), failures = blame.score;
                "owner: an upstream is no longer excluded; the work that failed there is to blame."
            );
        }
    }

    /// Returns its current life.
    pub fn life(&self) -> UpstreamLife {
        UpstreamLife {
            upstream: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
        }
    }

    /// Returns the free capacity; none while an isolated task is there.
    pub fn free(&self) -> ResourceAmount {
        if self.held.iter().any(|task| task.isolated) {
            return ResourceAmount::default();
        }
        let capacity = self.report.as_ref().map(|report| report.capacity);
        capacity.unwrap_or_default().minus(&self.used)
    }

    /// Grants a lease from now on. Returns its end on the upstream's clock, or `None` if the clock
    /// is not known.
    ///
    /// The order may reach a later life, which counts its clock anew and takes the end of the lease for
    /// the longest one. Until then the owner waits.
    pub fn grant_lease(&mut self, now_ms: u64, timing: &OwnerTiming) -> Option<u64> {
        let clock = self.clock?;
        self.allow_for_misdirected_leases(now_ms, timing.lease_max_ms);
        Some(clock.lower_bound_ms(now_ms) + timing.lease_ms)
    }

    /// Returns whether a reading is of a life that started after the known one: each life counts its clock
    /// anew. Times of birth are of a wall clock, which may have been set back between two lives.
    pub fn started_later(&self, reading: ClockReading) -> bool {
        self.clock.is_some_and(|known| {
            // One that waited here may be older than the known reading, and then shows less.
            reading.arrived_ms >= known.arrived_ms
                && reading.shown_ms < known.lower_bound_ms(reading.arrived_ms)
        })
    }

    /// Allows for leases from orders that were meant for the previous incarnation. Their ends were
    /// set on its clock, so the new incarnation may take them for the longest lease.
    pub fn allow_for_misdirected_leases(&mut self, now_ms: u64, lease_max_ms: u64) {
        let expire_ms = now_ms + drift_safe_wait_ms(lease_max_ms) + LEASE_EXPIRY_MARGIN_MS;
        self.leases_expire_ms = self.leases_expire_ms.max(expire_ms);
    }

    /// Adds a task and the capacity that it holds.
    pub fn hold(&mut self, task: HeldTask) {
        self.used = self.used.plus(&task.need);
        self.held.push(task);
    }

    /// Removes a task, if present.
    pub fn release(&mut self, job: &ObjectName, unit: usize, member: usize) {
        let same = |task: &HeldTask| task.job == *job && task.unit == unit && task.member == member;
        if let Some(index) = self.held.iter().position(same) {
            let task = self.held.swap_remove(index);
            self.used = self.used.minus(&task.need);
        }
    }

    /// Returns the highest end that a renewal sent now may acknowledge; 0 for none.
    ///
    /// Ends are numbered anew in each incarnation, and an order may reach one that the owner does
    /// not know of yet. That incarnation would forget its own first ends unread. An acknowledgement
    /// is therefore sent once, and only right after an answer of the known incarnation.
    pub fn end_to_ack(&self, now_ms: u64) -> u64 {
        let fresh = now_ms.saturating_sub(self.answered_ms) <= ACK_ANSWER_AGE_MAX_MS;
        match fresh && self.recorded_end > self.acked_end {
            true => self.recorded_end,
            false => 0,
        }
    }

    /// Returns when the next renewal is due, steady ms; `None` while none is to be sent.
    pub fn renewal_ms(&self) -> Option<u64> {
        let wanted = self.wants_renewal() && !self.renewing && self.address.is_some();
        wanted.then_some(self.next_renewal_ms)
    }

    /// Returns when its tasks are given up unless it answers, steady ms; `None` while it answers.
    pub fn expiry_ms(&self) -> Option<u64> {
        let silent = self.missed_renewals > 0 || self.address.is_none();
        (silent && !self.held.is_empty()).then_some(self.leases_expire_ms)
    }

    /// Returns when a renewal or the end of its leases is due next, steady ms; `None` for never as it is.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.renewal_ms().into_iter().chain(self.expiry_ms()).min()
    }

    /// Returns whether the owner has to send renewals to it.
    pub fn wants_renewal(&self) -> bool {
        let unreconciled_restart = self.restarts > 0 && !self.reconciled;
        // Nothing is placed on an upstream that missed a renewal until it has answered another.
        let excluded = unreconciled_restart || self.missed_renewals > 0 || self.gave_up_runs;
        !self.held.is_empty() || self.recorded_end > self.acked_end || (self.listed && excluded)
    }
}
