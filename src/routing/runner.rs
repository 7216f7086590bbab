//! Load balancing over runners: power of two choices, with outlier ejection.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::routing::slots::{SlotLimit, SlotPolicy};
use crate::tables::name::ObjectName;
use crate::wire::log::HostState;
use crate::wire::peer::RunnerView;

/// Consecutive failures after which a runner is ejected for a while.
const EJECTION_FAILURES: u32 = 5;
/// Length of the first ejection, in ms; it doubles with each further one.
const EJECTION_MS: u64 = 1_000;
/// Most doublings of the length of an ejection.
const EJECTION_DOUBLINGS_MAX: u32 = 5;
/// Time for which a runner gets no request after a "busy" response, in ms.
const BUSY_PAUSE_MS: u64 = 5;

/// A runner as this host sees it.
#[derive(Clone, Debug)]
pub struct RunnerRow {
    pub name: ObjectName,
    pub address: SocketAddr,
    /// Whether it accepts no new requests, by the host list or by its own responses.
    pub leaving: bool,
    /// Requests of this host in flight to it.
    pub in_flight: usize,
    limit: SlotLimit,
    failures: u32,
    ejections: u32,
    /// End of an ejection or of the pause after a "busy" response.
    excluded_until: Option<Instant>,
}

/// How a request to a runner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerEvent {
    /// With a complete response that is not a server error.
    Answered,
    /// Refused, as all slots of the runner are taken.
    Busy,
    /// With the statement that the runner is leaving, whether or not it ran the request.
    Leaving,
    /// Without a connection or a complete response, or with a server error.
    Failed,
}

/// All runners on the list, sorted by name.
#[derive(Clone, Debug)]
pub struct RunnerTable {
    rows: Vec<RunnerRow>,
    policy: SlotPolicy,
    slots: usize,
}

impl RunnerTable {
    /// Creates an empty table for runners with `slots` slots.
    pub fn new(policy: SlotPolicy, slots: usize) -> Self {
        Self {
            rows: Vec::new(),
            policy,
            slots,
        }
    }

    /// Updates the runners from the host list.
    ///
    /// A runner that stated that it is leaving counts as such until the list drops it or
    /// gives it another address.
    pub fn refresh(&mut self, listed: &[RunnerView], hosts: usize) {
        let mut previous = std::mem::take(&mut self.rows);
        for view in listed {
            let listed_leaving = view.state == HostState::Leaving;
            let same = |row: &RunnerRow| row.name == view.name && row.address == view.address;
            let mut row = match previous.iter().position(same) {
                Some(index) => previous.swap_remove(index),
                None => self.new_row(view, hosts),
            };
            row.leaving |= listed_leaving;
            row.limit.set_hosts(hosts);
            self.rows.push(row);
        }
        self.rows
            .sort_by(|first, second| first.name.cmp(&second.name));
    }

    fn new_row(&self, view: &RunnerView, hosts: usize) -> RunnerRow {
        RunnerRow {
            name: view.name.clone(),
            address: view.address,
            leaving: false,
            in_flight: 0,
            limit: SlotLimit::new(self.policy, self.slots, hosts),
            failures: 0,
            ejections: 0,
            excluded_until: None,
        }
    }

    pub fn rows(&self) -> &[RunnerRow] {
        &self.rows
    }

    /// Chooses the less loaded of two random eligible runners and counts the request as in
    /// flight. Runners in `tried` are chosen only if no other is eligible.
    pub fn choose(
        &mut self,
        now: Instant,
        tried: &[ObjectName],
        random: &mut impl Rng,
    ) -> Option<RunnerRow> {
        let is_eligible = |row: &RunnerRow| row.is_eligible(now);
        let eligible: Vec<usize> =
            self.indices(|row| is_eligible(row) && !tried.contains(&row.name));
        let eligible = match eligible.is_empty() {
            true => self.indices(is_eligible),
            false => eligible,
        };
        if eligible.is_empty() {
            return None;
        }
        let first = eligible[random.random_range(0..eligible.len())];
        let second = eligible[random.random_range(0..eligible.len())];
        let index = match self.rows[second].in_flight < self.rows[first].in_flight {
            true => second,
            false => first,
        };
        self.rows[index].in_flight += 1;
        Some(self.rows[index].clone())
    }

    fn indices(&self, wanted: impl Fn(&RunnerRow) -> bool) -> Vec<usize> {
        let rows = self.rows.iter().enumerate();
        rows.filter(|(_, row)| wanted(row))
            .map(|(index, _)| index)
            .collect()
    }

    /// Counts a request as no longer in flight.
    pub fn release(&mut self, name: &ObjectName) {
        if let Some(row) = self.find_mut(name) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records how a request to a runner ended.
    pub fn record(&mut self, name: &ObjectName, event: RunnerEvent, now: Instant) {
        if let Some(row) = self.find_mut(name) {
            row.record(event, now);
        }
    }

    fn find_mut(&mut self, name: &ObjectName) -> Option<&mut RunnerRow> {
        let index = self.rows.binary_search_by(|row| row.name.cmp(name)).ok()?;
        Some(&mut self.rows[index])
    }
}

impl RunnerRow {
    fn is_eligible(&self, now: Instant) -> bool {
        let readmitted = self.excluded_until.is_none_or(|at| at <= now);
        // After an ejection the runner gets one request at a time until one succeeds.
        let limit = match self.failures >= EJECTION_FAILURES {
            true => 1,
            false => self.limit.limit(),
        };
        !self.leaving && readmitted && self.in_flight < limit
    }

    fn record(&mut self, event: RunnerEvent, now: Instant) {
        match event {
            RunnerEvent::Answered => {
                self.failures = 0;
                self.ejections = 0;
                self.limit.record_answer();
            }
            RunnerEvent::Busy => {
                self.limit.record_busy();
                self.excluded_until = Some(now + Duration::from_millis(BUSY_PAUSE_MS));
            }
            RunnerEvent::Leaving => self.leaving = true,
            RunnerEvent::Failed => self.record_failure(now),
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= EJECTION_FAILURES {
            let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
            self.excluded_until = Some(now + Duration::from_millis(EJECTION_MS << doublings));
            self.ejections += 1;
        }
    }
}
