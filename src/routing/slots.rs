//! How many of a runner's slots this host may use, with no coordinator.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Answers without a "busy" after which a borrowing share grows by one.
const GROW_AFTER_ANSWERS: u32 = 16;

/// How a runner's slots are shared by the entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum SlotPolicy {
    /// Slots divided by hosts, at least one.
    FixedShare,
    /// All slots; the runner's "busy" answer decides.
    BusyAnswers,
    /// Starts at the fixed share, grows while not refused, halves on "busy".
    BorrowingShare,
}

/// The limit for one runner.
#[derive(Clone, Debug)]
pub struct SlotLimit {
    policy: SlotPolicy,
    slots: usize,
    hosts: usize,
    limit: usize,
    answers: u32,
}

impl SlotLimit {
    /// Creates a limit for a runner with `slots` slots and `hosts` entry hosts.
    pub fn new(policy: SlotPolicy, slots: usize, hosts: usize) -> Self {
        let mut limit = Self {
            policy,
            slots,
            hosts: 0,
            limit: 0,
            answers: 0,
        };
        limit.set_hosts(hosts);
        limit
    }

    /// Takes note of the number of live entry hosts.
    pub fn set_hosts(&mut self, hosts: usize) {
        if self.hosts == hosts {
            return;
        }
        self.hosts = hosts;
        self.limit = match self.policy {
            SlotPolicy::BusyAnswers => self.slots,
            _ => self.share(),
        };
    }

    fn share(&self) -> usize {
        (self.slots / self.hosts.max(1)).max(1)
    }

    /// Returns how many requests may be in flight.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Takes note of an answer that was not "busy".
    pub fn record_answer(&mut self) {
        self.answers += 1;
        let grow = self.policy == SlotPolicy::BorrowingShare && self.answers >= GROW_AFTER_ANSWERS;
        if grow {
            self.answers = 0;
            self.limit = (self.limit + 1).min(self.slots);
        }
    }

    /// Takes note of a "busy" answer.
    pub fn record_busy(&mut self) {
        self.answers = 0;
        if self.policy == SlotPolicy::BorrowingShare {
            self.limit = (self.limit / 2).max(1);
        }
    }
}
