//! A listener whose connections are bounded.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::work::intake::gate::{ConnectionSlot, IntakeGate};
use crate::work::intake::limits::{IntakeLimits, MachineLimits, RECEIVE_BUFFER_BYTES};

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// A listener with its intake.
pub struct GuardedListener {
    listener: TcpListener,
    gate: IntakeGate,
}

impl GuardedListener {
    /// Binds an address. Must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr, name: &'static str, limits: IntakeLimits) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self::new(socket.listen(limits.backlog)?, name, limits))
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell it.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a listener with these bounds; metrics and log lines show it as `name`.
    pub fn new(listener: TcpListener, name: &'static str, limits: IntakeLimits) -> Self {
        // Accepted connections inherit the size. If it cannot be set they take the system's.
        let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        Self {
            listener,
            gate: IntakeGate::new(name, limits),
        }
    }

    /// Returns the listener's intake.
    pub fn gate(&self) -> &IntakeGate {
        &self.gate
    }

    /// Accepts the next connection. While there is no place for it, new connections wait in the
    /// backlog, in the order in which they came.
    pub async fn accept(&self) -> (TcpStream, ConnectionSlot) {
        loop {
            self.gate.wait_place().await;
            if self.gate.is_closing() {
                // Evicted connections are closed before others are accepted.
                tokio::task::yield_now().await;
            }
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let Ok(slot) = self.gate.open() else {
                        continue;
                    };
                    // A failure is ignored: without TCP_NODELAY responses are slower but correct.
                    let _ = stream.set_nodelay(true);
                    return (stream, slot);
                }
                Err(error) => {
                    log::warn!("intake: a connection could not be accepted; retrying: {error}.");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }
}

/// A listener for peers on a machine that names no limits.
impl From<TcpListener> for GuardedListener {
    fn from(listener: TcpListener) -> Self {
        Self::new(listener, "peers", MachineLimits::default().peer_intake())
    }
}
