//! Idle connections to runners, probed so that silent ones are found.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::routing::connection::RunnerConnection;
use crate::routing::verdict::CallFailure;
use crate::settings::gateway::RequestSettings;

/// Time between two sweeps over the idle connections, in ms.
const SWEEP_INTERVAL_MS: u64 = 250;

struct IdleConnection {
    address: SocketAddr,
    connection: RunnerConnection,
    /// When it last carried an answer.
    last_response: Instant,
}

/// Idle connections of all runners. Cloning shares them.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    settings: Arc<RequestSettings>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: Arc<RequestSettings>) -> Self {
        Self {
            idle: Arc::default(),
            settings,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a connection that answered lately, or a new one.
    ///
    /// # Errors
    ///
    /// "Not run" when no connection can be made.
    pub async fn take(&self, address: SocketAddr) -> Result<RunnerConnection, CallFailure> {
        if let Some(connection) = self.take_fresh(address) {
            return Ok(connection);
        }
        let connect_timeout = self.settings.connect;
        RunnerConnection::open(address, connect_timeout, self.settings.body_max_bytes).await
    }

    /// The newest first, so that the others fall idle and are probed.
    fn take_fresh(&self, address: SocketAddr) -> Option<RunnerConnection> {
        let mut idle = self.lock();
        loop {
            let fresh = |row: &IdleConnection| {
                row.address == address && row.last_response.elapsed() < self.settings.probe_idle
            };
            let index = idle.iter().rposition(fresh)?;
            let row = idle.remove(index);
            if !row.connection.is_closed() {
                return Some(row.connection);
            }
        }
    }

    /// Gives back a connection that has just carried a whole answer.
    pub fn put(&self, address: SocketAddr, connection: RunnerConnection) {
        let mut idle = self.lock();
        let idle_count = idle.iter().filter(|row| row.address == address).count();
        if idle_count < self.settings.runner_connections && !connection.is_closed() {
            idle.push(IdleConnection {
                address,
                connection,
                last_response: Instant::now(),
            });
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.lock().len()
    }

    /// Probes idle connections for ever and drops those that stay silent.
    pub async fn sweep(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
            for row in self.take_stale() {
                tokio::spawn(self.clone().probe(row));
            }
        }
    }

    fn take_stale(&self) -> Vec<IdleConnection> {
        // Probed before it is too old to be used, so that a quiet pool stays warm.
        let probe_after = self.settings.probe_idle / 2;
        let mut idle = self.lock();
        let mut stale = Vec::new();
        let mut index = 0;
        while index < idle.len() {
            match idle[index].last_response.elapsed() >= probe_after {
                true => stale.push(idle.swap_remove(index)),
                false => index += 1,
            }
        }
        stale
    }

    async fn probe(self, mut row: IdleConnection) {
        if row.connection.probe(self.settings.probe).await {
            self.put(row.address, row.connection);
        } else {
            metrics::counter!("hemlockramp_connections_silent_total").increment(1);
            log::debug!(
                "pool: a connection to {} went silent and is dropped.",
                row.address
            );
        }
    }
}
