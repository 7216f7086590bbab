//! What this host knows of the other entry hosts.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::journal::record::AttemptRef;
use crate::tables::name::ObjectName;
use crate::wire::peer::HeartbeatMessage;

/// One peer.
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Its newest heartbeat.
    pub heartbeat: HeartbeatMessage,
    /// When that came.
    pub heard: Instant,
}

/// All peers ever heard of, sorted by name.
#[derive(Debug, Default)]
pub struct PeerBook {
    rows: Mutex<Vec<PeerRow>>,
}

impl PeerBook {
    /// Notes a heartbeat.
    pub fn note(&self, heartbeat: HeartbeatMessage) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let row = PeerRow {
            heartbeat,
            heard: Instant::now(),
        };
        match rows.binary_search_by(|old| old.heartbeat.host.cmp(&row.heartbeat.host)) {
            Ok(index) => rows[index] = row,
            Err(index) => rows.insert(index, row),
        }
    }

    /// Returns the newest row of a peer.
    pub fn find(&self, host: &ObjectName) -> Option<PeerRow> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let found = rows.binary_search_by(|row| row.heartbeat.host.cmp(host));
        found.ok().map(|index| rows[index].clone())
    }

    /// Returns the attempts that peers heard of within `dead` find lost.
    pub fn lost(&self, dead: Duration) -> Vec<AttemptRef> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let live = rows.iter().filter(|row| row.heard.elapsed() < dead);
        live.flat_map(|row| row.heartbeat.lost.iter().cloned())
            .collect()
    }

    /// Returns whether a peer was heard of within `dead` and is not shutting down.
    pub fn is_live(&self, host: &ObjectName, dead: Duration) -> bool {
        let row = self.find(host);
        row.is_some_and(|row| row.heard.elapsed() < dead && !row.heartbeat.draining)
    }
}
