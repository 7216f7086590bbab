//! Starts and stops the scheduler.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dropshot::{ConfigDropshot, HttpServer, ServerBuilder};
use eyre::{Report, eyre};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::daemons::call_count::CallCount;
use crate::daemons::context::{SchedulerContext, SharedContext};
use crate::daemons::host_registry::HostRegistry;
use crate::daemons::http_reply::server_logger;
use crate::daemons::membership::{poll_host_list, send_heartbeats};
use crate::daemons::peer_registry::PeerRegistry;
use crate::daemons::planner::run_planner;
use crate::daemons::scheduler_http::{SchedulerServer, scheduler_api};
use crate::daemons::snapshotter::run_snapshotter;
use crate::daemons::worker_controller::run_worker_controller;
use crate::journal::client::HttpLog;
use crate::journal::tail::{JournalStreams, JournalView, follow};
use crate::journal::writer::JournalWriter;
use crate::settings::scheduler::SchedulerSettings;
use crate::wire::http::HttpClient;

/// Largest body that the scheduler's HTTP interface takes, in bytes.
const BODY_MAX_BYTES: usize = 1_024;
/// Time to close connections once no call is under way, in ms.
const CLOSE_TIMEOUT_MS: u64 = 200;
/// Heartbeats that tell the peers of a shutdown before the process ends.
const SHUTDOWN_HEARTBEATS: u32 = 3;

/// A running scheduler.
pub struct SchedulerDaemon {
    context: SharedContext,
    server: HttpServer<SchedulerServer>,
    tasks: JoinSet<()>,
}

impl SchedulerDaemon {
    /// Starts the scheduler's tasks and its server.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(settings: SchedulerSettings, metrics: PrometheusHandle) -> Result<Self, Report> {
        let listen = settings.raw.listen;
        let context = new_context(settings);
        let mut tasks = JoinSet::new();
        let follower = context.clone();
        tasks.spawn(async move {
            let writer = follower.writer.clone();
            let (log, streams) = (follower.log.clone(), follower.streams.clone());
            follow(log, streams, follower.view.clone(), |step| {
                writer.resolve(step)
            })
            .await;
        });
        tasks.spawn(poll_host_list(context.clone()));
        tasks.spawn(send_heartbeats(context.clone()));
        tasks.spawn(run_planner(context.clone()));
        tasks.spawn(run_worker_controller(context.clone()));
        tasks.spawn(run_snapshotter(context.clone()));
        let server = start_server(listen, context.clone(), metrics)?;
        log::info!("scheduler: host {} listens on {listen}.", context.host());
        Ok(Self {
            context,
            server,
            tasks,
        })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Hands its work over and stops. Peers learn of it by the next heartbeats.
    pub async fn close(mut self) {
        self.context.draining.store(true, Ordering::Relaxed);
        log::info!("scheduler: shuts down.");
        let timing = &self.context.settings.timing;
        let end = Instant::now() + timing.drain;
        let notice = timing.heartbeat * SHUTDOWN_HEARTBEATS;
        tokio::time::sleep(notice.min(timing.drain)).await;
        while self.context.calls.count() > 0 && Instant::now() < end {
            tokio::time::sleep(timing.tick).await;
        }
        self.tasks.shutdown().await;
        // Peers keep their connections open for as long as they are let.
        let limit = Duration::from_millis(CLOSE_TIMEOUT_MS);
        let _ = tokio::time::timeout(limit, self.server.close()).await;
        log::info!("scheduler: has stopped.");
    }
}

fn new_context(settings: SchedulerSettings) -> SharedContext {
    let client = HttpClient::default();
    let raw = &settings.raw;
    let timing = &settings.timing;
    let log_address = raw.log_address.to_string();
    let log = HttpLog::new(client.clone(), &log_address, timing.append_timeout);
    let streams = JournalStreams {
        journal: raw.journal_stream.clone(),
        snapshots: raw.snapshot_stream.clone(),
    };
    let writer = JournalWriter::start(
        raw.host.clone(),
        rand::random(),
        log.clone(),
        streams.journal.clone(),
        timing.append_interval,
    );
    Arc::new(SchedulerContext {
        settings,
        client,
        log,
        streams,
        view: JournalView::default(),
        writer,
        hosts: HostRegistry::default(),
        peers: PeerRegistry::default(),
        draining: AtomicBool::new(false),
        calls: CallCount::default(),
        lost: Mutex::default(),
    })
}

fn start_server(
    listen: SocketAddr,
    context: SharedContext,
    metrics: PrometheusHandle,
) -> Result<HttpServer<SchedulerServer>, Report> {
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: BODY_MAX_BYTES,
        ..ConfigDropshot::default()
    };
    let api = scheduler_api().map_err(|error| eyre!("interface: {error}"))?;
    let server = SchedulerServer { context, metrics };
    ServerBuilder::new(api, server, server_logger())
        .config(config)
        .start()
        .map_err(|error| eyre!("listen on {listen}: {error}"))
}
