//! Starts the HTTP server of a fake service.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use dropshot::{ApiDescription, ConfigDropshot, HttpServer, ServerBuilder, ServerContext};
use eyre::{Report, eyre};
use hemlockramp::daemons::http_reply::server_logger;

/// Largest request body, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Starts a server on an address; port 0 picks a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start_server<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    listen: SocketAddr,
) -> Result<HttpServer<C>, Report> {
    let config = ConfigDropshot {
        bind_address: listen,
        default_request_body_max_bytes: BODY_MAX_BYTES,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, server_logger())
        .config(config)
        .start()
        .map_err(|error| eyre!("cannot listen on {listen}: {error}"))
}

/// Returns the current time, in Unix ms.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
