//! A JSON client for the platform's and the workers' HTTP interfaces.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::routing::verdict::CallFailure;
use crate::wire::api::ErrorView;

/// Largest answer read, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Time to connect before a call counts as not sent, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle time after which a pooled connection is closed, in ms.
const POOL_IDLE_MS: u64 = 15_000;

/// A client with its own connection pool. Cloning shares the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(POOL_IDLE_MS))
            .build(connector);
        Self { client }
    }
}

impl HttpClient {
    /// Sends a JSON body and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// "Not run" when no connection was made or the other side says so with status 4xx
    /// or 503; otherwise "may have run".
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        url: &str,
        body: &Q,
        timeout: Duration,
    ) -> Result<A, CallFailure> {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| CallFailure::not_run(400, format!("cannot be encoded: {error}")))?;
        self.call(Method::POST, url, bytes, timeout).await
    }

    /// Reads a JSON answer.
    ///
    /// # Errors
    ///
    /// As for `post`.
    pub async fn get<A: DeserializeOwned>(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<A, CallFailure> {
        self.call(Method::GET, url, Vec::new(), timeout).await
    }

    /// Reads an answer as text.
    ///
    /// # Errors
    ///
    /// As for `post`.
    pub async fn get_text(&self, url: &str, timeout: Duration) -> Result<String, CallFailure> {
        let bytes = self
            .call_bytes(Method::GET, url, Vec::new(), timeout)
            .await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<A, CallFailure> {
        let bytes = self.call_bytes(method, url, body, timeout).await?;
        serde_json::from_slice(&bytes)
            .map_err(|error| CallFailure::may_have_run(502, format!("bad answer: {error}")))
    }

    async fn call_bytes(
        &self,
        method: Method,
        url: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, CallFailure> {
        let uri: Uri = url
            .parse()
            .map_err(|error| CallFailure::not_run(400, format!("bad address {url}: {error}")))?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallFailure::not_run(400, error.to_string()))?;
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(response) => response,
            Err(_) => Err(CallFailure::may_have_run(
                504,
                format!("no answer in {} ms", timeout.as_millis()),
            )),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, CallFailure> {
        let response =
            self.client
                .request(request)
                .await
                .map_err(|error| match error.is_connect() {
                    true => CallFailure::not_run(503, format!("no connection: {error}")),
                    false => CallFailure::may_have_run(502, format!("broken off: {error}")),
                })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
        let bytes = body
            .collect()
            .await
            .map_err(|error| CallFailure::may_have_run(502, format!("answer cut: {error}")))?
            .to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        // Our own hosts say the verdict themselves.
        if let Ok(view) = serde_json::from_slice::<ErrorView>(&bytes) {
            return Err(CallFailure {
                verdict: view.verdict,
                status: status.as_u16(),
                reason: view.reason,
                retry_ms: view.retry_ms,
            });
        }
        let text: String = String::from_utf8_lossy(&bytes).chars().take(200).collect();
        Err(match status.is_client_error() || status.as_u16() == 503 {
            true => CallFailure::not_run(status.as_u16(), text),
            false => CallFailure::may_have_run(status.as_u16(), text),
        })
    }
}
