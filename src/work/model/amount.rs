//! Amounts of CPU, memory and accelerators.

use serde::{Deserialize, Serialize};

/// Number of core-seconds that one accelerator-second counts as when work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;
/// Parts of a whole in which cores and shares are counted.
const MILLI: u64 = 1_000;

/// Resources that a task needs or an upstream has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceAmount {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl ResourceAmount {
    /// Returns whether `need` fits into this amount.
    pub fn holds(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Returns the sum of two amounts.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the difference, saturating at zero for each resource.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns this amount multiplied by `count`.
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli * count,
            memory_mb: self.memory_mb * count,
            accelerators: self.accelerators * count,
        }
    }

    /// Returns `milli` thousandths of this amount.
    pub fn share(&self, milli: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli * milli / MILLI,
            memory_mb: self.memory_mb * milli / MILLI,
            accelerators: self.accelerators * milli / MILLI,
        }
    }

    /// Returns the minimum of two amounts for each resource.
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns how many tasks that each need `need` fit into this amount at once.
    pub fn fit_count(&self, need: &Self) -> u64 {
        let share = |have: u64, wanted: u64| have.checked_div(wanted).unwrap_or(u64::MAX);
        share(self.cpu_milli, need.cpu_milli)
            .min(share(self.memory_mb, need.memory_mb))
            .min(share(self.accelerators, need.accelerators))
    }

    /// Returns the amount as one figure in thousandths of a core, with an accelerator counted as
    /// `CORES_PER_ACCELERATOR` cores and memory ignored.
    pub fn weight_milli(&self) -> u64 {
        self.cpu_milli + self.accelerators * CORES_PER_ACCELERATOR * MILLI
    }

    /// Returns the dominant share: the largest share of any resource of `whole`, in thousandths.
    pub fn dominant_share(&self, whole: &Self) -> u64 {
        self.shares(whole).into_iter().fold(0, u64::max)
    }

    /// Returns the sum of the shares of each resource of `whole`, in thousandths.
    pub fn total_share(&self, whole: &Self) -> u64 {
        self.shares(whole).into_iter().sum()
    }

    fn shares(&self, whole: &Self) -> [u64; 3] {
        let share = |part: u64, all: u64| (part * MILLI).checked_div(all).unwrap_or(0);
        [
            share(self.cpu_milli, whole.cpu_milli),
            share(self.memory_mb, whole.memory_mb),
            share(self.accelerators, whole.accelerators),
        ]
    }
}
