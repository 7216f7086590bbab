//! Pure decisions on who is admitted to a listener, and who gives way when it is full.
//!
//! The load that they answer: more connections or larger bodies at once than the machine has room
//! for, most of them short of their end. A connection that has stalled gives way to one that
//! progresses. Where none has stalled, the one that holds most gives way to one that holds less.
//! What has been read whole is never evicted.

use crate::work::intake::limits::IntakeLimits;

/// Time without progress after which a connection counts as stalled, in ms.
pub const STALL_MS: u64 = 500;
/// Time for which places count as contended after the last one was taken, in ms.
const CONTENDED_MS: u64 = 1_000;
/// Share of the room for bytes that only connections which hold nothing yet may use, as a divisor.
const SMALL_BODY_DIVISOR: usize = 4;
/// Factor by which the bytes of evicted connections that are not closed yet may exceed the bound.
const CLOSING_FACTOR: usize = 2;
/// Number of the largest bodies that there is always room for.
const LARGEST_BODIES: usize = 2;

/// Number of a connection to a listener; never used twice.
pub type ConnectionId = u64;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// No head has been read whole since the connection was opened or last answered.
    Waiting,
    /// The head of a request has been read, its body not yet.
    Receiving,
    /// A request has been read whole and waits for its answer.
    Serving,
    /// Evicted, and not closed yet.
    Evicted,
}

#[derive(Clone, Debug)]
struct ConnectionRow {
    id: ConnectionId,
    phase: ConnectionPhase,
    /// Whether a request has been answered on it.
    answered: bool,
    held_bytes: usize,
    /// When it was opened, last progressed or was last answered, in steady ms.
    progressed_ms: u64,
}

impl ConnectionRow {
    fn has_stalled(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.progressed_ms) >= STALL_MS
    }

    /// Returns whether it can be closed with nothing lost but an unfinished request.
    fn can_close(&self) -> bool {
        matches!(
            self.phase,
            ConnectionPhase::Waiting | ConnectionPhase::Receiving
        )
    }

    /// Orders connections by who gives way first when there are too many.
    fn close_order(&self) -> (bool, u64) {
        let idle = self.phase == ConnectionPhase::Waiting && self.answered;
        (idle, self.progressed_ms)
    }
}

/// A connection that gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictedConnection {
    /// The connection's number.
    pub id: ConnectionId,
    /// Whether the head of its request was read, so that a refusal can be sent.
    pub was_receiving: bool,
}

/// Decision on room for more bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrowDecision {
    /// Whether the room is granted.
    pub granted: bool,
    /// Connections that give way, also if that was not enough.
    pub evicted: Vec<EvictedConnection>,
}

/// There is no room, and nothing else gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeFull;

/// Connections of one listener and the bytes that they hold.
#[derive(Clone, Debug)]
pub struct IntakeLedger {
    limits: IntakeLimits,
    /// In ascending order of the ids.
    rows: Vec<ConnectionRow>,
    last_id: ConnectionId,
    /// Bytes held by connections that are not evicted.
    held_bytes: usize,
    /// Number of connections that are evicted and not closed yet.
    evicted: usize,
    /// Bytes that they hold.
    evicted_bytes: usize,
    /// When the last place was taken, steady ms; none if that never happened.
    full_ms: Option<u64>,
}

