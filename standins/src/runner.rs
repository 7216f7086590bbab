//! Fake runner: serves requests in a fixed number of slots and records each one executed.
//!
//! `POST /run/PATH?work_ms=N&status=S` takes N ms and echoes the request body, with status
//! S (200 by default).

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, HttpServer, Path, Query, RequestContext, StreamingBody, TypedBody,
    endpoint,
};
use eyre::{Report, eyre};
use hemlockramp::daemons::http_reply::{HttpReply, json_reply, read_body, text_reply};
use hemlockramp::routing::connection::{LEAVING_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER};
use http::Response;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::fault::{FaultMode, FaultSetting, FaultSwitch};
use crate::server::{now_ms, start_server};

/// Largest request body, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Bytes missing from the body of a truncated response.
const TRUNCATED_BYTES: usize = 1;

/// Effect of one executed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EffectRow {
    /// Request path below `/run/`.
    pub path: String,
    /// Request body, as text.
    pub body: String,
    /// Time of the effect, Unix ms.
    pub at_ms: u64,
}

/// State of the fake runner.
pub struct Runner {
    slots: usize,
    busy: AtomicUsize,
    peak_busy: AtomicUsize,
    refused: AtomicUsize,
    leaving: AtomicBool,
    effects: Mutex<Vec<EffectRow>>,
    /// Fault injected into `/run`.
    pub fault: FaultSwitch,
    /// Fault injected into `/health`.
    pub health_fault: FaultSwitch,
}

/// Runner shared by the endpoint handlers.
pub type SharedRunner = Arc<Runner>;

impl Runner {
    /// Creates a runner that executes up to `slots` requests at once.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            busy: AtomicUsize::new(0),
            peak_busy: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            effects: Mutex::default(),
            fault: FaultSwitch::default(),
            health_fault: FaultSwitch::default(),
        }
    }

    /// Returns the effects of all requests executed so far.
    pub fn effects(&self) -> Vec<EffectRow> {
        let effects = self.effects.lock().unwrap_or_else(PoisonError::into_inner);
        effects.clone()
    }

    /// Refuses all new requests from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns the largest number of requests executed at once.
    pub fn peak_busy(&self) -> usize {
        self.peak_busy.load(Ordering::SeqCst)
    }

    /// Returns the number of requests refused because all slots were in use.
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::SeqCst)
    }

    fn acquire_slot(&self) -> bool {
        let busy = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        if busy > self.slots {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            self.refused.fetch_add(1, Ordering::SeqCst);
            return false;
        }
        self.peak_busy.fetch_max(busy, Ordering::SeqCst);
        true
    }

    fn release_slot(&self) {
        self.busy.fetch_sub(1, Ordering::SeqCst);
    }

    fn record_effect(&self, path: &str, body: &[u8]) {
        let row = EffectRow {
            path: path.to_owned(),
            body: String::from_utf8_lossy(body).into_owned(),
            at_ms: now_ms(),
        };
        let mut effects = self.effects.lock().unwrap_or_else(PoisonError::into_inner);
        effects.push(row);
    }
}

/// Starts an HTTP server for the runner.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start_runner(
    runner: SharedRunner,
    listen: SocketAddr,
) -> Result<HttpServer<SharedRunner>, Report> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(post_run)
        .and_then(|()| api.register(get_health))
        .and_then(|()| api.register(get_effects))
        .and_then(|()| api.register(post_leave))
        .and_then(|()| api.register(post_fault));
    registered
        .map_err(|error| eyre!("cannot register the endpoints of the fake runner: {error}"))?;
    start_server(api, runner, listen)
}

#[derive(Deserialize, JsonSchema)]
struct RunPath {
    path: Vec<String>,
}

#[derive(Deserialize, JsonSchema)]
struct RunQuery {
    #[serde(default)]
    work_ms: u64,
    #[serde(default)]
    status: Option<u16>,
}

#[endpoint { method = POST, path = "/run/{path:.*}", unpublished = true }]
async fn post_run(
    request: RequestContext<SharedRunner>,
    path: Path<RunPath>,
    query: Query<RunQuery>,
    body: StreamingBody,
) -> HttpReply {
    let runner = request.context();
    let id = request.request.headers().get(REQUEST_ID_HEADER).cloned();
    let mode = runner.fault.apply_before_effect().await;
    if mode == FaultMode::Down {
        return text_reply(500, "the runner fails".to_owned());
    }
    if runner.leaving.load(Ordering::SeqCst) {
        return refusal_response(true);
    }
    if !runner.acquire_slot() {
        return refusal_response(false);
    }
    let query = query.into_inner();
    let bytes = read_body(body, BODY_MAX_BYTES).await;
    // Skipped for 0 ms: even a zero-length sleep lasts one tick of the timer.
    if query.work_ms > 0 {
        tokio::time::sleep(Duration::from_millis(query.work_ms)).await;
    }
    let bytes = bytes.unwrap_or_default();
    runner.record_effect(&path.into_inner().path.join("/"), &bytes);
    runner.release_slot();
    runner.fault.apply_after_effect(mode).await;
    let mut builder = Response::builder()
        .status(query.status.unwrap_or(200))
        .header("content-type", "application/octet-stream");
    if let Some(id) = id {
        builder = match mode {
            FaultMode::Cross => builder.header(REQUEST_ID_HEADER, "another"),
            _ => builder.header(REQUEST_ID_HEADER, id),
        };
    }
    if mode == FaultMode::Truncate {
        builder = builder.header("content-length", bytes.len() + TRUNCATED_BYTES);
    }
    Ok(builder.body(Body::from(bytes))?)
}

fn refusal_response(leaving: bool) -> HttpReply {
    let mut reply = text_reply(503, "refused\n".to_owned())?;
    let headers = reply.headers_mut();
    headers.insert(VERDICT_HEADER, http::HeaderValue::from_static("not-run"));
    if leaving {
        headers.insert(LEAVING_HEADER, http::HeaderValue::from_static("true"));
    }
    Ok(reply)
}

#[endpoint { method = GET, path = "/health" }]
async fn get_health(request: RequestContext<SharedRunner>) -> HttpReply {
    let runner = request.context();
    runner.health_fault.apply_before_effect().await;
    let mut reply = text_reply(200, "good\n".to_owned())?;
    if let Some(id) = request.request.headers().get(REQUEST_ID_HEADER) {
        reply.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
    }
    Ok(reply)
}

#[endpoint { method = GET, path = "/effects" }]
async fn get_effects(request: RequestContext<SharedRunner>) -> HttpReply {
    json_reply(200, &request.context().effects())
}

#[endpoint { method = POST, path = "/leave" }]
async fn post_leave(request: RequestContext<SharedRunner>) -> HttpReply {
    request.context().leave();
    text_reply(200, "leaving\n".to_owned())
}

#[endpoint { method = POST, path = "/fault" }]
async fn post_fault(
    request: RequestContext<SharedRunner>,
    body: TypedBody<FaultSetting>,
) -> HttpReply {
    request.context().fault.set(body.into_inner());
    text_reply(200, "set\n".to_owned())
}
