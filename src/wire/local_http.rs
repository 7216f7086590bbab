//! An HTTP/1.1 client with a connection pool, for tasks of one thread.
//!
//! If a response does not arrive in time, its connection is closed and with it all idle
//! ones to the same address, because the cause may affect them too.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::routing::verdict::CallFailure;
use crate::wire::idle_pool::{IdleLimits, IdlePool};

const CONNECT_TIMEOUT_MS: u64 = 500;
/// Largest response body that is read, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Status of a failure to connect because nothing listens at the address.
pub const STATUS_CONNECTION_REFUSED: u16 = 521;

/// Largest number of idle connections to one address.
const IDLE_PER_ADDRESS: usize = 4;
/// Largest number of idle connections in all, where the machine has room for them.
const IDLE_TOTAL: usize = 1_536;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct HttpCall {
    pub address: SocketAddr,
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; `Host` defaults to the address.
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl HttpCall {
    /// Creates a call without headers and body.
    pub fn new(address: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, CallFailure> {
        let invalid = |reason: String| CallFailure::not_run(400, reason);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Full::new(self.body.clone()))
            .map_err(|error| invalid(error.to_string()))?;
        let host = HeaderValue::try_from(self.address.to_string())
            .map_err(|error| invalid(error.to_string()))?;
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().entry(HOST).or_insert(host);
        Ok(request)
    }
}

/// A complete response of any status.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    pub body: Bytes,
}

/// A client whose clones share its idle connections. It must be used within a `LocalSet`.
#[derive(Clone)]
pub struct LocalHttpClient {
    idle: Rc<RefCell<IdlePool<SendRequest<Full<Bytes>>>>>,
}

impl Default for LocalHttpClient {
    fn default() -> Self {
        Self::new(IDLE_TOTAL)
    }
}

impl LocalHttpClient {
    /// Creates a client on a machine that has room for this many idle connections.
    pub fn new(idle_max: usize) -> Self {
        let limits = IdleLimits {
            per_address: IDLE_PER_ADDRESS,
            total: idle_max.min(IDLE_TOTAL),
        };
        Self {
            idle: Rc::new(RefCell::new(IdlePool::new(limits))),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// "Not run" if nothing was sent, otherwise "may have run".
    pub async fn call(
        &self,
        call: &HttpCall,
        call_timeout: Duration,
    ) -> Result<HttpResponse, CallFailure> {
        let deadline = Instant::now() + call_timeout;
        while let Some(sender) = self.take(call.address) {
            if let Some(result) = self.exchange(sender, call, deadline).await? {
                return Ok(result);
            }
        }
        let sender = timeout_at(deadline, connect(call.address))
            .await
            .map_err(|_| CallFailure::not_run(503, "no connection in time"))??;
        let closed = || CallFailure::not_run(503, "closed at once");
        self.exchange(sender, call, deadline)
            .await?
            .ok_or_else(closed)
    }

    fn take(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let sender = idle.take(address)?;
            if !sender.is_closed() {
                return Some(sender);
            }
        }
    }

    fn put(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        if !sender.is_closed() {
            self.idle.borrow_mut().put(address, sender);
        }
    }

    fn drop_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove_all(address);
    }

    /// Returns `None` if the connection had been closed before anything was sent.
    async fn exchange(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        call: &HttpCall,
        deadline: Instant,
    ) -> Result<Option<HttpResponse>, CallFailure> {
        let request = call.request()?;
        let address = call.address;
        // The process may have been paused since the call began.
        if Instant::now() >= deadline {
            self.put(address, sender);
            return Err(CallFailure::not_run(503, "no time left to send it"));
        }
        let sent = timeout_at(deadline, send(&mut sender, request)).await;
        match sent {
            Ok(Ok(Some(response))) => {
                self.put(address, sender);
                Ok(Some(response))
            }
            Ok(other) => {
                self.drop_idle(address);
                other
            }
            Err(_) => {
                self.drop_idle(address);
                Err(CallFailure::may_have_run(504, "no answer in time"))
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, CallFailure> {
    let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = timeout(connect_timeout, TcpStream::connect(address))
        .await
        .map_err(|_| CallFailure::not_run(503, "no connection in time"))?
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => {
                CallFailure::not_run(STATUS_CONNECTION_REFUSED, "nobody listens")
            }
            _ => CallFailure::not_run(503, format!("no connection: {error}")),
        })?;
    // If this fails, responses are only slower.
    let _ = stream.set_nodelay(true);
    let (sender, driver) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| CallFailure::not_run(503, error.to_string()))?;
    tokio::task::spawn_local(async move {
        // Errors are reported to the call that waits for the response.
        let _ = driver.await;
    });
    metrics::counter!("hemlockramp_channels_opened_total").increment(1);
    Ok(sender)
}

async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Option<HttpResponse>, CallFailure> {
    if sender.ready().await.is_err() {
        return Ok(None);
    }
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let reason = format!("broken off: {}", error.error());
            return match error.take_message().is_some() {
                true => Ok(None),
                false => Err(CallFailure::may_have_run(502, reason)),
            };
        }
    };
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
    let body = body
        .collect()
        .await
        .map_err(|error| CallFailure::may_have_run(502, format!("cut off: {error}")))?;
    Ok(Some(HttpResponse {
        status,
        body: body.to_bytes(),
    }))
}