impl IntakeLedger {
    /// Returns the ledger of a listener without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            rows: Vec::new(),
            last_id: 0,
            held_bytes: 0,
            evicted: 0,
            evicted_bytes: 0,
            full_ms: None,
        }
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of connections, evicted ones included until they are closed.
    pub fn connections(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of evicted connections that are not closed yet.
    pub fn closing(&self) -> usize {
        self.evicted
    }

    /// Returns whether others may be waiting for a place: all have been taken a short time ago. A
    /// place that has just become free is not enough for all that wait.
    pub fn is_contended(&self, now_ms: u64) -> bool {
        let since_full = |full_ms: u64| now_ms.saturating_sub(full_ms);
        self.full_ms
            .is_some_and(|full_ms| since_full(full_ms) < CONTENDED_MS)
    }

    fn is_full(&self) -> bool {
        self.rows.len() - self.evicted >= self.limits.connections_max
    }

    /// Returns whether a new connection would be admitted.
    pub fn has_place(&self, now_ms: u64) -> bool {
        self.rows.len() < self.limits.sockets_max()
            && (!self.is_full() || self.stalled(now_ms).is_some())
    }

    /// Makes room for a few bodies of the largest legal size, however small the machine is.
    pub fn fit_bodies(&mut self, body_max_bytes: usize) {
        let needed = body_max_bytes.saturating_mul(LARGEST_BODIES);
        self.limits.held_max_bytes = self.limits.held_max_bytes.max(needed);
    }

    /// Admits a new connection; a stalled or idle one may have to give way.
    ///
    /// # Errors
    ///
    /// Fails if there are too many connections and none of them gives way.
    pub fn open(
        &mut self,
        now_ms: u64,
    ) -> Result<(ConnectionId, Option<EvictedConnection>), IntakeFull> {
        if self.rows.len() >= self.limits.sockets_max() {
            return Err(IntakeFull);
        }
        let evicted = match self.is_full() {
            true => Some(self.evict_connection(now_ms)?),
            false => None,
        };
        self.last_id += 1;
        self.rows.push(ConnectionRow {
            id: self.last_id,
            phase: ConnectionPhase::Waiting,
            answered: false,
            held_bytes: 0,
            progressed_ms: now_ms,
        });
        if self.is_full() {
            self.full_ms = Some(now_ms);
        }
        Ok((self.last_id, evicted))
    }

    /// Records that the head of a request has been read and its body follows.
    pub fn receive(&mut self, id: ConnectionId, now_ms: u64) {
        self.enter(id, ConnectionPhase::Receiving, now_ms);
    }

    /// Records that a request has been read whole.
    pub fn serve(&mut self, id: ConnectionId, now_ms: u64) {
        self.enter(id, ConnectionPhase::Serving, now_ms);
    }

    /// Records that a request has been answered.
    pub fn rest(&mut self, id: ConnectionId, now_ms: u64) {
        self.enter(id, ConnectionPhase::Waiting, now_ms);
        if let Some(row) = self.row(id) {
            row.answered = true;
        }
    }

    /// Records that enough has arrived to count as progress.
    pub fn progress(&mut self, id: ConnectionId, now_ms: u64) {
        if let Some(row) = self.row(id) {
            row.progressed_ms = now_ms;
        }
    }

    /// Decides on room for more bytes of a body. An evicted connection is granted none.
    pub fn grow(&mut self, id: ConnectionId, bytes: usize, now_ms: u64) -> GrowDecision {
        let mut decision = GrowDecision::default();
        let Some(index) = self.index(id) else {
            return decision;
        };
        if self.rows[index].phase == ConnectionPhase::Evicted {
            return decision;
        }
        let in_use = self.held_bytes + self.evicted_bytes;
        if in_use + bytes > self.limits.held_max_bytes * CLOSING_FACTOR {
            return decision;
        }
        let held = self.rows[index].held_bytes;
        while self.held_bytes + bytes > self.room(held) {
            let Some(victim) = self.holder_to_evict(id, held + bytes, now_ms) else {
                return decision;
            };
            decision.evicted.push(self.evict(victim));
        }
        self.rows[index].held_bytes += bytes;
        self.held_bytes += bytes;
        decision.granted = true;
        decision
    }

    /// Gives back bytes that a connection holds.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(index) = self.index(id) {
            let row = &mut self.rows[index];
            let released = bytes.min(row.held_bytes);
            row.held_bytes -= released;
            match row.phase {
                ConnectionPhase::Evicted => self.evicted_bytes -= released,
                _ => self.held_bytes -= released,
            }
        }
    }

    /// Removes a closed connection with all that it holds.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(index) = self.index(id) {
            let row = self.rows.remove(index);
            match row.phase {
                ConnectionPhase::Evicted => {
                    self.evicted -= 1;
                    self.evicted_bytes -= row.held_bytes;
                }
                _ => self.held_bytes -= row.held_bytes,
            }
        }
    }

    /// Returns how many bytes may be held for a connection that holds `held` bytes to get more.
    fn room(&self, held: usize) -> usize {
        let most = self.limits.held_max_bytes;
        match held {
            0 => most,
            _ => most - most / SMALL_BODY_DIVISOR,
        }
    }

    /// Returns the index of the connection that gives way first when there are too many.
    fn stalled(&self, now_ms: u64) -> Option<usize> {
        let rows = self.rows.iter().enumerate();
        let stalled = rows.filter(|(_, row)| row.can_close() && row.has_stalled(now_ms));
        let victim = stalled.min_by_key(|(_, row)| row.close_order());
        victim.map(|(index, _)| index)
    }

    fn evict_connection(&mut self, now_ms: u64) -> Result<EvictedConnection, IntakeFull> {
        let index = self.stalled(now_ms).ok_or(IntakeFull)?;
        Ok(self.evict(index))
    }

    /// Chooses who gives way to a connection that would hold `wanted` bytes: the body that has
    /// stalled for longest, or else the one that holds most, if it holds more.
    fn holder_to_evict(&self, id: ConnectionId, wanted: usize, now_ms: u64) -> Option<usize> {
        let holders = || {
            self.rows.iter().enumerate().filter(|(_, row)| {
                row.id != id && row.phase == ConnectionPhase::Receiving && row.held_bytes > 0
            })
        };
        let stalled = holders().filter(|(_, row)| row.has_stalled(now_ms));
        let longest = stalled.min_by_key(|(_, row)| row.progressed_ms);
        let largest = || {
            let largest = holders().max_by_key(|(_, row)| row.held_bytes);
            largest.filter(|(_, row)| row.held_bytes > wanted)
        };
        longest.or_else(largest).map(|(index, _)| index)
    }

    fn evict(&mut self, index: usize) -> EvictedConnection {
        let row = &mut self.rows[index];
        let was_receiving = row.phase == ConnectionPhase::Receiving;
        row.phase = ConnectionPhase::Evicted;
        self.held_bytes -= row.held_bytes;
        self.evicted_bytes += row.held_bytes;
        self.evicted += 1;
        EvictedConnection {
            id: row.id,
            was_receiving,
        }
    }

    fn enter(&mut self, id: ConnectionId, phase: ConnectionPhase, now_ms: u64) {
        if let Some(row) = self.row(id)
            && row.phase != ConnectionPhase::Evicted
        {
            row.phase = phase;
            row.progressed_ms = now_ms;
        }
    }

    fn index(&self, id: ConnectionId) -> Option<usize> {
        self.rows.binary_search_by_key(&id, |row| row.id).ok()
    }

    fn row(&mut self, id: ConnectionId) -> Option<&mut ConnectionRow> {
        self.index(id).map(|index| &mut self.rows[index])
    }
}
