//! Kept-open HTTP/1.1 connections for tasks of one thread.
//!
//! A connection whose answer is late is closed, and with it all idle ones to the same
//! address: what silenced one may have silenced the others.

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

/// Time to connect, in ms.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Idle connections kept for one address.
const IDLE_MAX_PER_ADDRESS: usize = 4;
/// Largest answer read, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Status of a failure to connect because nobody listens.
pub const STATUS_CONNECTION_REFUSED: u16 = 521;

/// A call to be made.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Where.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; `Host` is the address unless it stands here.
    pub headers: HeaderMap,
    /// Body.
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

/// A whole answer, whatever its status.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

struct IdleConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// Idle connections. Cloning shares them; call within a `LocalSet`.
#[derive(Clone, Default)]
pub struct LocalHttpClient {
    idle: Rc<RefCell<Vec<IdleConnection>>>,
}

impl LocalHttpClient {
    /// Makes a call and reads the whole answer.
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
            let index = idle.iter().rposition(|row| row.address == address)?;
            let row = idle.remove(index);
            if !row.sender.is_closed() {
                return Some(row.sender);
            }
        }
    }

    fn put(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        let idle_count = idle.iter().filter(|row| row.address == address).count();
        if idle_count < IDLE_MAX_PER_ADDRESS && !sender.is_closed() {
            idle.push(IdleConnection { address, sender });
        }
    }

    fn drop_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().retain(|row| row.address != address);
    }

    /// Returns nothing if the connection had been closed before anything was sent.
    async fn exchange(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        call: &HttpCall,
        deadline: Instant,
    ) -> Result<Option<HttpResponse>, CallFailure> {
        let request = call.request()?;
        let address = call.address;
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
    // Without it answers come late, never wrong.
    let _ = stream.set_nodelay(true);
    let (sender, driver) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| CallFailure::not_run(503, error.to_string()))?;
    tokio::task::spawn_local(async move {
        // Errors reach the call that waits for its answer.
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
