//! Applies the decisions of the intake ledger to the connections of one listener.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use metrics::{Counter, Gauge};
use tokio::sync::Notify;

use crate::work::clock::steady_ms;
use crate::work::intake::ledger::{ConnectionId, EvictedConnection, IntakeFull, IntakeLedger};
use crate::work::intake::limits::IntakeLimits;

/// Shortest time between two log lines of a listener about connections that gave way, in ms.
const LOG_INTERVAL_MS: u64 = 1_000;
/// Interval at which a full listener checks whether a connection has stalled.
const STALL_POLL: Duration = Duration::from_millis(50);

/// Wakes a connection that has to give way.
#[derive(Debug, Default)]
struct EvictionSignal {
    /// Close the connection: no head has been read.
    close: Notify,
    /// Refuse the request whose body is being read, and close.
    refuse: Notify,
}

#[derive(Debug)]
struct GateState {
    ledger: IntakeLedger,
    /// In ascending order of the ids.
    signals: Vec<(ConnectionId, Arc<EvictionSignal>)>,
    logged_ms: u64,
}

/// What an operator sees of a listener's intake.
struct GateMetrics {
    connections: Gauge,
    held: Gauge,
    refused: Counter,
    evicted: Counter,
}

impl GateMetrics {
    fn new(listener: &'static str) -> Self {
        Self {
            connections: metrics::gauge!("hemlockramp_intake_connections", "listener" => listener),
            held: metrics::gauge!("hemlockramp_intake_held_bytes", "listener" => listener),
            refused: metrics::counter!("hemlockramp_intake_refused_total", "listener" => listener),
            evicted: metrics::counter!("hemlockramp_intake_evicted_total", "listener" => listener),
        }
    }
}

struct GateShared {
    listener: &'static str,
    state: Mutex<GateState>,
    /// Wakes the listener once a connection is closed.
    place_freed: Notify,
    metrics: GateMetrics,
}

impl GateShared {
    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self, state: &mut GateState, evicted: &[EvictedConnection], now_ms: u64) {
        for connection in evicted {
            let found = state
                .signals
                .binary_search_by_key(&connection.id, |row| row.0);
            let Ok(index) = found else { continue };
            let signal = &state.signals[index].1;
            match connection.was_receiving {
                true => signal.refuse.notify_one(),
                false => signal.close.notify_one(),
            }
        }
        self.metrics.evicted.increment(evicted.len() as u64);
        if !evicted.is_empty() {
            self.log(state, now_ms, "connections give way to others");
        }
    }

    fn refuse(&self, state: &mut GateState, now_ms: u64) {
        self.metrics.refused.increment(1);
        self.log(state, now_ms, "a connection or body was refused");
    }

    /// Writes a line at most once in `LOG_INTERVAL_MS`.
    fn log(&self, state: &mut GateState, now_ms: u64, event: &str) {
        if now_ms < state.logged_ms + LOG_INTERVAL_MS {
            return;
        }
        state.logged_ms = now_ms;
        log::info!(
            listener = self.listener, connections = state.ledger.connections(),
            closing = state.ledger.closing(), held_bytes = state.ledger.held_bytes();
            "intake: {event}."
        );
    }
}

/// The intake of one listener. Clones share it.
#[derive(Clone)]
pub struct IntakeGate {
    shared: Arc<GateShared>,
}

