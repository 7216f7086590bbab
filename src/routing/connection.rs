//! One HTTP/1.1 connection to a runner. It carries one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::routing::verdict::CallFailure;

/// Header that names the request; a runner echoes it.
pub const REQUEST_ID_HEADER: &str = "hemlockramp-request-id";
/// Header by which a runner says that it did not run the request.
pub const VERDICT_HEADER: &str = "hemlockramp-verdict";
/// Header by which a runner says that it takes no more.
pub const LEAVING_HEADER: &str = "hemlockramp-leaving";
/// Idle time before the kernel probes a connection, in ms.
const KEEPALIVE_IDLE_MS: u64 = 5_000;
/// Time between two kernel probes, in ms.
const KEEPALIVE_INTERVAL_MS: u64 = 2_000;
/// Unanswered kernel probes after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 3;

/// One request as it is sent to a runner.
#[derive(Clone, Debug)]
pub struct RunnerRequest {
    /// Unique id.
    pub id: String,
    /// Path and query after `/run/`.
    pub path: String,
    /// Content type, passed through.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct RunnerResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, passed through.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Whether the runner says that it did not run the request.
    pub not_run: bool,
    /// Whether the runner says that it is leaving.
    pub leaving: bool,
}

/// An open connection.
pub struct RunnerConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    response_max_bytes: usize,
}

impl RunnerConnection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Always "not run": nothing was sent.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        response_max_bytes: usize,
    ) -> Result<Self, CallFailure> {
        let refused = |reason: String| CallFailure::not_run(503, reason);
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| refused("the runner did not accept in time".to_owned()))?
            .map_err(|error| refused(format!("no connection to the runner: {error}")))?;
        set_keepalive(&stream);
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| refused(error.to_string()))?;
        tokio::spawn(async move {
            // Errors reach the request that waits for the answer.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            address,
            response_max_bytes,
        })
    }

    /// Returns whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the whole answer. On any failure the connection is
    /// dropped by the caller, so that a late answer can reach nobody.
    ///
    /// # Errors
    ///
    /// "Not run" if nothing was sent, otherwise "may have run".
    pub async fn exchange(
        &mut self,
        request: &RunnerRequest,
        deadline: Instant,
    ) -> Result<RunnerResponse, CallFailure> {
        let message = self.build("POST", &format!("/run/{}", request.path), request)?;
        let timed_out = |_| CallFailure::may_have_run(504, "the runner did not answer in time");
        timeout_at(deadline, self.send(message, &request.id))
            .await
            .map_err(timed_out)?
    }

    /// Asks for a sign of life.
    pub async fn probe(&mut self, probe_timeout: Duration) -> bool {
        let empty = RunnerRequest {
            id: "probe".to_owned(),
            path: String::new(),
            content_type: None,
            body: Bytes::new(),
        };
        let Ok(message) = self.build("GET", "/health", &empty) else {
            return false;
        };
        let response = timeout(probe_timeout, self.send(message, "probe")).await;
        response.is_ok_and(|response| response.is_ok())
    }

    fn build(
        &self,
        method: &str,
        path: &str,
        request: &RunnerRequest,
    ) -> Result<Request<Full<Bytes>>, CallFailure> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(REQUEST_ID_HEADER, &request.id);
        if let Some(content_type) = &request.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        builder
            .body(Full::new(request.body.clone()))
            .map_err(|error| CallFailure::not_run(400, error.to_string()))
    }

    async fn send(
        &mut self,
        message: Request<Full<Bytes>>,
        id: &str,
    ) -> Result<RunnerResponse, CallFailure> {
        if self.sender.ready().await.is_err() {
            return Err(CallFailure::not_run(503, "the connection had been closed"));
        }
        let response = match self.sender.try_send_request(message).await {
            Ok(response) => response,
            Err(mut error) => {
                let reason = format!("the connection broke: {}", error.error());
                return Err(match error.take_message().is_some() {
                    true => CallFailure::not_run(503, reason),
                    false => CallFailure::may_have_run(502, reason),
                });
            }
        };
        check_headers(response.headers(), id)?;
        self.read_response(response).await
    }

    async fn read_response(
        &self,
        response: Response<Incoming>,
    ) -> Result<RunnerResponse, CallFailure> {
        let status = response.status().as_u16();
        let headers = response.headers();
        let content_type = header_text(headers, CONTENT_TYPE.as_str());
        let not_run = header_text(headers, VERDICT_HEADER).as_deref() == Some("not-run");
        let leaving = header_text(headers, LEAVING_HEADER).as_deref() == Some("true");
        let body = Limited::new(response.into_body(), self.response_max_bytes);
        let body = body.collect().await.map_err(|error| {
            CallFailure::may_have_run(502, format!("the answer is not whole: {error}"))
        })?;
        Ok(RunnerResponse {
            status,
            content_type,
            body: body.to_bytes(),
            not_run,
            leaving,
        })
    }
}

fn set_keepalive(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_millis(KEEPALIVE_IDLE_MS))
        .with_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .with_retries(KEEPALIVE_PROBES);
    // Without it, probes of our own still find a dead connection.
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Refuses an answer to another request, and one whose end could not be told.
fn check_headers(headers: &HeaderMap, id: &str) -> Result<(), CallFailure> {
    if let Some(echo) = header_text(headers, REQUEST_ID_HEADER)
        && echo != id
    {
        return Err(CallFailure::may_have_run(
            502,
            "the runner answered another request",
        ));
    }
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    match framed {
        true => Ok(()),
        false => Err(CallFailure::may_have_run(
            502,
            "the answer's end cannot be told",
        )),
    }
}
