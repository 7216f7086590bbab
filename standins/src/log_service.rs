//! Fake log service: in-memory streams of records with offsets and limited retention.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dropshot::{ApiDescription, HttpServer, Path, Query, RequestContext, TypedBody, endpoint};
use eyre::{Report, eyre};
use hemlockramp::daemons::http_reply::{HttpReply, json_reply, text_reply};
use hemlockramp::wire::log::{AppendRequest, AppendResponse, LogRecord, ReadResponse};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::fault::{FaultMode, FaultSetting, FaultSwitch};
use crate::server::{now_ms, start_server};

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<LogRecord>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// State of the fake log service.
#[derive(Default)]
pub struct LogService {
    streams: Mutex<BTreeMap<String, Stream>>,
    appended: Notify,
    /// Fault injected into appends.
    pub append_fault: FaultSwitch,
    /// Fault injected into reads.
    pub read_fault: FaultSwitch,
}

/// Log service shared by the endpoint handlers.
pub type SharedLog = Arc<LogService>;

impl LogService {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, texts: Vec<String>) -> u64 {
        let mut streams = self.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.next();
        let at_ms = now_ms();
        for (text, offset) in texts.into_iter().zip(first..) {
            stream.records.push_back(LogRecord {
                offset,
                at_ms,
                text,
            });
        }
        drop(streams);
        self.appended.notify_waiters();
        first
    }

    fn read(&self, stream: &str, from: u64, max: usize) -> ReadResponse {
        let mut streams = self.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let skip = from.saturating_sub(stream.first) as usize;
        ReadResponse {
            records: stream
                .records
                .iter()
                .skip(skip)
                .take(max)
                .cloned()
                .collect(),
            first_retained: stream.first,
            next: stream.next(),
        }
    }

    /// Drops all but the newest `keep` records of a stream.
    pub fn retain_newest(&self, stream: &str, keep: usize) {
        let mut streams = self.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        while stream.records.len() > keep {
            stream.records.pop_front();
            stream.first += 1;
        }
    }

    /// Returns all retained records of a stream.
    pub fn dump(&self, stream: &str) -> Vec<LogRecord> {
        self.read(stream, 0, usize::MAX).records
    }
}

/// Starts an HTTP server for the log service.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start_log(log: SharedLog, listen: SocketAddr) -> Result<HttpServer<SharedLog>, Report> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(post_append)
        .and_then(|()| api.register(get_records))
        .and_then(|()| api.register(post_fault))
        .and_then(|()| api.register(post_retention));
    registered
        .map_err(|error| eyre!("cannot register the endpoints of the fake log service: {error}"))?;
    start_server(api, log, listen)
}

#[derive(Deserialize, JsonSchema)]
struct StreamPath {
    stream: String,
}

#[endpoint { method = POST, path = "/streams/{stream}/append" }]
async fn post_append(
    request: RequestContext<SharedLog>,
    path: Path<StreamPath>,
    body: TypedBody<AppendRequest>,
) -> HttpReply {
    let log = request.context();
    let mode = log.append_fault.apply_before_effect().await;
    if mode == FaultMode::Down {
        return text_reply(503, "the log is down; nothing was appended".to_owned());
    }
    let first = log.append(&path.into_inner().stream, body.into_inner().records);
    log.append_fault.apply_after_effect(mode).await;
    json_reply(200, &AppendResponse { first })
}

#[derive(Deserialize, JsonSchema)]
struct ReadQuery {
    from: u64,
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

#[endpoint { method = GET, path = "/streams/{stream}/records" }]
async fn get_records(
    request: RequestContext<SharedLog>,
    path: Path<StreamPath>,
    query: Query<ReadQuery>,
) -> HttpReply {
    let log = request.context();
    if log.read_fault.apply_before_effect().await == FaultMode::Down {
        return text_reply(503, "the log is down".to_owned());
    }
    let (stream, query) = (path.into_inner().stream, query.into_inner());
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let appended = log.appended.notified();
        tokio::pin!(appended);
        // Registers for wake-ups before reading, so that an append between the read and the
        // wait is not missed.
        appended.as_mut().enable();
        let response = log.read(&stream, query.from, query.max);
        let has_changes = !response.records.is_empty() || response.first_retained > query.from;
        if has_changes || Instant::now() >= deadline {
            return json_reply(200, &response);
        }
        let _ = tokio::time::timeout_at(deadline, appended).await;
    }
}

/// Body of the log service's `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct LogFaults {
    /// Fault to inject into appends.
    #[serde(default)]
    pub append: FaultSetting,
    /// Fault to inject into reads.
    #[serde(default)]
    pub read: FaultSetting,
}

#[endpoint { method = POST, path = "/fault" }]
async fn post_fault(request: RequestContext<SharedLog>, body: TypedBody<LogFaults>) -> HttpReply {
    let faults = body.into_inner();
    request.context().append_fault.set(faults.append);
    request.context().read_fault.set(faults.read);
    text_reply(200, "set\n".to_owned())
}

#[derive(Deserialize, JsonSchema)]
struct RetentionBody {
    stream: String,
    keep: usize,
}

#[endpoint { method = POST, path = "/retention" }]
async fn post_retention(
    request: RequestContext<SharedLog>,
    body: TypedBody<RetentionBody>,
) -> HttpReply {
    let body = body.into_inner();
    request.context().retain_newest(&body.stream, body.keep);
    text_reply(200, "set\n".to_owned())
}
