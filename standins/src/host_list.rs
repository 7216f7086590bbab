//! Fake host list of the platform. A change becomes visible only after a configured lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dropshot::{ApiDescription, HttpServer, RequestContext, TypedBody, endpoint};
use eyre::{Report, eyre};
use hemlockramp::daemons::http_reply::{HttpReply, json_reply, text_reply};
use hemlockramp::wire::log::HostListing;
use tokio::time::Instant;

use crate::fault::{FaultMode, FaultSetting, FaultSwitch};
use crate::server::start_server;

/// State of the fake host list.
#[derive(Default)]
pub struct HostList {
    /// All published lists, each with the time from which reads return it.
    versions: Mutex<Vec<ListVersion>>,
    /// Delay before a published list becomes visible.
    pub lag: Duration,
    /// Fault injected into reads.
    pub fault: FaultSwitch,
}

struct ListVersion {
    visible_from: Instant,
    listing: HostListing,
}

/// Host list shared by the endpoint handlers.
pub type SharedHosts = Arc<HostList>;

impl HostList {
    /// Creates an empty list whose changes become visible after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Replaces the list after the lag. The first list is visible at once.
    pub fn publish(&self, listing: HostListing) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let lag = match versions.is_empty() {
            true => Duration::ZERO,
            false => self.lag,
        };
        versions.push(ListVersion {
            visible_from: Instant::now() + lag,
            listing,
        });
    }

    /// Returns the newest list, even if it is not visible yet.
    pub fn newest(&self) -> HostListing {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions
            .last()
            .map_or_else(HostListing::default, |version| version.listing.clone())
    }

    fn visible(&self) -> HostListing {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let version = versions.iter().rfind(|version| version.visible_from <= now);
        version.map_or_else(HostListing::default, |version| version.listing.clone())
    }
}

/// Starts an HTTP server for the host list.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start_hosts(
    hosts: SharedHosts,
    listen: SocketAddr,
) -> Result<HttpServer<SharedHosts>, Report> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(get_hosts)
        .and_then(|()| api.register(post_hosts))
        .and_then(|()| api.register(post_fault));
    registered
        .map_err(|error| eyre!("cannot register the endpoints of the fake host list: {error}"))?;
    start_server(api, hosts, listen)
}

#[endpoint { method = GET, path = "/hosts" }]
async fn get_hosts(request: RequestContext<SharedHosts>) -> HttpReply {
    match request.context().fault.apply_before_effect().await {
        FaultMode::Down => text_reply(503, "the list is down".to_owned()),
        _ => json_reply(200, &request.context().visible()),
    }
}

#[endpoint { method = POST, path = "/hosts" }]
async fn post_hosts(
    request: RequestContext<SharedHosts>,
    body: TypedBody<HostListing>,
) -> HttpReply {
    request.context().publish(body.into_inner());
    text_reply(200, "set\n".to_owned())
}

#[endpoint { method = POST, path = "/fault" }]
async fn post_fault(
    request: RequestContext<SharedHosts>,
    body: TypedBody<FaultSetting>,
) -> HttpReply {
    request.context().fault.set(body.into_inner());
    text_reply(200, "set\n".to_owned())
}
