//! HTTP server of a daemon whose connections, heads and bodies are bounded.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::Body;
use eyre::{Report, WrapErr};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::sync::{Notify, mpsc};
use tokio::task::{JoinError, JoinHandle};

use crate::daemons::http_reply::HttpReply;
use crate::work::intake::answer::finish_answer;
use crate::work::intake::gate::ConnectionSlot;
use crate::work::intake::limits::{HEAD_MAX_BYTES, HEAD_TIMEOUT_MS, IntakeLimits};
use crate::work::intake::listener::GuardedListener;

/// A request whose head has been read, with its connection's place in the intake.
pub struct GuardedRequest {
    /// The request; its body has not been read.
    pub request: Request<Incoming>,
    /// The connection's place in the intake.
    pub slot: ConnectionSlot,
}

/// Answers the requests to a server.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: GuardedRequest) -> impl Future<Output = HttpReply> + Send;
}

/// A running server. Call `close` when it is no longer needed.
pub struct GuardedServer {
    address: SocketAddr,
    closing: Arc<Notify>,
    task: JoinHandle<()>,
}

impl GuardedServer {
    /// Binds the address and serves requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        listen: SocketAddr,
        name: &'static str,
        limits: IntakeLimits,
        handler: impl RequestHandler,
    ) -> Result<Self, Report> {
        let listener = GuardedListener::bind(listen, name, limits)
            .wrap_err_with(|| format!("{name} cannot listen on {listen}"))?;
        let address = listener.local_address()?;
        let closing = Arc::new(Notify::new());
        let task = tokio::spawn(serve(listener, Arc::new(handler), Arc::clone(&closing)));
        Ok(Self {
            address,
            closing,
            task,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections, and waits for the requests in flight.
    pub async fn close(self) {
        self.closing.notify_one();
        // The task fails only if it panics, which has been reported then.
        let _ = self.task.await;
    }
}

async fn serve(listener: GuardedListener, handler: Arc<impl RequestHandler>, closing: Arc<Notify>) {
    let graceful = GracefulShutdown::new();
    // Each handler holds a sender; once all are dropped, no request is in flight.
    let (in_flight, mut ended) = mpsc::channel::<()>(1);
    let mut builder = auto::Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
        .max_buf_size(HEAD_MAX_BYTES);
    loop {
        let (stream, slot) = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.notified() => break,
        };
        let handler = Arc::clone(&handler);
        let service_slot = slot.clone();
        let in_flight = in_flight.clone();
        let service = service_fn(move |request| {
            let slot = service_slot.clone();
            let request = GuardedRequest { request, slot };
            respond(Arc::clone(&handler), request, in_flight.clone())
        });
        let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = slot.wait_close() => {}
                _ = connection => {}
            }
        });
    }
    drop(listener);
    drop(in_flight);
    graceful.shutdown().await;
    ended.recv().await;
}

/// Answers a request. The handler goes on if the client leaves: what it does has to be recorded.
async fn respond(
    handler: Arc<impl RequestHandler>,
    request: GuardedRequest,
    in_flight: mpsc::Sender<()>,
) -> Result<Response<Body>, JoinError> {
    let slot = request.slot.clone();
    slot.serve();
    let handling = tokio::spawn(async move {
        let reply = handler.handle(request).await;
        drop(in_flight);
        reply
    });
    let reply = handling.await?;
    let mut response = reply.unwrap_or_else(|error| error.into_response(""));
    finish_answer(&slot, &mut response);
    Ok(response)
}
