//! Builds replies and reads request bodies for the HTTP endpoints of the daemons.

use dropshot::{Body, HttpError, StreamingBody};
use futures_util::{StreamExt, pin_mut};
use http::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::daemons::guarded_server::GuardedRequest;
use crate::routing::verdict::CallFailure;
use crate::wire::api::ErrorView;
use crate::work::intake::body::{BodyRefusal, HeldBody, collect_body};

/// Delay after which a request that there was no room for is to be tried again, in ms.
const NO_ROOM_RETRY_MS: u64 = 1_000;

/// Return type of every endpoint.
pub type HttpReply = Result<Response<Body>, HttpError>;

/// Returns a logger that forwards the HTTP server's messages to the `log` crate.
pub fn server_logger() -> slog::Logger {
    // Messages that fail to be logged are dropped.
    let drain = slog::Drain::fuse(slog_stdlog::StdLog);
    slog::Logger::root(drain, slog::o!())
}

/// Returns a JSON reply.
pub fn json_reply<T: Serialize>(status: u16, value: &T) -> HttpReply {
    let bytes = serde_json::to_vec(value)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    Ok(Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", "application/json")
        .body(Body::from(bytes))?)
}

/// Returns a plain text reply.
pub fn text_reply(status: u16, text: String) -> HttpReply {
    Ok(Response::builder()
        .status(status)
        .header("content-type", "text/plain; charset=utf-8")
        .body(Body::from(text))?)
}

/// Returns a JSON reply for a failure, with its verdict and retry time also as headers.
pub fn failure_reply(failure: &CallFailure) -> HttpReply {
    let view = ErrorView {
        verdict: failure.verdict,
        reason: failure.reason.clone(),
        retry_ms: failure.retry_ms,
    };
    let mut reply = json_reply(failure.status, &view)?;
    let verdict = failure.verdict.to_string();
    let headers = reply.headers_mut();
    if let Ok(value) = verdict.parse() {
        headers.insert("hemlockramp-verdict", value);
    }
    if let Some(retry_ms) = failure.retry_ms {
        let seconds = retry_ms.div_ceil(1_000);
        headers.insert("retry-after", seconds.into());
    }
    Ok(reply)
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a "not run" failure: status 413 if the body exceeds the limit, 400 if the stream
/// fails before its end.
pub async fn read_body(body: StreamingBody, limit: usize) -> Result<Vec<u8>, CallFailure> {
    let stream = body.into_stream();
    pin_mut!(stream);
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|error| match error.external_message.contains("exceeded") {
            true => too_large(limit),
            false => CallFailure::not_run(400, error.external_message),
        })?;
        if bytes.len() + chunk.len() > limit {
            return Err(too_large(limit));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

fn too_large(limit: usize) -> CallFailure {
    CallFailure::not_run(413, format!("the body is above {limit} bytes"))
}

/// Reads the body of a request of at most `limit` bytes; its bytes are counted until they are
/// given back.
///
/// # Errors
///
/// Returns a "not run" failure: status 413 if the body exceeds the limit, 400 if it was broken off,
/// and 503 if there is no room for it.
pub async fn read_held(request: GuardedRequest, limit: usize) -> Result<HeldBody, CallFailure> {
    let GuardedRequest { request, slot } = request;
    let body = collect_body(request.into_body(), limit, &slot).await;
    body.map_err(|refusal| match refusal {
        BodyRefusal::TooLarge => too_large(limit),
        BodyRefusal::CutOff => CallFailure::not_run(400, "the body was cut off"),
        BodyRefusal::NoRoom => CallFailure {
            retry_ms: Some(NO_ROOM_RETRY_MS),
            ..CallFailure::not_run(503, "there is no room for the body")
        },
    })
}

/// Parses a JSON body.
///
/// # Errors
///
/// Returns a "not run" failure that names the invalid key.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallFailure> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        CallFailure::not_run(400, format!("key {}: {}", error.path(), error.inner()))
    })?;
    reader
        .end()
        .map_err(|error| CallFailure::not_run(400, error.to_string()))?;
    Ok(value)
}
