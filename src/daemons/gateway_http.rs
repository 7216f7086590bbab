//! HTTP endpoints of the gateway for callers and operators.

use http::Method;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::daemons::cancel_body::CancelBody;
use crate::daemons::gateway::SharedGateway;
use crate::daemons::guarded_server::{GuardedRequest, RequestHandler};
use crate::daemons::http_reply::{
    HttpReply, failure_reply, json_reply, parse_json, read_held, text_reply,
};
use crate::daemons::request_path::{path_segments, query_pairs};
use crate::daemons::requests::{RequestHead, serve_request};
use crate::routing::verdict::CallFailure;
use crate::tables::job::JobSpec;
use crate::tables::name::ObjectName;
use crate::tables::ticket::TicketSpec;
use crate::wire::api::AuditFilter;
use crate::wire::peer::{PeerCall, PeerReply};
use crate::work::intake::parse_room::ParsePermit;

/// Largest JSON request body, in bytes.
const JSON_MAX_BYTES: usize = 1024 * 1024;
/// Retry time sent to callers whose body there was no room to parse, in ms.
const PARSE_RETRY_MS: u64 = 1_000;

/// Endpoints of the gateway.
pub struct GatewayEndpoints {
    /// The gateway's shared state.
    pub gateway: SharedGateway,
}

impl RequestHandler for GatewayEndpoints {
    async fn handle(&self, request: GuardedRequest) -> HttpReply {
        let Some(segments) = path_segments(request.request.uri()) else {
            return failure_reply(&CallFailure::not_run(400, "the path cannot be decoded"));
        };
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let reply = match *request.request.method() {
            Method::GET => get(&self.gateway, &segments, &request).await,
            Method::POST => post(&self.gateway, &segments, request).await,
            _ => Err(CallFailure::not_run(405, "there are only GET and POST")),
        };
        reply.or_else(|failure| failure_reply(&failure))
    }
}

/// Answer of an endpoint, or why its call failed.
type EndpointResult = Result<http::Response<dropshot::Body>, CallFailure>;

async fn get(
    gateway: &SharedGateway,
    segments: &[&str],
    request: &GuardedRequest,
) -> EndpointResult {
    let uri = request.request.uri();
    let reply = match segments {
        ["live"] => text_reply(200, "live\n".to_owned()),
        ["ready"] => get_ready(gateway),
        ["metrics"] => get_metrics(gateway),
        ["jobs", id] => return call(gateway, 200, PeerCall::Job(object_name(id)?)).await,
        ["jobs", id, "explain"] => {
            return call(gateway, 200, PeerCall::Explain(object_name(id)?)).await;
        }
        ["tickets", number] => {
            let number = number.parse().map_err(|_| {
                CallFailure::not_run(400, format!("{number:?} is not the number of a ticket"))
            })?;
            return call(gateway, 200, PeerCall::ShowTicket(number)).await;
        }
        ["report"] => get_report(gateway, &pairs_of(uri)?).await?,
        ["audit"] => {
            let filter = audit_filter(&pairs_of(uri)?)?;
            return call(gateway, 200, PeerCall::Audit(filter)).await;
        }
        ["hosts"] => return call(gateway, 200, PeerCall::Hosts).await,
        _ => return Err(unknown_path()),
    };
    reply.map_err(internal_failure)
}

async fn post(
    gateway: &SharedGateway,
    segments: &[&str],
    request: GuardedRequest,
) -> EndpointResult {
    match segments {
        ["jobs"] => {
            let (job, _permit) = read_json::<JobSpec>(gateway, request).await?;
            call(gateway, 201, PeerCall::Submit(job)).await
        }
        ["cancellations"] => {
            let (body, _permit) = read_json::<CancelBody>(gateway, request).await?;
            call(gateway, 200, PeerCall::Cancel(body.jobs)).await
        }
        ["tickets"] => {
            let (ticket, _permit) = read_json::<TicketSpec>(gateway, request).await?;
            call(gateway, 201, PeerCall::Ticket(ticket)).await
        }
        ["requests", team, path @ ..] => post_request(gateway, team, path, request).await,
        _ => Err(unknown_path()),
    }
}

fn unknown_path() -> CallFailure {
    CallFailure::not_run(404, "there is no such path")
}

fn internal_failure(error: dropshot::HttpError) -> CallFailure {
    CallFailure::may_have_run(500, error.internal_message)
}

