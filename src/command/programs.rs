//! Binds the gateway and scheduler daemons to the command line that they share.

use eyre::Report;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::command::daemon::DaemonProgram;
use crate::daemons::gateway::GatewayDaemon;
use crate::daemons::scheduler::SchedulerDaemon;
use crate::settings::gateway::{GatewaySettings, RawGatewaySettings};
use crate::settings::scheduler::{RawSchedulerSettings, SchedulerSettings};

/// The `hemlockramp-gateway` program, which runs a [`GatewayDaemon`].
pub struct GatewayProgram;

impl DaemonProgram for GatewayProgram {
    type Raw = RawGatewaySettings;
    type Checked = GatewaySettings;
    type Daemon = GatewayDaemon;

    const NAME: &'static str = "hemlockramp-gateway";

    fn raw(settings: &GatewaySettings) -> RawGatewaySettings {
        settings.raw.clone()
    }

    async fn start(
        settings: GatewaySettings,
        metrics: PrometheusHandle,
    ) -> Result<GatewayDaemon, Report> {
        GatewayDaemon::start(settings, metrics)
    }

    async fn close(daemon: GatewayDaemon) {
        daemon.close().await;
    }
}

/// The `hemlockramp-scheduler` program, which runs a [`SchedulerDaemon`].
pub struct SchedulerProgram;

impl DaemonProgram for SchedulerProgram {
    type Raw = RawSchedulerSettings;
    type Checked = SchedulerSettings;
    type Daemon = SchedulerDaemon;

    const NAME: &'static str = "hemlockramp-scheduler";

    fn raw(settings: &SchedulerSettings) -> RawSchedulerSettings {
        settings.raw.clone()
    }

    async fn start(
        settings: SchedulerSettings,
        metrics: PrometheusHandle,
    ) -> Result<SchedulerDaemon, Report> {
        SchedulerDaemon::start(settings, metrics)
    }

    async fn close(daemon: SchedulerDaemon) {
        daemon.close().await;
    }
}
