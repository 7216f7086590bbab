//! Serves a caller's request: admission, idempotency key, routing to a runner, and recording of
//! the outcome.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use dropshot::Body;
use http::{HeaderMap, Response};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::daemons::gateway::{SharedGateway, ensure_team_known};
use crate::daemons::guarded_server::GuardedRequest;
use crate::daemons::http_reply::{HttpReply, failure_reply, read_held};
use crate::journal::record::{IntentRecord, OutcomeRecord};
use crate::routing::admission::AdmissionRequest;
use crate::routing::connection::{RunnerRequest, RunnerResponse, VERDICT_HEADER};
use crate::routing::router::SendOptions;
use crate::routing::verdict::{CallFailure, RunVerdict};
use crate::settings::gateway::GatewaySettings;
use crate::tables::key::{KeyOutcome, KeyResponse};
use crate::tables::name::ObjectName;
use crate::wire::peer::{IntentReply, PeerCall, PeerReply};

/// Header with the idempotency key of a request that must run at most once.
const KEY_HEADER: &str = "idempotency-key";
/// Header with the time at which the key was first issued, in Unix ms; defaults to now.
const ISSUED_HEADER: &str = "idempotency-issued-ms";
/// Header that marks the request as safe to run more than once.
const IDEMPOTENT_HEADER: &str = "hemlockramp-idempotent";
/// Header with the time for which the caller waits, in ms.
const DEADLINE_HEADER: &str = "hemlockramp-deadline-ms";
/// Header that queues a request ahead of the team's other requests.
const URGENT_HEADER: &str = "hemlockramp-urgent";
/// Largest accepted deadline, in ms.
const DEADLINE_MAX_MS: u64 = 600_000;
/// Largest response body stored with a key, in bytes.
const STORED_BODY_MAX_BYTES: usize = 4_096;
/// Poll interval for the outcome of a key whose first request is still in flight, in ms.
const KEY_POLL_INTERVAL_MS: u64 = 50;
/// Attempts to record an outcome; if all fail, callers that repeat the key are told that
/// it "may have run".
const OUTCOME_ATTEMPTS: u32 = 5;
const OUTCOME_RETRY_INTERVAL_MS: u64 = 500;

/// How often a request may be delivered to a runner.
#[derive(Clone, Debug)]
enum DeliveryMode {
    /// Any number of times; failed deliveries may be retried.
    Idempotent,
    /// At most once, under this idempotency key.
    AtMostOnce(RequestKey),
}

/// An idempotency key and the time at which the caller issued it, in Unix ms.
#[derive(Clone, Debug)]
struct RequestKey {
    key: ObjectName,
    issued_ms: u64,
}

/// A request without its body: path and validated headers.
#[derive(Clone, Debug)]
pub struct RequestHead {
    team: ObjectName,
    path: String,
    content_type: Option<String>,
    mode: DeliveryMode,
    urgent: bool,
    deadline: Instant,
}

