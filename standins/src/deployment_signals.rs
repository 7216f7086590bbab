//! Signals to the daemons of a test deployment, and the ends that follow them.

use std::process::ExitStatus;

use eyre::{Report, eyre};

use crate::process::{kill, send_signal};
use crate::test_deployment::TestDeployment;

impl TestDeployment {
    /// Kills a scheduler with SIGKILL, to simulate a power failure.
    pub fn kill_scheduler(&mut self, index: usize) {
        kill(self.entries[index].scheduler.take());
    }

    /// Kills a gateway with SIGKILL, to simulate a power failure.
    pub fn kill_gateway(&mut self, index: usize) {
        kill(self.entries[index].gateway.take());
    }

    /// Suspends a scheduler process (SIGSTOP) or resumes it (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running or the signal cannot be sent.
    pub fn freeze_scheduler(&self, index: usize, frozen: bool) -> Result<(), Report> {
        let name = if frozen { "-STOP" } else { "-CONT" };
        send_signal(self.entries[index].scheduler.as_ref(), name)
    }

    /// Asks a gateway to shut down (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running or the signal cannot be sent.
    pub fn terminate_gateway(&self, index: usize) -> Result<(), Report> {
        send_signal(self.entries[index].gateway.as_ref(), "-TERM")
    }

    /// Asks a scheduler to shut down (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not running or the signal cannot be sent.
    pub fn terminate_scheduler(&self, index: usize) -> Result<(), Report> {
        send_signal(self.entries[index].scheduler.as_ref(), "-TERM")
    }

    /// Waits for a gateway's process to end.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway was not started or was killed.
    pub fn wait_gateway_end(&mut self, index: usize) -> Result<ExitStatus, Report> {
        let child = self.entries[index].gateway.take();
        Ok(child
            .ok_or_else(|| eyre!("gateway {index} is not running"))?
            .wait()?)
    }
}
