//! A connection to a scheduler: many calls at once, matched by id, liveness checked.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, connect_async_with_config};

use crate::routing::verdict::CallFailure;
use crate::wire::peer::{PeerBody, PeerCall, PeerFrame, PeerReply};

/// Calls waiting to be sent.
const CALL_QUEUE_MAX: usize = 1_024;
/// Time to connect, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Pause before connecting again, in ms.
const RECONNECT_DELAY_MS: u64 = 200;
/// Time between two pings, in ms.
const PING_INTERVAL_MS: u64 = 500;
/// Silence after which the connection counts as dead, in ms.
const SILENCE_TIMEOUT_MS: u64 = 2_000;

type Socket = WebSocketStream<MaybeTlsStream<TcpStream>>;
type ReplySender = oneshot::Sender<Result<PeerReply, CallFailure>>;

struct QueuedCall {
    call: PeerCall,
    reply: ReplySender,
}

/// A link to one scheduler; it connects again by itself. Cloning shares it.
#[derive(Clone, Debug)]
pub struct PeerLink {
    address: SocketAddr,
    queue: mpsc::Sender<QueuedCall>,
    last_message_at: Arc<Mutex<Instant>>,
}

impl PeerLink {
    /// Starts the link's task; it ends when all clones are dropped.
    pub fn start(address: SocketAddr) -> Self {
        let (queue, receiver) = mpsc::channel(CALL_QUEUE_MAX);
        let last_message_at = Arc::new(Mutex::new(Instant::now()));
        tokio::spawn(run_link(address, receiver, Arc::clone(&last_message_at)));
        Self {
            address,
            queue,
            last_message_at,
        }
    }

    /// Returns the time since the scheduler was last heard, in ms; it answers a ping every half
    /// second while it is well.
    pub fn silence_ms(&self) -> u64 {
        let last_message_at = self
            .last_message_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_message_at.elapsed().as_millis() as u64
    }

    /// Returns the scheduler's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls the scheduler.
    ///
    /// # Errors
    ///
    /// "Not run" if the call was never sent; "may have run" if its reply did not come.
    pub async fn call(&self, call: PeerCall, limit: Duration) -> Result<PeerReply, CallFailure> {
        let (reply, receiver) = oneshot::channel();
        if self.queue.try_send(QueuedCall { call, reply }).is_err() {
            return Err(CallFailure::not_run(
                503,
                "too many calls wait for the scheduler",
            ));
        }
        match timeout(limit, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CallFailure::may_have_run(
                502,
                "the link to the scheduler ended",
            )),
            Err(_) => Err(CallFailure::may_have_run(
                504,
                "the scheduler did not reply in time",
            )),
        }
    }
}

async fn run_link(
    address: SocketAddr,
    mut queue: mpsc::Receiver<QueuedCall>,
    last_message_at: Arc<Mutex<Instant>>,
) {
    loop {
        match connect(address).await {
            Some(socket) => {
                if !run_socket(socket, &mut queue, &last_message_at).await {
                    return;
                }
            }
            None => {
                if !refuse_calls_for(&mut queue, Duration::from_millis(RECONNECT_DELAY_MS)).await {
                    return;
                }
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Socket> {
    let url = format!("ws://{address}/peer");
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = timeout(limit, connect_async_with_config(url, None, true)).await;
    Some(connected.ok()?.ok()?.0)
}

/// Refuses calls while there is no connection; returns whether the link is still wanted.
async fn refuse_calls_for(queue: &mut mpsc::Receiver<QueuedCall>, pause: Duration) -> bool {
    let until = Instant::now() + pause;
    loop {
        match tokio::time::timeout_at(until, queue.recv()).await {
            Ok(Some(queued)) => {
                let failure = CallFailure::not_run(503, "no connection to the scheduler");
                let _ = queued.reply.send(Err(failure));
            }
            Ok(None) => return false,
            Err(_) => return true,
        }
    }
}

/// Calls whose reply is awaited, with the count of calls made.
#[derive(Default)]
struct PendingCalls {
    last_id: u64,
    replies: HashMap<u64, ReplySender>,
}

impl PendingCalls {
    fn fail_all(self) {
        for (_, reply) in self.replies {
            let failure = CallFailure::may_have_run(502, "the connection to the scheduler broke");
            let _ = reply.send(Err(failure));
        }
    }
}

/// Serves one connection until it breaks; returns whether the link is still wanted.
async fn run_socket(
    mut socket: Socket,
    queue: &mut mpsc::Receiver<QueuedCall>,
    shared_last_message_at: &Mutex<Instant>,
) -> bool {
    let mut pending = PendingCalls::default();
    let mut pings = interval(Duration::from_millis(PING_INTERVAL_MS));
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_message_at = Instant::now();
    let wanted = loop {
        tokio::select! {
            queued = queue.recv() => match queued {
                Some(queued) => {
                    if !send_call(&mut socket, queued, &mut pending).await {
                        break true;
                    }
                }
                None => break false,
            },
            message = socket.next() => match message {
                Some(Ok(message)) => {
                    last_message_at = Instant::now();
                    *shared_last_message_at.lock().unwrap_or_else(PoisonError::into_inner) = last_message_at;
                    deliver_reply(message, &mut pending);
                }
                _ => break true,
            },
            _ = pings.tick() => {
                let silent = last_message_at.elapsed() > Duration::from_millis(SILENCE_TIMEOUT_MS);
                if silent || !send_in_time(&mut socket, Message::Ping(Vec::new().into())).await {
                    log::debug!("peer: a connection went silent and is dropped.");
                    break true;
                }
            }
        }
    };
    pending.fail_all();
    wanted
}

async fn send_call(socket: &mut Socket, queued: QueuedCall, pending: &mut PendingCalls) -> bool {
    pending.last_id += 1;
    let frame = PeerFrame {
        id: pending.last_id,
        body: PeerBody::Call(queued.call),
    };
    pending.replies.insert(frame.id, queued.reply);
    match encode_frame(&frame) {
        Some(message) => send_in_time(socket, message).await,
        None => false,
    }
}

async fn send_in_time(socket: &mut Socket, message: Message) -> bool {
    let limit = Duration::from_millis(SILENCE_TIMEOUT_MS);
    matches!(timeout(limit, socket.send(message)).await, Ok(Ok(())))
}

fn deliver_reply(message: Message, pending: &mut PendingCalls) {
    let Some(frame) = decode_frame(&message) else {
        return;
    };
    if let PeerBody::Reply(reply) = frame.body
        && let Some(waiter) = pending.replies.remove(&frame.id)
    {
        let _ = waiter.send(*reply);
    }
}

/// Encodes a frame as CBOR; none if that fails.
pub fn encode_frame(frame: &PeerFrame) -> Option<Message> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).ok()?;
    Some(Message::Binary(bytes.into()))
}

/// Decodes a frame; none for other messages and for what cannot be read.
pub fn decode_frame(message: &Message) -> Option<PeerFrame> {
    match message {
        Message::Binary(bytes) => ciborium::from_reader(bytes.as_ref()).ok(),
        _ => None,
    }
}
