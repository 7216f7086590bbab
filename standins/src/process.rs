//! Processes and ports of a stage's daemons.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Report, WrapErr, ensure, eyre};

/// First port given to a daemon.
const PORT_FIRST: u16 = 20_000;
/// Bit of the IP number that keeps it apart from 127.0.0.1, where other programs listen.
const PRIVATE_RANGE_BIT: u8 = 0x80;
/// Ports that this process has given out.
static PORT_NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address with whatever port is free when it is bound.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address for a daemon, one that no other process uses: the IP number
/// is made from this process's id, and each port is given out once.
///
/// # Errors
///
/// Fails when something listens there already.
pub fn free_address() -> Result<SocketAddr, Report> {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = [127, high | PRIVATE_RANGE_BIT, middle, low];
    let port = PORT_FIRST + PORT_NEXT.fetch_add(1, Ordering::Relaxed);
    let address = SocketAddr::from((ip, port));
    TcpListener::bind(address).wrap_err_with(|| format!("bind {address}"))?;
    Ok(address)
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
