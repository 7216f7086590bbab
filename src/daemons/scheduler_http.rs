//! The scheduler's HTTP interface: peers' websocket, liveness, readiness, metrics.

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, RequestContext, WebsocketChannelResult,
    WebsocketConnection, channel, endpoint,
};
use futures_util::{SinkExt, StreamExt};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::Role;

use crate::daemons::calls::serve_call;
use crate::daemons::context::SharedContext;
use crate::daemons::http_reply::{HttpReply, text_reply};
use crate::daemons::peer_link::{decode_frame, encode_frame};
use crate::wire::peer::{PeerBody, PeerCall, PeerFrame};

/// Replies waiting to be sent on one connection.
const REPLY_QUEUE_MAX: usize = 1_024;

/// What the endpoints share.
pub struct SchedulerServer {
    /// The scheduler.
    pub context: SharedContext,
    /// Renders metrics.
    pub metrics: PrometheusHandle,
}

/// Returns the interface.
///
/// # Errors
///
/// Fails when two endpoints clash.
pub fn scheduler_api() -> Result<ApiDescription<SchedulerServer>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(get_live)?;
    api.register(get_ready)?;
    api.register(get_metrics)?;
    api.register(open_peer)?;
    Ok(api)
}

/// Says that the process runs.
#[endpoint { method = GET, path = "/live" }]
async fn get_live(_request: RequestContext<SchedulerServer>) -> HttpReply {
    text_reply(200, "live\n".to_owned())
}

/// Says whether calls can be served.
#[endpoint { method = GET, path = "/ready" }]
async fn get_ready(request: RequestContext<SchedulerServer>) -> HttpReply {
    let context = &request.context().context;
    match context.is_ready() {
        true => text_reply(200, "ready\n".to_owned()),
        false => text_reply(503, format!("not ready: {:?}\n", context.view.status())),
    }
}

/// Returns metrics as Prometheus text.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(request: RequestContext<SchedulerServer>) -> HttpReply {
    let server = request.context();
    set_gauges(&server.context);
    text_reply(200, server.metrics.render())
}

fn set_gauges(context: &SharedContext) {
    let state = context.view.state();
    metrics::gauge!("hemlockramp_journal_next_offset").set(state.next_offset as f64);
    metrics::gauge!("hemlockramp_ticket_in_force").set(state.tickets.highest as f64);
    metrics::gauge!("hemlockramp_jobs_waiting").set(state.jobs.waiting().count() as f64);
    metrics::gauge!("hemlockramp_jobs_active").set(state.jobs.active().count() as f64);
    metrics::gauge!("hemlockramp_keys").set(state.keys.rows.len() as f64);
    let short: u32 = state.short_guarantees().iter().map(|row| row.short).sum();
    metrics::gauge!("hemlockramp_guarantees_short").set(f64::from(short));
}

/// Serves calls of a peer or a gateway.
#[channel { protocol = WEBSOCKETS, path = "/peer" }]
async fn open_peer(
    request: RequestContext<SchedulerServer>,
    upgraded: WebsocketConnection,
) -> WebsocketChannelResult {
    let raw = upgraded.into_inner();
    let socket = WebSocketStream::from_raw_socket(raw, Role::Server, None).await;
    let (mut sink, mut stream) = socket.split();
    let (sender, mut replies) = mpsc::channel::<Message>(REPLY_QUEUE_MAX);
    let context = request.context().context.clone();
    let writer = tokio::spawn(async move {
        while let Some(message) = replies.recv().await {
            if sink.send(message).await.is_err() {
                return;
            }
        }
    });
    while let Some(Ok(message)) = stream.next().await {
        // Echoed explicitly: the other half of the socket does not flush by itself.
        if let Message::Ping(payload) = &message {
            if sender.send(Message::Pong(payload.clone())).await.is_err() {
                break;
            }
            continue;
        }
        let Some(frame) = decode_frame(&message) else {
            continue;
        };
        if let PeerBody::Call(call) = frame.body {
            tokio::spawn(reply_to_call(
                context.clone(),
                frame.id,
                call,
                sender.clone(),
            ));
        }
    }
    drop(sender);
    writer.abort();
    Ok(())
}

async fn reply_to_call(
    context: SharedContext,
    id: u64,
    call: PeerCall,
    replies: mpsc::Sender<Message>,
) {
    let reply = serve_call(&context, call).await;
    let frame = PeerFrame {
        id,
        body: PeerBody::Reply(Box::new(reply)),
    };
    if let Some(message) = encode_frame(&frame) {
        // The caller may be gone; it then knows that its call may have run.
        let _ = replies.send(message).await;
    }
}
