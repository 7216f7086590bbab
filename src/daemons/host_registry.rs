//! The platform's host list as last read, checked.

use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

use crate::journal::record::WorkerRecord;
use crate::tables::name::ObjectName;
use crate::tables::worker::WorkerState;
use crate::wire::log::{HostEntry, HostKind, HostListing, HostState};
use crate::wire::peer::RunnerView;

/// Log target under which operators filter these messages; the module's former path.
const LOG_TARGET: &str = "hemlockramp::daemons::host_book";

/// An entry host on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// Its name.
    pub name: ObjectName,
    /// Its scheduler's address.
    pub address: SocketAddr,
    /// Its state.
    pub state: HostState,
}

/// The list, by kind of host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostRoster {
    /// Entry hosts, sorted by name.
    pub entry: Vec<EntryHost>,
    /// Workers, sorted by name.
    pub workers: Vec<WorkerRecord>,
    /// Runners, sorted by name.
    pub runners: Vec<RunnerView>,
}

impl From<HostListing> for HostRoster {
    /// Entries that cannot be read are left out with a warning.
    fn from(listing: HostListing) -> Self {
        let mut roster = Self::default();
        for entry in &listing.hosts {
            if roster.add(entry).is_none() {
                log::warn!(target: LOG_TARGET, "hosts: entry {:?} cannot be read.", entry.name);
            }
        }
        roster
            .workers
            .sort_by(|one, other| one.name.cmp(&other.name));
        roster.entry.sort_by(|one, other| one.name.cmp(&other.name));
        roster
            .runners
            .sort_by(|one, other| one.name.cmp(&other.name));
        roster
    }
}

impl HostRoster {
    fn add(&mut self, entry: &HostEntry) -> Option<()> {
        let name = ObjectName::try_from(entry.name.as_str()).ok()?;
        let address: SocketAddr = entry.address.parse().ok()?;
        let state = entry.state;
        match entry.kind {
            HostKind::Entry => self.entry.push(EntryHost {
                name,
                address,
                state,
            }),
            HostKind::Runner => self.runners.push(RunnerView {
                name,
                address,
                state,
            }),
            HostKind::Worker => self.workers.push(WorkerRecord {
                name,
                domain: ObjectName::try_from(entry.failure_domain.as_str()).ok()?,
                rack: ObjectName::try_from(entry.rack.as_str()).ok()?,
                position: entry.position,
                accelerators: entry.accelerators,
                address,
                state: match state {
                    HostState::Live => WorkerState::Live,
                    HostState::Leaving => WorkerState::Leaving,
                },
            }),
        }
        Some(())
    }
}

/// The newest list read.
#[derive(Debug, Default)]
pub struct HostRegistry {
    roster: RwLock<Option<HostRoster>>,
}

impl HostRegistry {
    /// Replaces the list.
    pub fn replace(&self, roster: HostRoster) {
        let locked = self.roster.write();
        *locked.unwrap_or_else(PoisonError::into_inner) = Some(roster);
    }

    /// Returns the list; none before the first was read.
    pub fn roster(&self) -> Option<HostRoster> {
        let locked = self.roster.read();
        locked.unwrap_or_else(PoisonError::into_inner).clone()
    }
}
