//! Pool of idle connections to runners, with health checks that find silent ones.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use crate::routing::connection::RunnerConnection;
use crate::routing::verdict::CallFailure;
use crate::settings::gateway::RequestSettings;

/// Time between two sweeps over the idle connections, in ms.
const SWEEP_INTERVAL_MS: u64 = 250;
/// Retry time sent to callers when too many requests have a connection, in ms.
const NO_PLACE_RETRY_MS: u64 = 1_000;

struct IdleConnection {
    address: SocketAddr,
    connection: RunnerConnection,
    /// When the connection last carried a response.
    last_response: Instant,
}

#[derive(Default)]
struct IdleState {
    /// In the order in which they became idle.
    rows: Vec<IdleConnection>,
    /// Number of connections that are being probed.
    probing: usize,
}

impl IdleState {
    /// Drops those that have been idle for longest, so that at most `connections_max` are open beside
    /// those of requests.
    fn trim(&mut self, connections_max: usize) {
        let rows_max = connections_max.saturating_sub(self.probing);
        let excess = self.rows.len().saturating_sub(rows_max);
        self.rows.drain(..excess);
    }
}

/// Idle connections to all runners, and places for requests, each of which may open one. Clones share
/// them.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleState>>,
    places: Arc<Semaphore>,
    settings: Arc<RequestSettings>,
}

/// Permission to have a connection to a runner; dropping it admits the next request.
pub struct ConnectionPlace {
    _permit: OwnedSemaphorePermit,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: Arc<RequestSettings>) -> Self {
        let places_max = settings.connections_max.min(Semaphore::MAX_PERMITS);
        Self {
            idle: Arc::default(),
            places: Arc::new(Semaphore::new(places_max)),
            settings,
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdleState> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a request may have a connection.
    ///
    /// # Errors
    ///
    /// "Not run" if too many requests have one until the deadline.
    pub async fn admit(&self, deadline: Instant) -> Result<ConnectionPlace, CallFailure> {
        let place = timeout_at(deadline, Arc::clone(&self.places).acquire_owned()).await;
        match place {
            Ok(Ok(permit)) => Ok(ConnectionPlace { _permit: permit }),
            _ => {
                let failure = CallFailure::not_run(503, "no connection was free in time");
                Err(failure.retry_after(NO_PLACE_RETRY_MS))
            }
        }
    }

    /// Takes a connection that carried a response recently, or opens a new one.
    ///
    /// # Errors
    ///
    /// "Not run" when no connection can be made.
    pub async fn take(&self, address: SocketAddr) -> Result<RunnerConnection, CallFailure> {
        if let Some(connection) = self.take_fresh(address) {
            return Ok(connection);
        }
        self.lock().trim(self.places.available_permits());
        let connect_timeout = self.settings.connect;
        RunnerConnection::open(address, connect_timeout, self.settings.body_max_bytes).await
    }

    /// Takes the most recently used connection, so that the others fall idle and are probed.
    fn take_fresh(&self, address: SocketAddr) -> Option<RunnerConnection> {
        let mut idle = self.lock();
        loop {
            let fresh = |row: &IdleConnection| {
                row.address == address && row.last_response.elapsed() < self.settings.probe_idle
            };
            let index = idle.rows.iter().rposition(fresh)?;
            let row = idle.rows.remove(index);
            if !row.connection.is_closed() {
                return Some(row.connection);
            }
        }
    }

    /// Puts a connection that has just carried a complete response back into the pool.
    pub fn put(&self, address: SocketAddr, connection: RunnerConnection) {
        let mut idle = self.lock();
        let same_address = idle.rows.iter().filter(|row| row.address == address);
        if same_address.count() < self.settings.runner_connections && !connection.is_closed() {
            idle.rows.push(IdleConnection {
                address,
                connection,
                last_response: Instant::now(),
            });
        }
        idle.trim(self.places.available_permits());
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.lock().rows.len()
    }

    /// Probes idle connections and drops those that do not answer. Never returns.
    pub async fn sweep(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
            for row in self.take_stale() {
                tokio::spawn(self.clone().probe(row));
            }
        }
    }

    fn take_stale(&self) -> Vec<IdleConnection> {
        // Probe a connection before it becomes too old to be used, so that the pool keeps
        // usable connections when there are few requests.
        let probe_after = self.settings.probe_idle / 2;
        let mut idle = self.lock();
        let mut stale = Vec::new();
        let mut index = 0;
        while index < idle.rows.len() {
            match idle.rows[index].last_response.elapsed() >= probe_after {
                true => stale.push(idle.rows.remove(index)),
                false => index += 1,
            }
        }
        idle.probing += stale.len();
        stale
    }

    async fn probe(self, mut row: IdleConnection) {
        let answers = row.connection.probe(self.settings.probe).await;
        self.lock().probing -= 1;
        if answers {
            self.put(row.address, row.connection);
        } else {
            metrics::counter!("hemlockramp_connections_silent_total").increment(1);
            log::debug!(
                "pool: a connection to {} did not answer a health check and is dropped.",
                row.address
            );
        }
    }
}
