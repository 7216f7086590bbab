//! Loopback addresses and process control for the daemons of a test deployment.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};

use eyre::{Report, WrapErr, ensure, eyre};

/// First port given to a daemon.
const PORT_FIRST: u16 = 20_000;
/// Bit set in the second octet of the daemons' loopback addresses, which keeps them apart from
/// 127.0.0.1, where other programs listen.
const PRIVATE_RANGE_BIT: u8 = 0x80;
/// Number of ports that this process has given out.
static PORT_NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns 127.0.0.1 with port 0, so that the system picks a free port when it is bound.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address that no other process uses. The IP address is derived from this
/// process's id, and each port is given out once.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, as when something listens there already.
pub fn free_address() -> Result<SocketAddr, Report> {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = [127, high | PRIVATE_RANGE_BIT, middle, low];
    let port = PORT_FIRST + PORT_NEXT.fetch_add(1, Ordering::Relaxed);
    let address = SocketAddr::from((ip, port));
    TcpListener::bind(address).wrap_err_with(|| format!("cannot bind {address}"))?;
    Ok(address)
}

/// Sends a signal to a process.
///
/// # Errors
///
/// Returns an error if `child` is `None` or the signal cannot be sent.
pub fn send_signal(child: Option<&Child>, signal: &str) -> Result<(), Report> {
    let child = child
        .ok_or_else(|| eyre!("cannot send {signal}: the process was not started or was killed"))?;
    signal_process(child.id(), signal)
}

/// Sends a signal to a process by its id.
///
/// # Errors
///
/// Fails if the signal cannot be sent.
pub fn signal_process(process: u32, signal: &str) -> Result<(), Report> {
    let status = Command::new("kill")
        .arg(signal)
        .arg(process.to_string())
        .status()?;
    ensure!(status.success(), "`kill {signal}` failed: {status}");
    Ok(())
}

/// Kills a process with SIGKILL and waits for its end.
pub fn kill(child: Option<Child>) {
    if let Some(mut child) = child {
        // The process may have ended already, so errors are ignored.
        let _ = child.kill();
        let _ = child.wait();
    }
}
