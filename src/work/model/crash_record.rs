//! Stored part of a unit's crash history: which runs were lost with which life of an upstream.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// One life of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLife {
    pub upstream: ObjectName,
    /// Address of its orders; none if unknown.
    pub address: Option<SocketAddr>,
    /// When it began, as the upstream reports it; 0 if unknown.
    pub incarnation: u64,
}

impl UpstreamLife {
    /// Returns whether this life has taken the place of an earlier one, under the same name or at
    /// the same address.
    pub fn follows(&self, earlier: &Self) -> bool {
        let same_address = self.address.is_some() && self.address == earlier.address;
        let same_place = self.upstream == earlier.upstream || same_address;
        same_place && earlier.incarnation != 0 && earlier.incarnation < self.incarnation
    }
}

/// A run that was lost with its upstream, which may have crashed or be cut off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossRecord {
    pub life: UpstreamLife,
    /// Whether the upstream had confirmed the run.
    pub started: bool,
}

/// Lost runs of one task of a unit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Index of the task in its unit.
    pub member: u32,
    /// Crashes of upstreams that had confirmed the run.
    pub proved: u32,
    /// Crashes of upstreams that had been sent the run and had not confirmed it.
    pub unproved: u32,
    /// Losses for which it is not known yet whether the upstream crashed.
    pub open: Vec<LossRecord>,
}

impl CrashRecord {
    /// Returns the number of lost runs.
    pub fn lost_runs(&self) -> u32 {
        self.proved + self.unproved + self.open.len() as u32
    }
}
