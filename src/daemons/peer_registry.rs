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
    pub received_at: Instant,
}

/// All peers ever heard of, sorted by name.
#[derive(Debug, Default)]
pub struct PeerRegistry {
    rows: Mutex<Vec<PeerRow>>,
}

impl PeerRegistry {
    /// Notes a heartbeat.
    pub fn record(&self, heartbeat: HeartbeatMessage) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let row = PeerRow {
            heartbeat,
            received_at: Instant::now(),
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

    /// Returns the attempts that peers heard of within `timeout` find lost.
    pub fn lost(&self, timeout: Duration) -> Vec<AttemptRef> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let live = rows
            .iter()
            .filter(|row| row.received_at.elapsed() < timeout);
        live.flat_map(|row| row.heartbeat.lost.iter().cloned())
            .collect()
    }

    /// Returns whether a peer was heard of within `timeout` and is not shutting down.
    pub fn is_live(&self, host: &ObjectName, timeout: Duration) -> bool {
        let row = self.find(host);
        row.is_some_and(|row| row.received_at.elapsed() < timeout && !row.heartbeat.draining)
    }
}
