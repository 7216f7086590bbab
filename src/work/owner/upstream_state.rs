//! An upstream as the owner drives it.

use std::net::SocketAddr;

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;
use crate::work::clock::{ClockReading, drift_safe_wait_ms};
use crate::work::placement::CapacityClaim;
use crate::work::slowdown::UpstreamSlowdown;
use crate::work::upstream::{OrderTarget, UpstreamReport};

/// Time after a lease's end until its tasks surely run no more, in ms.
pub(super) const LEASE_EXPIRY_MARGIN_MS: u64 = 250;
/// Bits of a fencing token that count an upstream's lives within a term.
const RESTART_BITS: u32 = 8;

/// A task on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldTask {
    /// The job.
    pub job: ObjectName,
    /// Unit of the job.
    pub unit: usize,
    /// Member of the unit.
    pub member: usize,
    /// What it holds.
    pub need: ResourceAmount,
}

/// An upstream's state.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Its name.
    pub name: ObjectName,
    /// Its newest report; none if it has left the list before this owner came.
    pub report: Option<UpstreamReport>,
    /// Whether it is on the list now.
    pub listed: bool,
    /// When it left the list, steady ms.
    pub unlisted_since_ms: u64,
    /// Where it takes orders; none if never known.
    pub address: Option<SocketAddr>,
    /// Its life; 0 if unknown.
    pub incarnation: u64,
    /// Lives seen in this term.
    pub restarts: u64,
    /// Its clock; none if never known.
    pub clock: Option<ClockReading>,
    /// When all leases given are surely over, steady ms.
    pub leases_expire_ms: u64,
    /// Tasks that may be on it.
    pub held: Vec<HeldTask>,
    /// Sum of what they hold.
    pub used: ResourceAmount,
    /// Whether a renewal is on its way.
    pub renewing: bool,
    /// Earliest time of the next renewal, steady ms.
    pub next_renewal_ms: u64,
    /// Renewals in a row that got no answer.
    pub missed_renewals: u32,
    /// Highest end seen.
    pub seen_end: u64,
    /// Highest end that is recorded.
    pub recorded_end: u64,
    /// Highest recorded end that the upstream was told.
    pub acked_end: u64,
    /// Batch that records the ends seen; until then looks are spaced out.
    pub end_batch: Option<u64>,
    /// Whether this owner has had an answer from it.
    pub reconciled: bool,
    /// Runs that failed on it lately, less those that were done.
    pub failure_score: f64,
    /// How fast it works.
    pub slowdown: UpstreamSlowdown,
    /// Next time when a sample of its pace is taken, steady ms.
    pub next_sample_ms: u64,
    /// No new work before this time, steady ms.
    pub quarantined_until_ms: u64,
    /// For whom its room is kept.
    pub reserved: Option<CapacityClaim>,
    /// Until when, steady ms.
    pub reserved_until_ms: u64,
}

impl UpstreamState {
    /// Creates the state of an upstream of which nothing is known.
    pub fn new(name: ObjectName) -> Self {
        Self {
            name,
            report: None,
            listed: false,
            unlisted_since_ms: 0,
            address: None,
            incarnation: 0,
            restarts: 0,
            clock: None,
            leases_expire_ms: 0,
            held: Vec::new(),
            used: ResourceAmount::default(),
            renewing: false,
            next_renewal_ms: 0,
            missed_renewals: 0,
            seen_end: 0,
            recorded_end: 0,
            acked_end: 0,
            end_batch: None,
            reconciled: false,
            failure_score: 0.0,
            slowdown: UpstreamSlowdown::default(),
            next_sample_ms: 0,
            quarantined_until_ms: 0,
            reserved: None,
            reserved_until_ms: 0,
        }
    }

    /// Returns where orders go and by which token.
    pub fn target(&self, term: u64) -> Option<OrderTarget> {
        Some(OrderTarget {
            upstream: self.name.clone(),
            address: self.address?,
            fencing_token: (term << RESTART_BITS) + self.restarts,
        })
    }

    /// Returns whether new work may be placed on it.
    pub fn is_schedulable(&self, now_ms: u64) -> bool {
        let draining = self.report.as_ref().is_none_or(|report| report.draining);
        self.listed
            && !draining
            && self.missed_renewals == 0
            && self.quarantined_until_ms <= now_ms
            && self.clock.is_some()
            && (self.reconciled || (self.held.is_empty() && self.restarts == 0))
    }

    /// Returns what is free.
    pub fn free(&self) -> ResourceAmount {
        let capacity = self.report.as_ref().map(|report| report.capacity);
        capacity.unwrap_or_default().minus(&self.used)
    }

    /// Gives a lease from now on; returns its end on the upstream's clock, none if the clock is
    /// not known.
    pub fn grant_lease(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        let leases_expire_ms = now_ms + drift_safe_wait_ms(lease_ms) + LEASE_EXPIRY_MARGIN_MS;
        self.leases_expire_ms = self.leases_expire_ms.max(leases_expire_ms);
        Some(clock.lower_bound_ms(now_ms) + lease_ms)
    }

    /// Adds a task.
    pub fn hold(&mut self, task: HeldTask) {
        self.used = self.used.plus(&task.need);
        self.held.push(task);
    }

    /// Removes a task, if it is there.
    pub fn release(&mut self, job: &ObjectName, unit: usize, member: usize) {
        let same = |task: &HeldTask| task.job == *job && task.unit == unit && task.member == member;
        if let Some(index) = self.held.iter().position(same) {
            let task = self.held.swap_remove(index);
            self.used = self.used.minus(&task.need);
        }
    }

    /// Returns whether the owner has to talk to it.
    pub fn wants_renewal(&self) -> bool {
        let unreconciled_restart = self.restarts > 0 && !self.reconciled && self.listed;
        !self.held.is_empty() || self.recorded_end > self.acked_end || unreconciled_restart
    }
}
