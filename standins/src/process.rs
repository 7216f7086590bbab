//! Processes and ports of a stage's daemons.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};

use eyre::{Report, ensure, eyre};

/// First port given to a daemon.
const PORT_FIRST: u32 = 20_000;
/// Processes start to look for ports at this many places.
const PORT_STARTS: u32 = 100;
/// Ports between two such places.
const PORT_STRIDE: u32 = 100;
/// Ports tried before giving up.
const PORT_TRIES: u32 = 1_000;
/// Ports that this process has tried.
static PORT_NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address with whatever port is free when it is bound.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address for a daemon. The ports lie below those that the system
/// gives to outgoing connections, so that none is taken while its daemon is away.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_address() -> Result<SocketAddr, Report> {
    let first = PORT_FIRST + (std::process::id() % PORT_STARTS) * PORT_STRIDE;
    for _ in 0..PORT_TRIES {
        let step = PORT_NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + (first - PORT_FIRST + step) % (PORT_STARTS * PORT_STRIDE);
        let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port)?));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(eyre!("no free port"))
}

/// Sends a signal to a process.
///
/// # Errors
///
/// Fails when there is no such process or the signal cannot be sent.
pub fn send_signal(child: Option<&Child>, signal: &str) -> Result<(), Report> {
    let child = child.ok_or_else(|| eyre!("no such process"))?;
    let status = Command::new("kill")
        .arg(signal)
        .arg(child.id().to_string())
        .status()?;
    ensure!(status.success(), "kill {signal}");
    Ok(())
}

/// Ends a process as a power cut would.
pub fn kill(child: Option<Child>) {
    if let Some(mut child) = child {
        // It may have ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
}
