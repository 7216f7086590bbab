//! The gateway's HTTP interface for callers and operators.

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Path, Query, RequestContext, StreamingBody,
    endpoint,
};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::daemons::gateway::SharedGateway;
use crate::daemons::http_reply::{HttpReply, failure_reply, json_reply, read_json, text_reply};
use crate::daemons::requests::{RequestHead, serve_request};
use crate::routing::verdict::CallFailure;
use crate::tables::job::JobSpec;
use crate::tables::name::ObjectName;
use crate::tables::ticket::TicketSpec;
use crate::wire::api::AuditFilter;
use crate::wire::peer::{PeerCall, PeerReply};

/// Largest JSON body, in bytes.
const JSON_MAX_BYTES: usize = 1024 * 1024;

/// Returns the interface.
///
/// # Errors
///
/// Fails when two endpoints clash.
pub fn gateway_api() -> Result<ApiDescription<SharedGateway>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(get_live)?;
    api.register(get_ready)?;
    api.register(get_metrics)?;
    api.register(post_job)?;
    api.register(get_job)?;
    api.register(get_explain)?;
    api.register(post_cancel)?;
    api.register(post_ticket)?;
    api.register(get_ticket)?;
    api.register(get_report)?;
    api.register(get_audit)?;
    api.register(get_hosts)?;
    api.register(post_request)?;
    Ok(api)
}

/// Says that the process runs.
#[endpoint { method = GET, path = "/live" }]
async fn get_live(_request: RequestContext<SharedGateway>) -> HttpReply {
    text_reply(200, "live\n".to_owned())
}

/// Says whether requests can be served; the balancer asks this.
#[endpoint { method = GET, path = "/ready" }]
async fn get_ready(request: RequestContext<SharedGateway>) -> HttpReply {
    match request.context().is_ready() {
        true => text_reply(200, "ready\n".to_owned()),
        false => text_reply(503, "not ready\n".to_owned()),
    }
}

/// Returns metrics as Prometheus text.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: RequestContext<SharedGateway>) -> HttpReply {
    let gateway = request.context();
    metrics::gauge!("hemlockramp_connections_idle").set(gateway.router.pool().idle_count() as f64);
    text_reply(200, gateway.metrics.render())
}

/// Submits a job.
#[endpoint { method = POST, path = "/jobs" }]
async fn post_job(request: RequestContext<SharedGateway>, body: StreamingBody) -> HttpReply {
    match read_json::<JobSpec>(body, JSON_MAX_BYTES).await {
        Ok(job) => call(request.context(), 201, PeerCall::Submit(job)).await,
        Err(failure) => failure_reply(&failure),
    }
}

/// Ids of jobs to cancel.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// The jobs.
    pub jobs: Vec<ObjectName>,
}

/// Cancels jobs.
#[endpoint { method = POST, path = "/cancellations" }]
async fn post_cancel(request: RequestContext<SharedGateway>, body: StreamingBody) -> HttpReply {
    match read_json::<CancelBody>(body, JSON_MAX_BYTES).await {
        Ok(body) => call(request.context(), 200, PeerCall::Cancel(body.jobs)).await,
        Err(failure) => failure_reply(&failure),
    }
}

/// A job's id in a path.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
pub struct JobPath {
    /// The id.
    pub id: String,
}

impl JobPath {
    fn name(&self) -> Result<ObjectName, CallFailure> {
        let name = ObjectName::try_from(self.id.as_str());
        name.map_err(|error| CallFailure::not_run(400, error.to_string()))
    }
}

/// Shows a job.
#[endpoint { method = GET, path = "/jobs/{id}" }]
async fn get_job(request: RequestContext<SharedGateway>, path: Path<JobPath>) -> HttpReply {
    match path.into_inner().name() {
        Ok(id) => call(request.context(), 200, PeerCall::Job(id)).await,
        Err(failure) => failure_reply(&failure),
    }
}

/// Explains a job.
#[endpoint { method = GET, path = "/jobs/{id}/explain" }]
async fn get_explain(request: RequestContext<SharedGateway>, path: Path<JobPath>) -> HttpReply {
    match path.into_inner().name() {
        Ok(id) => call(request.context(), 200, PeerCall::Explain(id)).await,
        Err(failure) => failure_reply(&failure),
    }
}

/// Applies a change ticket.
#[endpoint { method = POST, path = "/tickets" }]
async fn post_ticket(request: RequestContext<SharedGateway>, body: StreamingBody) -> HttpReply {
    match read_json::<TicketSpec>(body, JSON_MAX_BYTES).await {
        Ok(ticket) => call(request.context(), 201, PeerCall::Ticket(ticket)).await,
        Err(failure) => failure_reply(&failure),
    }
}

/// A ticket's number in a path.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
pub struct TicketPath {
    /// The number.
    pub number: u64,
}

/// Shows a ticket and where it is in force.
#[endpoint { method = GET, path = "/tickets/{number}" }]
async fn get_ticket(request: RequestContext<SharedGateway>, path: Path<TicketPath>) -> HttpReply {
    let number = path.into_inner().number;
    call(request.context(), 200, PeerCall::ShowTicket(number)).await
}

/// How a report is wanted.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
pub struct ReportQuery {
    /// Whether as JSON rather than in the layout.
    #[serde(default)]
    pub json: bool,
}

/// Returns the report in the layout of the settings.
#[endpoint { method = GET, path = "/report" }]
async fn get_report(
    request: RequestContext<SharedGateway>,
    query: Query<ReportQuery>,
) -> HttpReply {
    let gateway = request.context();
    match gateway.call(PeerCall::Report).await {
        Ok(PeerReply::Report(report)) if query.into_inner().json => json_reply(200, &report),
        Ok(PeerReply::Report(report)) => {
            text_reply(200, gateway.settings.raw.report.render(&report))
        }
        Ok(_) => failure_reply(&unexpected_reply()),
        Err(failure) => failure_reply(&failure),
    }
}

/// Returns rows of the audit trail.
#[endpoint { method = GET, path = "/audit" }]
async fn get_audit(request: RequestContext<SharedGateway>, query: Query<AuditFilter>) -> HttpReply {
    call(request.context(), 200, PeerCall::Audit(query.into_inner())).await
}

/// Returns all hosts.
#[endpoint { method = GET, path = "/hosts" }]
async fn get_hosts(request: RequestContext<SharedGateway>) -> HttpReply {
    call(request.context(), 200, PeerCall::Hosts).await
}

/// Team and path of a request.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
pub struct RequestPath {
    /// The team.
    pub team: String,
    /// Path at the runner.
    pub path: Vec<String>,
}

/// Routes a request to a runner.
#[endpoint { method = POST, path = "/requests/{team}/{path:.*}", unpublished = true }]
async fn post_request(
    request: RequestContext<SharedGateway>,
    path: Path<RequestPath>,
    body: StreamingBody,
) -> HttpReply {
    let gateway = request.context();
    let path = path.into_inner();
    let mut target = path.path.join("/");
    if let Some(query) = request.request.uri().query() {
        target = format!("{target}?{query}");
    }
    match RequestHead::read(
        &path.team,
        target,
        request.request.headers(),
        &gateway.settings,
    ) {
        Ok(head) => serve_request(gateway, head, body).await,
        Err(failure) => failure_reply(&failure),
    }
}

async fn call(gateway: &SharedGateway, status: u16, call: PeerCall) -> HttpReply {
    match gateway.call(call).await {
        Ok(reply) => peer_reply(status, &reply),
        Err(failure) => failure_reply(&failure),
    }
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
