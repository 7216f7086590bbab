//! Starts and stops the gateway.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dropshot::{ConfigDropshot, HttpServer, ServerBuilder};
use eyre::{Report, eyre};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::daemons::gateway_http::gateway_api;
use crate::daemons::http_reply::server_logger;
use crate::daemons::peer_link::PeerLink;
use crate::routing::admission::AdmissionTable;
use crate::routing::router::RequestRouter;
use crate::routing::verdict::{CallFailure, RunVerdict};
use crate::settings::gateway::GatewaySettings;
use crate::tables::name::ObjectName;
use crate::wire::peer::{PeerCall, PeerReply, RoutingView};

/// Age above which the routing state no longer makes the gateway ready, in ms.
const ROUTING_MAX_AGE_MS: u64 = 3_000;
/// Time between "not ready" and the end of accepting, so that the balancer sees it, in ms.
const DRAIN_NOTICE_MS: u64 = 1_000;

/// What the gateway's endpoints share.
pub struct GatewayContext {
    /// Settings.
    pub settings: GatewaySettings,
    /// Links to schedulers, this host's own first.
    pub schedulers: Vec<PeerLink>,
    /// Sends requests to runners.
    pub router: RequestRouter,
    /// Admits requests by team.
    pub admission: AdmissionTable,
    /// Renders metrics.
    pub metrics: PrometheusHandle,
    /// Whether this host is shutting down.
    pub draining: AtomicBool,
    /// Random number of the process, part of its request ids.
    pub instance_id: u64,
    /// Requests sent so far.
    pub requests_sent: AtomicU64,
    /// Newest routing state and when it came.
    routing: Mutex<Option<(RoutingView, Instant)>>,
}

/// The context as it is passed around.
pub type SharedGateway = Arc<GatewayContext>;

impl GatewayContext {
    /// Calls a scheduler: this host's own, or the next one if that cannot be reached.
    /// What may have run is tried elsewhere only if a repeat changes nothing.
    ///
    /// # Errors
    ///
    /// The last scheduler's failure; "not run" only if no try can have run.
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

/// Returns whether sending the call twice changes nothing more than sending it once.
fn is_idempotent(call: &PeerCall) -> bool {
    !matches!(call, PeerCall::Intent(_))
}

/// Keeps the routing state fresh for ever.
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

/// Reads the routing state at once: a ticket accepted a moment ago may have made the team.
pub async fn ensure_team_known(gateway: &SharedGateway, team: &ObjectName) {
    if !gateway.admission.has_team(team)
        && let Some(view) = read_routing(gateway).await
    {
        gateway.apply_routing(view);
    }
}

/// Asks the schedulers in turn; the first one that is ready counts.
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
    server: HttpServer<SharedGateway>,
    refresher: JoinHandle<()>,
}

impl GatewayDaemon {
    /// Starts the gateway's tasks and its server.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn start(settings: GatewaySettings, metrics: PrometheusHandle) -> Result<Self, Report> {
        let listen = settings.raw.listen;
        let addresses = settings.raw.schedulers.iter();
        let gateway = Arc::new(GatewayContext {
            schedulers: addresses.map(|address| PeerLink::start(*address)).collect(),
            router: RequestRouter::start(settings.requests.clone()),
            admission: AdmissionTable::new(settings.requests.queue_max),
            metrics,
            draining: AtomicBool::new(false),
            instance_id: rand::random(),
            requests_sent: AtomicU64::new(0),
            routing: Mutex::new(None),
            settings,
        });
        let refresher = tokio::spawn(refresh_routing(Arc::clone(&gateway)));
        let server = start_server(listen, Arc::clone(&gateway))?;
        log::info!(
            "gateway: host {} listens on {listen}.",
            gateway.settings.raw.host
        );
        Ok(Self {
            gateway,
            server,
            refresher,
        })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Turns readiness off, waits for the balancer, finishes what is in flight, and stops.
    pub async fn close(self) {
        self.gateway.draining.store(true, Ordering::Relaxed);
        log::info!("gateway: shuts down.");
        let drain = self.gateway.settings.drain;
        let notice = Duration::from_millis(DRAIN_NOTICE_MS).min(drain);
        tokio::time::sleep(notice).await;
        if tokio::time::timeout(drain, self.server.close())
            .await
            .is_err()
        {
            log::warn!("gateway: requests were still in flight at the end of the drain.");
        }
        self.refresher.abort();
        log::info!("gateway: has stopped.");
    }
}

fn start_server(
    listen: SocketAddr,
    gateway: SharedGateway,
) -> Result<HttpServer<SharedGateway>, Report> {
    let config = ConfigDropshot {
        bind_address: listen,
        // The endpoints check their own limits, which tell the verdict.
        default_request_body_max_bytes: usize::MAX,
        ..ConfigDropshot::default()
    };
    let api = gateway_api().map_err(|error| eyre!("interface: {error}"))?;
    ServerBuilder::new(api, gateway, server_logger())
        .config(config)
        .start()
        .map_err(|error| eyre!("listen on {listen}: {error}"))
}