/// Readiness probe for the load balancer: succeeds while requests can be served.
fn get_ready(gateway: &SharedGateway) -> HttpReply {
    match gateway.is_ready() {
        true => text_reply(200, "ready\n".to_owned()),
        false => text_reply(503, "not ready\n".to_owned()),
    }
}

/// Returns metrics as Prometheus text.
fn get_metrics(gateway: &SharedGateway) -> HttpReply {
    metrics::gauge!("hemlockramp_connections_idle").set(gateway.router.pool().idle_count() as f64);
    text_reply(200, gateway.metrics.render())
}

fn object_name(text: &str) -> Result<ObjectName, CallFailure> {
    let name = ObjectName::try_from(text);
    name.map_err(|error| CallFailure::not_run(400, error.to_string()))
}

/// Reads a JSON body of at most `JSON_MAX_BYTES`. The permit is kept until the value is dropped.
async fn read_json<T: DeserializeOwned>(
    gateway: &SharedGateway,
    request: GuardedRequest,
) -> Result<(T, ParsePermit), CallFailure> {
    let body = read_held(request, JSON_MAX_BYTES).await?;
    let reserved = gateway.parse_room.reserve(body.bytes().len());
    let Ok(permit) = timeout(gateway.settings.call_timeout, reserved).await else {
        body.close();
        let failure = CallFailure::not_run(503, "there is no room to parse the body");
        return Err(failure.retry_after(PARSE_RETRY_MS));
    };
    let value = parse_json(body.bytes());
    body.close();
    Ok((value?, permit))
}

type QueryPairs = Vec<(String, String)>;

fn pairs_of(uri: &http::Uri) -> Result<QueryPairs, CallFailure> {
    query_pairs(uri).ok_or_else(|| CallFailure::not_run(400, "the query cannot be decoded"))
}

fn parse_pair<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, CallFailure> {
    value
        .parse()
        .map_err(|_| CallFailure::not_run(400, format!("query {name}: {value:?} is not valid")))
}

fn audit_filter(pairs: &QueryPairs) -> Result<AuditFilter, CallFailure> {
    let mut filter = AuditFilter::default();
    for (name, value) in pairs {
        match name.as_str() {
            "kind" => filter.kind = Some(value.clone()),
            "actor" => filter.actor = Some(value.clone()),
            "subject" => filter.subject = Some(value.clone()),
            "refused" => filter.refused = parse_pair(name, value)?,
            "limit" => filter.limit = parse_pair(name, value)?,
            _ => {}
        }
    }
    Ok(filter)
}

/// Returns the report in the text layout of the settings, or as JSON.
async fn get_report(gateway: &SharedGateway, pairs: &QueryPairs) -> Result<HttpReply, CallFailure> {
    let json = pairs.iter().find(|(name, _)| name == "json");
    let json = json.map_or(Ok(false), |(name, value)| parse_pair(name, value))?;
    match gateway.call(PeerCall::Report).await? {
        PeerReply::Report(report) if json => Ok(json_reply(200, &report)),
        PeerReply::Report(report) => {
            let text = gateway.settings.raw.report.render(&report);
            Ok(text_reply(200, text))
        }
        _ => Err(unexpected_reply()),
    }
}

/// Routes a request to a runner.
async fn post_request(
    gateway: &SharedGateway,
    team: &str,
    path: &[&str],
    request: GuardedRequest,
) -> EndpointResult {
    let mut target = path.join("/");
    if let Some(query) = request.request.uri().query() {
        target = format!("{target}?{query}");
    }
    let headers = request.request.headers();
    let head = RequestHead::read(team, target, headers, &gateway.settings)?;
    let reply = serve_request(gateway, head, request).await;
    reply.map_err(internal_failure)
}

async fn call(gateway: &SharedGateway, status: u16, call: PeerCall) -> EndpointResult {
    let reply = gateway.call(call).await?;
    peer_reply(status, &reply).map_err(internal_failure)
}

fn peer_reply(status: u16, reply: &PeerReply) -> HttpReply {
    match reply {
        PeerReply::Change(view) => json_reply(status, view),
        PeerReply::Job(view) => json_reply(status, view),
        PeerReply::Explain(view) => json_reply(status, view),
        PeerReply::Ticket(view) => json_reply(status, view),
        PeerReply::Audit(view) => json_reply(status, view),
        PeerReply::Hosts(view) => json_reply(status, view),
        _ => failure_reply(&unexpected_reply()),
    }
}

fn unexpected_reply() -> CallFailure {
    CallFailure::may_have_run(502, "the scheduler gave another kind of reply")
}
