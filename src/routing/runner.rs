//! Runners: which may be given a request, and which of two is chosen.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::routing::slots::{SlotLimit, SlotPolicy};
use crate::tables::name::ObjectName;
use crate::wire::log::HostState;
use crate::wire::peer::RunnerView;

/// Failures in a row after which a runner is left alone for a while.
const EJECTION_FAILURES: u32 = 5;
/// First time a failing runner is left alone, in ms; each further one doubles it.
const EJECTION_MS: u64 = 1_000;
/// Most doublings of that time.
const EJECTION_DOUBLINGS_MAX: u32 = 5;
/// Time a runner is passed over after a "busy" answer, in ms.
const BUSY_PAUSE_MS: u64 = 5;

/// One runner as this host sees it.
#[derive(Clone, Debug)]
pub struct RunnerRow {
    /// Its name.
    pub name: ObjectName,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it takes no new work: by the list or by its own signal.
    pub leaving: bool,
    /// Requests of this host that it works on.
    pub in_flight: usize,
    limit: SlotLimit,
    failures: u32,
    ejections: u32,
    excluded_until: Option<Instant>,
}

/// How a request to a runner went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A whole answer that is no server error.
    Answered,
    /// Refused: all its slots are taken.
    Busy,
    /// Refused: it is leaving.
    Leaving,
    /// No connection, no whole answer, or a server error.
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

    /// Takes over the host list. A runner's own signal that it leaves stays in force
    /// until the list drops it or gives it another address.
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

    /// Returns the rows.
    pub fn rows(&self) -> &[RunnerRow] {
        &self.rows
    }

    /// Chooses the less loaded of two random runners that may take a request, and
    /// counts the request. Runners in `tried` are taken only if no other may.
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

    /// Counts a request as over.
    pub fn release(&mut self, name: &ObjectName) {
        if let Some(row) = self.find_mut(name) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Takes note of how a request went.
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
        // After a pause for failures one request at a time tests the runner.
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
