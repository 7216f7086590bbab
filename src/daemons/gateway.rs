//! Start-up and graceful shutdown of the gateway daemon, and its calls to schedulers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::Report;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::daemons::gateway_http::GatewayEndpoints;
use crate::daemons::guarded_server::GuardedServer;
use crate::daemons::peer_link::PeerLink;
use crate::routing::admission::AdmissionTable;
use crate::routing::router::RequestRouter;
use crate::routing::verdict::{CallFailure, RunVerdict};
use crate::settings::gateway::GatewaySettings;
use crate::tables::name::ObjectName;
use crate::wire::peer::{PeerCall, PeerReply, RoutingView};
use crate::work::intake::parse_room::ParseRoom;

/// Age of the routing state from which on the readiness probe fails, in ms.
const ROUTING_MAX_AGE_MS: u64 = 3_000;
/// Time for which requests are still accepted after readiness is turned off, so that the load
/// balancer notices, in ms.
const DRAIN_NOTICE_MS: u64 = 1_000;

/// State shared by the gateway's endpoints.
pub struct GatewayContext {
    pub settings: GatewaySettings,
    /// Links to the schedulers; the one on this host comes first.
    pub schedulers: Vec<PeerLink>,
    /// Sends requests to runners.
    pub router: RequestRouter,
    /// Admission control of requests, by team.
    pub admission: AdmissionTable,
    /// Room for parsed JSON bodies.
    pub parse_room: ParseRoom,
    /// Renders the metrics as Prometheus text.
    pub metrics: PrometheusHandle,
    /// Whether this host is shutting down.
    pub draining: AtomicBool,
    /// Random number of this process; prefix of its request ids.
    pub instance_id: u64,
    /// Number of requests sent; suffix of the request ids.
    pub requests_sent: AtomicU64,
    /// Newest routing state and when it was read.
    routing: Mutex<Option<(RoutingView, Instant)>>,
}

/// Shared handle to the context.
pub type SharedGateway = Arc<GatewayContext>;

impl GatewayContext {
    /// Calls the scheduler on this host and fails over to the next one if it is unavailable.
    /// A call that may have run is retried on another scheduler only if it is idempotent.
    ///
    /// # Errors
    ///
    /// Returns the failure of the last scheduler tried; its verdict is "not run" only if no
    /// attempt can have run.
    pub async fn call(&self, call: PeerCall) -> Result<PeerReply, CallFailure> {
        let mut last = CallFailure::not_run(503, "no scheduler is set");
        let mut may_have_run = false;
        for link in &self.schedulers {
            let result = link.call(call.clone(), self.settings.call_timeout).await;
            let failure = match result {
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            let try_next = match failure.verdict {
                RunVerdict::NotRun => failure.status == 503,
                _ => is_idempotent(&call),
            };
            may_have_run |= failure.verdict != RunVerdict::NotRun;
            last = failure;
            if !try_next {
                break;
            }
        }
        if may_have_run && last.verdict == RunVerdict::NotRun {
            last.verdict = RunVerdict::MayHaveRun;
        }
        Err(last)
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let routing = self.routing.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = routing.as_ref().is_some_and(|(view, at)| {
            view.ready && at.elapsed() < Duration::from_millis(ROUTING_MAX_AGE_MS)
        });
        fresh && !self.draining.load(Ordering::Relaxed)
    }

    fn apply_routing(&self, view: RoutingView) {
        self.router.refresh(&view.runners, view.hosts);
        self.admission.refresh(&view.teams);
        let mut routing = self.routing.lock().unwrap_or_else(PoisonError::into_inner);
        *routing = Some((view, Instant::now()));
    }
}

/// Returns whether sending the call twice has the same effect as sending it once.
fn is_idempotent(call: &PeerCall) -> bool {
    !matches!(call, PeerCall::Intent(_))
}

/// Refreshes the routing state periodically; never returns.
async fn refresh_routing(gateway: SharedGateway) {
    let mut ticks = interval(gateway.settings.requests.refresh);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(view) = read_routing(&gateway).await {
            gateway.apply_routing(view);
        }
    }
}

/// Refreshes the routing state if `team` is unknown: a ticket accepted since the last refresh
/// may have created it.
pub async fn ensure_team_known(gateway: &SharedGateway, team: &ObjectName) {
    if !gateway.admission.has_team(team)
        && let Some(view) = read_routing(gateway).await
    {
        gateway.apply_routing(view);
    }
}

/// Returns the routing state of the first scheduler that reports itself ready.
async fn read_routing(gateway: &SharedGateway) -> Option<RoutingView> {
    let limit = gateway.settings.requests.refresh * 2;
    for link in &gateway.schedulers {
        let reply = link.call(PeerCall::Routing, limit).await;
        if let Ok(PeerReply::Routing(view)) = reply
            && view.ready
        {
            return Some(view);
        }
    }
    None
}

/// A running gateway.
pub struct GatewayDaemon {
    gateway: SharedGateway,
    server: GuardedServer,
    refresher: JoinHandle<()>,
}

impl GatewayDaemon {
    /// Starts the gateway's background task and its HTTP server.
    ///
    /// # Errors
    ///
    /// Returns an error if the listen address cannot be bound.
    pub fn start(settings: GatewaySettings, metrics: PrometheusHandle) -> Result<Self, Report> {
        let listen = settings.raw.listen;
        let addresses = settings.raw.schedulers.iter();
        let gateway = Arc::new(GatewayContext {
            schedulers: addresses.map(|address| PeerLink::start(*address)).collect(),
            router: RequestRouter::start(settings.requests.clone()),
            admission: AdmissionTable::new(settings.requests.queue_max),
            parse_room: ParseRoom::new(settings.machine.memory_bytes),
            metrics,
            draining: AtomicBool::new(false),
            instance_id: rand::random(),
            requests_sent: AtomicU64::new(0),
            routing: Mutex::new(None),
            settings,
        });
        let refresher = tokio::spawn(refresh_routing(Arc::clone(&gateway)));
        let endpoints = GatewayEndpoints {
            gateway: Arc::clone(&gateway),
        };
        let intake = gateway.settings.machine.caller_intake();
        let server = GuardedServer::start(listen, "gateway", intake, endpoints)?;
        log::info!(
            "gateway: host {} is listening on {listen}.",
            gateway.settings.raw.host
        );
        Ok(Self {
            gateway,
            server,
            refresher,
        })
    }

    /// Returns the address that the HTTP server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shuts down gracefully: fails the readiness probe, gives the load balancer time to notice,
    /// drains requests in flight up to the drain time-out, and stops.
    pub async fn close(self) {
        self.gateway.draining.store(true, Ordering::Relaxed);
        log::info!("gateway: shutting down, draining requests in flight.");
        let drain = self.gateway.settings.drain;
        let notice = Duration::from_millis(DRAIN_NOTICE_MS).min(drain);
        tokio::time::sleep(notice).await;
        if tokio::time::timeout(drain, self.server.close())
            .await
            .is_err()
        {
            log::warn!(
                "gateway: the drain timed out with requests still in flight; stopping anyway."
            );
        }
        self.refresher.abort();
        log::info!("gateway: stopped.");
    }
}
