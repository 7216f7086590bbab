//! Start-up and graceful shutdown of the scheduler daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::Report;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::daemons::call_count::CallCount;
use crate::daemons::context::{SchedulerContext, SharedContext};
use crate::daemons::guarded_server::GuardedServer;
use crate::daemons::host_registry::HostRegistry;
use crate::daemons::membership::{poll_host_list, send_heartbeats};
use crate::daemons::peer_registry::PeerRegistry;
use crate::daemons::planner::run_planner;
use crate::daemons::scheduler_http::SchedulerServer;
use crate::daemons::snapshotter::run_snapshotter;
use crate::daemons::worker_controller::run_worker_controller;
use crate::journal::client::HttpLog;
use crate::journal::tail::{JournalStreams, JournalView, follow};
use crate::journal::writer::JournalWriter;
use crate::settings::scheduler::SchedulerSettings;
use crate::wire::http::HttpClient;

/// Time-out for closing the HTTP server once no call is in flight, in ms.
const CLOSE_TIMEOUT_MS: u64 = 200;
/// Heartbeat intervals to wait on shutdown, so that the peers learn that this host is draining.
const SHUTDOWN_HEARTBEATS: u32 = 3;

/// A running scheduler.
pub struct SchedulerDaemon {
    context: SharedContext,
    server: GuardedServer,
    tasks: JoinSet<()>,
}

impl SchedulerDaemon {
    /// Starts the scheduler's background tasks and its HTTP server.
    ///
    /// # Errors
    ///
    /// Returns an error if the listen address cannot be bound.
    pub fn start(settings: SchedulerSettings, metrics: PrometheusHandle) -> Result<Self, Report> {
        let listen = settings.raw.listen;
        let context = new_context(settings);
        let mut tasks = JoinSet::new();
        let follower = context.clone();
        tasks.spawn(async move {
            let writer = follower.writer.clone();
            let (log, streams) = (follower.log.clone(), follower.streams.clone());
            follow(log, streams, follower.view.clone(), |result| {
                writer.resolve(result)
            })
            .await;
        });
        tasks.spawn(poll_host_list(context.clone()));
        tasks.spawn(send_heartbeats(context.clone()));
        tasks.spawn(run_planner(context.clone()));
        tasks.spawn(run_worker_controller(context.clone()));
        tasks.spawn(run_snapshotter(context.clone()));
        let endpoints = SchedulerServer {
            context: context.clone(),
            metrics,
        };
        let intake = context.settings.machine.peer_intake();
        let server = GuardedServer::start(listen, "scheduler", intake, endpoints)?;
        log::info!(
            "scheduler: host {} is listening on {listen}.",
            context.host()
        );
        Ok(Self {
            context,
            server,
            tasks,
        })
    }

    /// Returns the address that the HTTP server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shuts down gracefully: announces the drain in the next heartbeats, so that peers take
    /// over its work, waits for calls in flight up to the drain time-out, and stops.
    pub async fn close(mut self) {
        self.context.draining.store(true, Ordering::Relaxed);
        log::info!("scheduler: shutting down, draining calls in flight.");
        let timing = &self.context.settings.timing;
        let end = Instant::now() + timing.drain;
        let notice = timing.heartbeat * SHUTDOWN_HEARTBEATS;
        tokio::time::sleep(notice.min(timing.drain)).await;
        while self.context.calls.count() > 0 && Instant::now() < end {
            tokio::time::sleep(timing.tick).await;
        }
        self.tasks.shutdown().await;
        // Peers keep their connections open until the server closes them, so waiting is bounded.
        let limit = Duration::from_millis(CLOSE_TIMEOUT_MS);
        let _ = tokio::time::timeout(limit, self.server.close()).await;
        log::info!("scheduler: stopped.");
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
