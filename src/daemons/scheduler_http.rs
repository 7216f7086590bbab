//! HTTP endpoints of the scheduler: liveness and readiness probes, metrics, and the websocket
//! of peers and gateways.

use dropshot::Body;
use futures_util::StreamExt;
use http::header::{CONNECTION, SEC_WEBSOCKET_ACCEPT, SEC_WEBSOCKET_KEY, UPGRADE};
use http::{Method, Response, StatusCode};
use hyper::upgrade::OnUpgrade;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};

use crate::daemons::calls::serve_call;
use crate::daemons::context::SharedContext;
use crate::daemons::guarded_server::{GuardedRequest, RequestHandler};
use crate::daemons::http_reply::{HttpReply, failure_reply, text_reply};
use crate::daemons::peer_link::{decode_frame, encode_frame};
use crate::routing::verdict::CallFailure;
use crate::wire::peer::{PeerBody, PeerCall, PeerFrame};
use crate::work::intake::gate::ConnectionSlot;
use crate::work::intake::metered::{MessageMeter, MeteredStream};
use crate::work::intake::reply_queue::reply_queue;

/// Capacity of the queue of replies waiting to be sent on one connection.
const REPLY_QUEUE_MAX: usize = 1_024;
/// Largest message of a peer or a gateway, in bytes. The largest call holds a JSON body of 1 MiB.
const MESSAGE_MAX_BYTES: usize = 4_194_304;
/// Buffer in which a message arrives, in bytes; it grows with the message.
const READ_BUFFER_BYTES: usize = 16_384;

/// State shared by the endpoints.
pub struct SchedulerServer {
    /// The scheduler's shared state.
    pub context: SharedContext,
    /// Renders the metrics as Prometheus text.
    pub metrics: PrometheusHandle,
}

impl RequestHandler for SchedulerServer {
    async fn handle(&self, request: GuardedRequest) -> HttpReply {
        match (request.request.method(), request.request.uri().path()) {
            (&Method::GET, "/live") => text_reply(200, "live\n".to_owned()),
            (&Method::GET, "/ready") => self.get_ready(),
            (&Method::GET, "/metrics") => {
                set_gauges(&self.context);
                text_reply(200, self.metrics.render())
            }
            (&Method::GET, "/peer") => self.open_peer(request),
            _ => failure_reply(&CallFailure::not_run(404, "there is no such path")),
        }
    }
}

impl SchedulerServer {
    /// Readiness probe: succeeds while calls can be served.
    fn get_ready(&self) -> HttpReply {
        match self.context.is_ready() {
            true => text_reply(200, "ready\n".to_owned()),
            false => text_reply(
                503,
                format!("not ready: {:?}\n", self.context.view.status()),
            ),
        }
    }

    /// Opens a websocket for the calls of a peer or a gateway.
    fn open_peer(&self, request: GuardedRequest) -> HttpReply {
        let GuardedRequest { request, slot } = request;
        let Some(key) = request.headers().get(SEC_WEBSOCKET_KEY) else {
            return failure_reply(&CallFailure::not_run(400, "a websocket is needed"));
        };
        let response = Response::builder()
            .status(StatusCode::SWITCHING_PROTOCOLS)
            .header(CONNECTION, "Upgrade")
            .header(UPGRADE, "websocket")
            .header(SEC_WEBSOCKET_ACCEPT, derive_accept_key(key.as_bytes()))
            .body(Body::empty())?;
        let upgrade = hyper::upgrade::on(request);
        let context = self.context.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = slot.wait_close() => {}
                () = slot.wait_refuse() => {}
                () = serve_peer(context, upgrade, slot.clone()) => {}
            }
        });
        Ok(response)
    }
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

/// Serves calls over a websocket until it ends.
async fn serve_peer(context: SharedContext, upgrade: OnUpgrade, slot: ConnectionSlot) {
    let Ok(upgraded) = upgrade.await else {
        return;
    };
    // Room for the largest messages, however small the machine is.
    slot.receive(MESSAGE_MAX_BYTES);
    slot.rest();
    let meter = MessageMeter::new(slot);
    let stream = MeteredStream::new(TokioIo::new(upgraded), meter.clone());
    let config = WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MESSAGE_MAX_BYTES))
        .max_frame_size(Some(MESSAGE_MAX_BYTES));
    let socket = WebSocketStream::from_raw_socket(stream, Role::Server, Some(config)).await;
    let (sink, mut stream) = socket.split();
    let (replies, writer) = reply_queue(&meter, REPLY_QUEUE_MAX);
    let reader = async move {
        while let Some(Ok(message)) = stream.next().await {
            let Ok(held) = meter.take_message(message.len()) else {
                break;
            };
            // Pongs are sent explicitly: the split-off sink does not flush them by itself.
            if let Message::Ping(payload) = &message {
                meter.release(held);
                let pong = Message::Pong(payload.clone());
                if replies.send(pong, 0).await.is_err() {
                    break;
                }
                continue;
            }
            let Some(PeerFrame {
                id,
                body: PeerBody::Call(call),
            }) = decode_frame(&message)
            else {
                meter.release(held);
                continue;
            };
            let replied = reply_to_call(context.clone(), id, call);
            let (meter, replies) = (meter.clone(), replies.clone());
            tokio::spawn(async move {
                let Some(reply) = replied.await else {
                    meter.release(held);
                    return;
                };
                // If the connection is gone, the peer already treats its call as one that may have
                // run.
                let _ = replies.send(reply, held).await;
            });
        }
    };
    // Whichever ends first ends the connection.
    tokio::select! {
        () = reader => {}
        () = writer.run(sink) => {}
    }
}

/// Serves a call and returns the reply, or none if it cannot be encoded.
async fn reply_to_call(context: SharedContext, id: u64, call: PeerCall) -> Option<Message> {
    let reply = serve_call(&context, call).await;
    let frame = PeerFrame {
        id,
        body: PeerBody::Reply(Box::new(reply)),
    };
    encode_frame(&frame)
}