impl IntakeGate {
    /// Returns the intake of a listener; metrics and log lines show it as `listener`.
    pub fn new(listener: &'static str, limits: IntakeLimits) -> Self {
        let state = GateState {
            ledger: IntakeLedger::new(limits),
            signals: Vec::new(),
            logged_ms: 0,
        };
        let shared = GateShared {
            listener,
            state: Mutex::new(state),
            place_freed: Notify::new(),
            metrics: GateMetrics::new(listener),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Admits a new connection.
    ///
    /// # Errors
    ///
    /// Fails if there are too many connections and none of them gives way.
    pub fn open(&self) -> Result<ConnectionSlot, IntakeFull> {
        let now_ms = steady_ms();
        let mut state = self.shared.lock();
        let (id, evicted) = match state.ledger.open(now_ms) {
            Ok(opened) => opened,
            Err(full) => {
                self.shared.refuse(&mut state, now_ms);
                return Err(full);
            }
        };
        self.shared.notify(&mut state, evicted.as_slice(), now_ms);
        let signal = Arc::new(EvictionSignal::default());
        state.signals.push((id, Arc::clone(&signal)));
        let connections = state.ledger.connections();
        self.shared.metrics.connections.set(connections as f64);
        let slot = SlotInner {
            id,
            signal,
            shared: Arc::clone(&self.shared),
        };
        Ok(ConnectionSlot {
            inner: Arc::new(slot),
        })
    }

    /// Waits until a new connection would be admitted.
    pub async fn wait_place(&self) {
        while !self.shared.lock().ledger.has_place(steady_ms()) {
            let freed = self.shared.place_freed.notified();
            // A timeout is no failure: a connection may have stalled meanwhile.
            let _ = tokio::time::timeout(STALL_POLL, freed).await;
        }
    }

    /// Returns whether evicted connections have not been closed yet.
    pub fn is_closing(&self) -> bool {
        self.shared.lock().ledger.closing() > 0
    }

    /// Makes room for a few bodies of this size, however small the machine is.
    pub fn fit_bodies(&self, body_max_bytes: usize) {
        self.shared.lock().ledger.fit_bodies(body_max_bytes);
    }
}

struct SlotInner {
    id: ConnectionId,
    signal: Arc<EvictionSignal>,
    shared: Arc<GateShared>,
}

impl Drop for SlotInner {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.ledger.close(self.id);
        if let Ok(index) = state.signals.binary_search_by_key(&self.id, |row| row.0) {
            state.signals.remove(index);
        }
        let metrics = &self.shared.metrics;
        metrics.connections.set(state.ledger.connections() as f64);
        metrics.held.set(state.ledger.held_bytes() as f64);
        self.shared.place_freed.notify_one();
    }
}

/// The place of one connection in its listener's intake. It is given back, with all that the
/// connection holds, when the last clone is dropped.
#[derive(Clone)]
pub struct ConnectionSlot {
    inner: Arc<SlotInner>,
}

impl ConnectionSlot {
    /// Waits until the connection has to be closed; no head of a request has been read.
    pub async fn wait_close(&self) {
        self.inner.signal.close.notified().await;
    }

    /// Waits until the request whose body is being read has to be refused.
    pub async fn wait_refuse(&self) {
        self.inner.signal.refuse.notified().await;
    }

    /// Records that the head of a request with a body of at most `body_max_bytes` has been read.
    pub fn receive(&self, body_max_bytes: usize) {
        let mut state = self.inner.shared.lock();
        state.ledger.fit_bodies(body_max_bytes);
        state.ledger.receive(self.inner.id, steady_ms());
    }

    /// Records that a request has been read whole.
    pub fn serve(&self) {
        self.inner
            .shared
            .lock()
            .ledger
            .serve(self.inner.id, steady_ms());
    }

    /// Records that a request has been answered.
    pub fn rest(&self) {
        self.inner
            .shared
            .lock()
            .ledger
            .rest(self.inner.id, steady_ms());
    }

    /// Returns whether others may be waiting for the place of this connection.
    pub fn is_contended(&self) -> bool {
        let now_ms = steady_ms();
        self.inner.shared.lock().ledger.is_contended(now_ms)
    }

    /// Records that enough of a body has arrived to count as progress.
    pub fn progress(&self) {
        self.inner
            .shared
            .lock()
            .ledger
            .progress(self.inner.id, steady_ms());
    }

    /// Asks for room for more bytes.
    ///
    /// # Errors
    ///
    /// Fails if there is no room and nothing else gives way, or if this connection was evicted.
    pub fn grow(&self, bytes: usize) -> Result<(), IntakeFull> {
        let shared = &self.inner.shared;
        let now_ms = steady_ms();
        let mut state = shared.lock();
        let decision = state.ledger.grow(self.inner.id, bytes, now_ms);
        shared.notify(&mut state, &decision.evicted, now_ms);
        shared.metrics.held.set(state.ledger.held_bytes() as f64);
        if !decision.granted {
            shared.refuse(&mut state, now_ms);
            return Err(IntakeFull);
        }
        Ok(())
    }

    /// Gives back bytes.
    pub fn release(&self, bytes: usize) {
        let mut state = self.inner.shared.lock();
        state.ledger.release(self.inner.id, bytes);
        let held = state.ledger.held_bytes();
        self.inner.shared.metrics.held.set(held as f64);
    }
}