impl RequestHead {
    /// Parses the path and the headers.
    ///
    /// # Errors
    ///
    /// Returns a "not run" failure with status 400 that names the invalid header.
    pub fn read(
        team: &str,
        path: String,
        headers: &HeaderMap,
        settings: &GatewaySettings,
    ) -> Result<Self, CallFailure> {
        let invalid = |reason: String| CallFailure::not_run(400, reason);
        let team = ObjectName::try_from(team).map_err(|error| invalid(error.to_string()))?;
        let default_ms = settings.requests.deadline.as_millis() as u64;
        let deadline_ms = number_header(headers, DEADLINE_HEADER)?.unwrap_or(default_ms);
        if !(1..=DEADLINE_MAX_MS).contains(&deadline_ms) {
            return Err(invalid(format!(
                "{DEADLINE_HEADER}: {deadline_ms}; allowed are 1 to {DEADLINE_MAX_MS}"
            )));
        }
        Ok(Self {
            team,
            path,
            content_type: text_header(headers, "content-type"),
            mode: delivery_mode(headers)?,
            urgent: text_header(headers, URGENT_HEADER).as_deref() == Some("true"),
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
        })
    }
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn number_header(headers: &HeaderMap, name: &str) -> Result<Option<u64>, CallFailure> {
    let Some(text) = text_header(headers, name) else {
        return Ok(None);
    };
    let number = text.parse();
    let invalid = |_| CallFailure::not_run(400, format!("{name}: {text:?} is not a number"));
    number.map(Some).map_err(invalid)
}

fn delivery_mode(headers: &HeaderMap) -> Result<DeliveryMode, CallFailure> {
    if text_header(headers, IDEMPOTENT_HEADER).as_deref() == Some("true") {
        return Ok(DeliveryMode::Idempotent);
    }
    let Some(key) = text_header(headers, KEY_HEADER) else {
        let reason = format!("either {KEY_HEADER} or {IDEMPOTENT_HEADER}: true is needed");
        return Err(CallFailure::not_run(400, reason));
    };
    let key = ObjectName::try_from(key)
        .map_err(|error| CallFailure::not_run(400, format!("{KEY_HEADER}: {error}")))?;
    let issued_ms = number_header(headers, ISSUED_HEADER)?.unwrap_or_else(now_ms);
    Ok(DeliveryMode::AtMostOnce(RequestKey { key, issued_ms }))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Reads the body, sends the request to a runner and returns the response or the failure.
pub async fn serve_request(
    gateway: &SharedGateway,
    head: RequestHead,
    request: GuardedRequest,
) -> HttpReply {
    let started = Instant::now();
    let result = match read_held(request, gateway.settings.requests.body_max_bytes).await {
        Ok(mut body) => {
            let bytes = Bytes::from(body.take_bytes());
            let result = send_request(gateway, &head, bytes).await;
            body.close();
            result
        }
        Err(failure) => Err(failure),
    };
    let verdict = match &result {
        Ok(_) => RunVerdict::Ran,
        Err(failure) => failure.verdict,
    };
    let labels = [("verdict", verdict.to_string())];
    metrics::counter!("hemlockramp_requests_total", &labels).increment(1);
    metrics::histogram!("hemlockramp_request_seconds").record(started.elapsed().as_secs_f64());
    match result {
        Ok(response) => runner_reply(response),
        Err(failure) => failure_reply(&failure),
    }
}

fn runner_reply(response: RunnerResponse) -> HttpReply {
    let mut builder = Response::builder()
        .status(response.status)
        .header(VERDICT_HEADER, RunVerdict::Ran.to_string());
    if let Some(kind) = &response.content_type {
        builder = builder.header("content-type", kind);
    }
    Ok(builder.body(Body::from(response.body))?)
}

async fn send_request(
    gateway: &SharedGateway,
    head: &RequestHead,
    body: Bytes,
) -> Result<RunnerResponse, CallFailure> {
    let admission = AdmissionRequest {
        team: head.team.clone(),
        urgent: head.urgent,
        deadline: head.deadline,
    };
    ensure_team_known(gateway, &head.team).await;
    let _permit = gateway.admission.admit(&admission).await?;
    let count = gateway.requests_sent.fetch_add(1, Ordering::Relaxed);
    let request = RunnerRequest {
        id: format!("{:x}-{count}", gateway.instance_id),
        path: head.path.clone(),
        content_type: head.content_type.clone(),
        body,
    };
    match &head.mode {
        DeliveryMode::Idempotent => {
            let options = SendOptions {
                idempotent: true,
                deadline: head.deadline,
            };
            gateway.router.send(&request, options).await
        }
        DeliveryMode::AtMostOnce(key) => send_once(gateway, head, key, &request).await,
    }
}

/// Sends a request with an idempotency key, once its intent is recorded in the journal. For a
/// key in use, returns the outcome of the first request instead.
async fn send_once(
    gateway: &SharedGateway,
    head: &RequestHead,
    key: &RequestKey,
    request: &RunnerRequest,
) -> Result<RunnerResponse, CallFailure> {
    let intent = IntentRecord {
        team: head.team.clone(),
        key: key.key.clone(),
        digest: digest_of(request),
        issued_ms: key.issued_ms,
    };
    let offset = loop {
        match request_intent(gateway, &intent).await? {
            IntentReply::Granted(offset) => break offset,
            IntentReply::Known(KeyOutcome::Pending) if Instant::now() < head.deadline => {
                // The first request with this key is still in flight, possibly on another host.
                tokio::time::sleep(Duration::from_millis(KEY_POLL_INTERVAL_MS)).await;
            }
            IntentReply::Known(outcome) => return recorded_response(outcome),
        }
    };
    let options = SendOptions {
        idempotent: false,
        deadline: head.deadline,
    };
    let result = gateway.router.send(request, options).await;
    let record = OutcomeRecord {
        team: intent.team,
        key: intent.key,
        intent: offset,
        outcome: outcome_of(&result),
    };
    tokio::spawn(record_outcome(Arc::clone(gateway), record));
    result
}

async fn request_intent(
    gateway: &SharedGateway,
    intent: &IntentRecord,
) -> Result<IntentReply, CallFailure> {
    match gateway.call(PeerCall::Intent(intent.clone())).await {
        Ok(PeerReply::Intent(reply)) => Ok(reply),
        Ok(_) => Err(CallFailure::not_run(
            502,
            "the scheduler gave another kind of reply",
        )),
        // Even if the intent was recorded, only this call would have sent the request.
        Err(failure) if failure.status != 409 => Err(CallFailure {
            verdict: RunVerdict::NotRun,
            ..failure
        }),
        Err(failure) => Err(failure),
    }
}

fn digest_of(request: &RunnerRequest) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(request.path.as_bytes());
    hash.update(&[0]);
    hash.update(&request.body);
    hash.digest()
}

fn recorded_response(outcome: KeyOutcome) -> Result<RunnerResponse, CallFailure> {
    match outcome {
        KeyOutcome::Answered(KeyResponse {
            status,
            body: Some(body),
        }) => Ok(RunnerResponse {
            status,
            content_type: None,
            body: Bytes::from(body),
            not_run: false,
            leaving: false,
        }),
        KeyOutcome::Answered(KeyResponse { status, body: None }) => Err(CallFailure {
            verdict: RunVerdict::Ran,
            status: 409,
            reason: format!("it ran before with status {status}; its answer was too large to keep"),
            retry_ms: None,
        }),
        KeyOutcome::NotRun => Err(CallFailure::not_run(409, "the first request did not run")),
        KeyOutcome::Pending | KeyOutcome::MayHaveRun => Err(CallFailure::may_have_run(
            409,
            "the first request with this key may have run",
        )),
    }
}

fn outcome_of(result: &Result<RunnerResponse, CallFailure>) -> KeyOutcome {
    match result {
        Ok(response) => {
            let text = std::str::from_utf8(&response.body).ok();
            let stored = text.filter(|text| text.len() <= STORED_BODY_MAX_BYTES);
            KeyOutcome::Answered(KeyResponse {
                status: response.status,
                body: stored.map(str::to_owned),
            })
        }
        Err(failure) if failure.verdict == RunVerdict::NotRun => KeyOutcome::NotRun,
        Err(_) => KeyOutcome::MayHaveRun,
    }
}

async fn record_outcome(gateway: SharedGateway, record: OutcomeRecord) {
    for _ in 0..OUTCOME_ATTEMPTS {
        let result = gateway.call(PeerCall::Outcome(record.clone())).await;
        match result {
            Ok(_) => return,
            // An earlier attempt already recorded the outcome.
            Err(failure) if failure.status == 409 => return,
            Err(_) => tokio::time::sleep(Duration::from_millis(OUTCOME_RETRY_INTERVAL_MS)).await,
        }
    }
    log::warn!(
        "gateway: recording the outcome of key {} failed; repeats are told that it may have run.",
        record.key
    );
}
