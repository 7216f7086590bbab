//! Minimal HTTP client for tests: sends one request on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Report, eyre};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Timeout of a request, from connecting to the last byte of the response, in ms.
const RESPONSE_TIMEOUT_MS: u64 = 30_000;

/// Complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `hemlockramp-verdict` header; empty if absent.
    pub verdict: String,
    /// Body, as text.
    pub body: String,
}

/// Posts a body with headers given as `name: value`; `host` defaults to the address.
///
/// # Errors
///
/// Returns an error if a header has no `: `, or no complete response arrives within 30 s.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Result<CallerResponse, Report> {
    let limit = Duration::from_millis(RESPONSE_TIMEOUT_MS);
    tokio::time::timeout(limit, exchange(address, path, headers, body)).await?
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Result<CallerResponse, Report> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, driver) = handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(driver);
    let mut builder = Request::post(path);
    if !headers.iter().any(|header| header.starts_with("host: ")) {
        builder = builder.header("host", address.to_string());
    }
    for header in headers {
        let (name, value) = header
            .split_once(": ")
            .ok_or_else(|| eyre!("header {header:?} is not of the form `name: value`"))?;
        builder = builder.header(name, value);
    }
    let request = builder.body(Full::new(Bytes::from(body.to_owned())))?;
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    let verdict = response.headers().get("hemlockramp-verdict");
    let verdict = verdict
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let bytes = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok(CallerResponse {
        status,
        verdict,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}
