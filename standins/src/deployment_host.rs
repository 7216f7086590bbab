//! An entry host of a test deployment.

use std::net::SocketAddr;
use std::process::Child;

use eyre::Report;

use crate::process::free_address;

/// Daemons of one entry host.
pub struct DeploymentHost {
    /// Host name.
    pub name: String,
    /// Address of its scheduler.
    pub scheduler_address: SocketAddr,
    /// Address of its gateway.
    pub gateway_address: SocketAddr,
    /// Scheduler process; `None` before its start and once it was killed.
    pub scheduler: Option<Child>,
    /// Gateway process; `None` before its start, and once it was killed or waited for.
    pub gateway: Option<Child>,
}

impl DeploymentHost {
    /// Creates the host with free addresses; its daemons are not started.
    ///
    /// # Errors
    ///
    /// Returns an error if no address is free.
    pub fn new(index: usize) -> Result<Self, Report> {
        Ok(Self {
            name: format!("e{index}"),
            scheduler_address: free_address()?,
            gateway_address: free_address()?,
            scheduler: None,
            gateway: None,
        })
    }
}
