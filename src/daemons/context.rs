//! State shared by the scheduler's tasks: settings, clients, folded journal and membership.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::daemons::call_count::CallCount;
use crate::daemons::host_registry::HostRegistry;
use crate::daemons::peer_registry::PeerRegistry;
use crate::journal::client::HttpLog;
use crate::journal::record::AttemptRef;
use crate::journal::tail::{JournalStreams, JournalView, TailStatus};
use crate::journal::writer::JournalWriter;
use crate::settings::scheduler::SchedulerSettings;
use crate::systems::rendezvous::rendezvous_owner;
use crate::tables::name::ObjectName;
use crate::wire::http::HttpClient;
use crate::wire::peer::HeartbeatMessage;

/// State shared by the scheduler's tasks.
pub struct SchedulerContext {
    pub settings: SchedulerSettings,
    pub client: HttpClient,
    /// Client of the log service that stores the journal.
    pub log: HttpLog,
    /// Names of the log's journal and snapshot streams.
    pub streams: JournalStreams,
    /// State folded from the journal.
    pub view: JournalView,
    /// Appends records to the journal.
    pub writer: JournalWriter,
    /// The platform's host list as last read.
    pub hosts: HostRegistry,
    /// Newest heartbeats of the other entry hosts.
    pub peers: PeerRegistry,
    /// Whether this host is shutting down.
    pub draining: AtomicBool,
    /// Calls in flight, which a shutdown waits for.
    pub calls: CallCount,
    /// Attempts that this host's worker controller considers lost, sorted.
    pub lost: Mutex<Vec<AttemptRef>>,
}

/// Shared handle to the context.
pub type SharedContext = Arc<SchedulerContext>;

impl SchedulerContext {
    /// Returns this host's name.
    pub fn host(&self) -> &ObjectName {
        &self.settings.raw.host
    }

    /// Returns whether this host is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether the state was folded up to the log's end at the last successful read.
    pub fn is_current(&self) -> bool {
        self.view.status() == TailStatus::Current
    }

    /// Returns whether calls can be served.
    pub fn is_ready(&self) -> bool {
        self.is_current() && self.hosts.roster().is_some() && !self.is_draining()
    }

    /// Returns the heartbeat that this host sends to its peers.
    pub fn heartbeat(&self) -> HeartbeatMessage {
        let state = self.view.state();
        HeartbeatMessage {
            host: self.host().clone(),
            folded: state.next_offset,
            ticket: state.tickets.highest,
            draining: self.is_draining(),
            lost: self.lost_attempts(),
        }
    }

    fn lost_attempts(&self) -> Vec<AttemptRef> {
        let lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        lost.clone()
    }

    /// Replaces the attempts that this host's worker controller considers lost.
    pub fn set_lost(&self, lost: Vec<AttemptRef>) {
        *self.lost.lock().unwrap_or_else(PoisonError::into_inner) = lost;
    }

    /// Returns the attempts that any live host considers lost, sorted. Empty while the log
    /// responds, because losses are then decided through the journal.
    pub fn lost_without_log(&self) -> Vec<AttemptRef> {
        let silence = self.view.time_since_read().unwrap_or_default();
        if silence < self.settings.timing.lost_after {
            return Vec::new();
        }
        let mut lost = self.lost_attempts();
        lost.extend(self.peers.lost(self.settings.timing.peer_dead));
        lost.sort();
        lost.dedup();
        lost
    }

    /// Returns the names of the entry hosts that the failure detector considers live, sorted.
    /// Includes this host unless it is shutting down.
    pub fn live_hosts(&self) -> Vec<ObjectName> {
        let peer_timeout = self.settings.timing.peer_dead;
        let listed = self
            .hosts
            .roster()
            .map_or(Vec::new(), |roster| roster.entry);
        let peers = listed.into_iter().map(|entry| entry.name);
        let mut live: Vec<ObjectName> = peers
            .filter(|name| name != self.host() && self.peers.is_live(name, peer_timeout))
            .collect();
        if !self.is_draining() {
            live.push(self.host().clone());
        }
        live.sort();
        live
    }

    /// Returns whether rendezvous hashing over the `live` hosts assigns `subject` to this host.
    pub fn owns(&self, subject: &str, live: &[ObjectName]) -> bool {
        rendezvous_owner(subject, live) == Some(self.host())
    }
}
