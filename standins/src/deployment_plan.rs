//! Size and settings of a test deployment.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;

/// Command line that starts a daemon, without the settings file.
#[derive(Clone, Debug)]
pub struct DaemonCommand {
    /// Program, followed by the arguments that precede the settings file.
    pub words: Vec<OsString>,
}

/// Size and settings of a test deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Command that starts a scheduler.
    pub scheduler: DaemonCommand,
    /// Command that starts a gateway.
    pub gateway: DaemonCommand,
    /// Number of entry hosts, each with a scheduler and a gateway.
    pub hosts: usize,
    /// Number of workers: four to a rack, two racks to a failure domain.
    pub workers: usize,
    /// Number of runners.
    pub runners: usize,
    /// Overrides of the schedulers' `timing` settings.
    pub timing: Value,
    /// Overrides of the gateways' `requests` settings.
    pub requests: Value,
    /// Memory and descriptors of the daemons; keys that are left out have their defaults.
    pub machine: Value,
    /// Delay before a change of the host list becomes visible.
    pub list_lag: Duration,
    /// Directory of the daemons' settings files and logs.
    pub folder: PathBuf,
}
