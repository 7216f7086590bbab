//! What all parts of the scheduler share.

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

/// Shared by the scheduler's tasks.
pub struct SchedulerContext {
    /// Settings.
    pub settings: SchedulerSettings,
    /// HTTP client.
    pub client: HttpClient,
    /// The log.
    pub log: HttpLog,
    /// Streams.
    pub streams: JournalStreams,
    /// Folded state.
    pub view: JournalView,
    /// Appends records.
    pub writer: JournalWriter,
    /// Host list.
    pub hosts: HostRegistry,
    /// Other entry hosts.
    pub peers: PeerRegistry,
    /// Whether this host is shutting down.
    pub draining: AtomicBool,
    /// Calls under way.
    pub calls: CallCount,
    /// Attempts that this host's keeper finds lost, sorted.
    pub lost: Mutex<Vec<AttemptRef>>,
}

/// The context as it is passed around.
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

    /// Returns whether the state is folded up to the log's end, as far as is known.
    pub fn is_current(&self) -> bool {
        self.view.status() == TailStatus::Current
    }

    /// Returns whether calls can be served.
    pub fn is_ready(&self) -> bool {
        self.is_current() && self.hosts.roster().is_some() && !self.is_draining()
    }

    /// Returns this host's account of itself.
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

    /// Notes which attempts this host's keeper finds lost.
    pub fn set_lost(&self, lost: Vec<AttemptRef>) {
        *self.lost.lock().unwrap_or_else(PoisonError::into_inner) = lost;
    }

    /// Returns the attempts that any live host finds lost, sorted; none while the log
    /// answers, since it then decides.
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

    /// Returns the names of the entry hosts believed live, sorted; always with this one
    /// unless it is shutting down.
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

    /// Returns whether this host should try for a subject.
    pub fn owns(&self, subject: &str, live: &[ObjectName]) -> bool {
        rendezvous_owner(subject, live) == Some(self.host())
    }
}
