//! Links to peer hosts, which forward store calls and records, and the server side of them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::daemons::peer_link::{PeerLink, decode_frame, encode_frame};
use crate::routing::verdict::{CallFailure, RunVerdict};
use crate::wire::peer::{PeerBody, PeerCall, PeerFrame, PeerReply};
use crate::work::clock::steady_ms;
use crate::work::intake::gate::ConnectionSlot;
use crate::work::intake::listener::GuardedListener;
use crate::work::intake::metered::{MessageMeter, MeteredStream};
use crate::work::intake::reply_queue::reply_queue;
use crate::work::model::stream::{KeyedValue, StoreCall, StoreFailure, StoreReply};
use crate::work::model::term_report::TermReport;
use crate::work::ports::StorePort;

/// Time for which a peer that failed is tried after all others.
const FAILED_PEER_BACKOFF_MS: u64 = 2_000;
/// Timeout of a store call that is forwarded for a peer.
const FORWARD_TIMEOUT_MS: u64 = 500;
/// Silence of a peer after which its answer is no longer awaited. Peers are pinged every 500 ms.
const SILENCE_TIMEOUT_MS: u64 = 800;
/// Interval at which the silence of a peer is checked.
const SILENCE_POLL_MS: u64 = 100;
/// Idle time after which a link is closed.
const LINK_IDLE_MAX_MS: u64 = 5_000;
/// Upper bound on a call over a link; the callers' own timeouts are shorter.
const LINK_TIMEOUT_MS: u64 = 10_000;
/// Silence of a peer after which the server's side of its link is closed. Peers are pinged every
/// 500 ms, so a link that is silent for longer is broken even if it is never reset.
const PEER_SILENCE_MAX_MS: u64 = 5_000;
/// Largest message of a peer where the service names none, in bytes.
const MESSAGE_DEFAULT_BYTES: usize = 4_194_304;
/// Buffer in which a message of a peer arrives, in bytes; it grows with the message.
const READ_BUFFER_BYTES: usize = 16_384;
/// Maximum number of replies that wait to be sent on one connection.
const REPLIES_MAX: usize = 64;

/// A link to a peer for store calls and records, opened on first use.
#[derive(Clone, Debug)]
pub struct StoreLink {
    link: PeerLink,
}

impl StoreLink {
    /// Calls the store through the peer.
    ///
    /// # Errors
    ///
    /// Returns the store's failure or that of the link.
    pub async fn call_store(&self, call: &StoreCall) -> Result<StoreReply, StoreFailure> {
        let limit = Duration::from_millis(LINK_TIMEOUT_MS);
        match self.link.call(PeerCall::Store(call.clone()), limit).await {
            Ok(PeerReply::Store(result)) => result,
            Ok(_) => Err(StoreFailure::Unknown("a peer answered amiss".to_owned())),
            Err(failure) => Err(failure.into()),
        }
    }

    /// Asks the owner to store a record with its group commit, and waits for the result unless the
    /// owner falls silent.
    ///
    /// # Errors
    ///
    /// Returns the failure of the append or that of the link; `Unknown` if the owner falls silent.
    pub async fn record(&self, entry: &KeyedValue) -> Result<(), StoreFailure> {
        let limit = Duration::from_millis(LINK_TIMEOUT_MS);
        let reply = self.link.call(PeerCall::Record(entry.clone()), limit);
        let reply = tokio::select! {
            reply = reply => reply,
            () = self.wait_for_silence() => {
                return Err(StoreFailure::Unknown("the owner is not heard".to_owned()));
            }
        };
        match reply {
            Ok(PeerReply::Recorded(result)) => result,
            Ok(_) => Err(StoreFailure::Unknown("the owner answered amiss".to_owned())),
            Err(failure) => Err(failure.into()),
        }
    }

    /// Asks the peer for its term as the pool's owner, for at most `limit`. Returns none if it gives
    /// no answer or has no term.
    pub async fn ask_term(&self, limit: Duration) -> Option<TermReport> {
        match self.link.call(PeerCall::Term, limit).await {
            Ok(PeerReply::Term(report)) => report,
            _ => None,
        }
    }

    /// Waits until the peer has been silent for `SILENCE_TIMEOUT_MS`.
    async fn wait_for_silence(&self) {
        while self.link.silence_ms() < SILENCE_TIMEOUT_MS {
            tokio::time::sleep(Duration::from_millis(SILENCE_POLL_MS)).await;
        }
    }
}

/// Operations that a host performs for its peers.
pub trait PeerService: 'static {
    /// Client of the direct path to the store.
    type Store: StorePort;

    /// Returns the store client, or none if the direct path of this host is down as well.
    fn store(&self) -> Option<Self::Store>;

    /// Returns the places for calls to the store, each of which may open a connection to it. There is
    /// no bound where the service names none.
    fn store_places(&self) -> Option<&Semaphore> {
        None
    }

    /// Returns the size of the largest message that a peer may send, in bytes.
    fn message_max_bytes(&self) -> usize {
        MESSAGE_DEFAULT_BYTES
    }

    /// Returns this host's term as the pool's owner, if it has one.
    fn term_report(&self) -> Option<TermReport> {
        None
    }

    /// Stores a record with the owner's group commit.
    fn record(&self, entry: KeyedValue) -> impl Future<Output = Result<(), StoreFailure>>;
}

impl From<CallFailure> for StoreFailure {
    fn from(failure: CallFailure) -> Self {
        match failure.verdict {
            RunVerdict::NotRun => Self::NotDone(failure.reason),
            _ => Self::Unknown(failure.reason),
        }
    }
}

#[derive(Debug)]
struct PeerRow {
    address: SocketAddr,
    link: Option<PeerLink>,
    used_ms: u64,
    failed_ms: u64,
}

impl PeerRow {
    /// Returns the link, opening it if necessary.
    fn open_link(&mut self, now_ms: u64) -> StoreLink {
        self.used_ms = now_ms;
        let address = self.address;
        let link = self.link.get_or_insert_with(|| PeerLink::start(address));
        StoreLink { link: link.clone() }
    }

    fn is_backed_off(&self, now_ms: u64) -> bool {
        self.failed_ms != 0 && now_ms < self.failed_ms + FAILED_PEER_BACKOFF_MS
    }
}

/// The known peers, used round-robin.
#[derive(Debug, Default)]
pub struct PeerSet {
    rows: RefCell<Vec<PeerRow>>,
    next_index: Cell<usize>,
}

impl PeerSet {
    /// Adds a peer unless it is already known.
    pub fn add(&self, address: SocketAddr) {
        let mut rows = self.rows.borrow_mut();
        if rows.iter().all(|row| row.address != address) {
            rows.push(PeerRow {
                address,
                link: None,
                used_ms: 0,
                failed_ms: 0,
            });
        }
    }

    pub fn remove(&self, address: SocketAddr) {
        self.rows.borrow_mut().retain(|row| row.address != address);
    }

    /// Returns links to the next `count` peers, those that failed recently last.
    pub fn next_links(&self, count: usize) -> Vec<StoreLink> {
        let mut rows = self.rows.borrow_mut();
        let total = rows.len();
        let next_index = self
            .next_index
            .replace(self.next_index.get().wrapping_add(1));
        let mut order: Vec<usize> = (0..total).map(|step| (next_index + step) % total).collect();
        let now_ms = steady_ms();
        // Among the rest open links come first, as they need no connection setup.
        order.sort_by_key(|&index| {
            let row = &rows[index];
            (row.is_backed_off(now_ms), row.link.is_none())
        });
        let mut links = Vec::new();
        for index in order.into_iter().take(count) {
            links.push(rows[index].open_link(now_ms));
        }
        links
    }

    /// Returns the link to one peer, or none if the peer is unknown or failed recently. Closes
    /// links that have been idle for too long.
    pub fn link_to(&self, address: SocketAddr) -> Option<StoreLink> {
        let now_ms = steady_ms();
        let mut rows = self.rows.borrow_mut();
        let row = rows.iter_mut().find(|row| row.address == address)?;
        if row.is_backed_off(now_ms) {
            return None;
        }
        let link = row.open_link(now_ms);
        // Links to former owners are no longer used.
        for row in rows.iter_mut() {
            if row.used_ms + LINK_IDLE_MAX_MS < now_ms {
                row.link = None;
            }
        }
        Some(link)
    }

    /// Returns the link to one peer, also if the peer failed recently; none if it is unknown.
    pub fn open_link_to(&self, address: SocketAddr) -> Option<StoreLink> {
        let mut rows = self.rows.borrow_mut();
        let row = rows.iter_mut().find(|row| row.address == address)?;
        Some(row.open_link(steady_ms()))
    }

    /// Records that a call to a peer failed, and closes its link.
    pub fn mark_failed(&self, link: &StoreLink) {
        let address = link.link.address();
        let mut rows = self.rows.borrow_mut();
        if let Some(row) = rows.iter_mut().find(|row| row.address == address) {
            row.failed_ms = steady_ms();
            row.link = None;
        }
    }
}

async fn forward_call(
    service: &impl PeerService,
    call: &StoreCall,
) -> Result<StoreReply, StoreFailure> {
    let limit = Duration::from_millis(FORWARD_TIMEOUT_MS);
    let _place = match service.store_places() {
        Some(places) => {
            let busy = |_| StoreFailure::NotDone("too many calls are forwarded".to_owned());
            Some(timeout(limit, places.acquire()).await.map_err(busy)?)
        }
        None => None,
    };
    match service.store() {
        Some(direct) => direct.call(call, limit).await,
        None => Err(StoreFailure::NotDone("turned away as well".to_owned())),
    }
}

/// Serves peers and never returns. Their store calls go directly to the store, never to another
/// peer.
pub async fn serve_peers(listener: impl Into<GuardedListener>, service: Rc<impl PeerService>) {
    let listener = listener.into();
    listener.gate().fit_bodies(service.message_max_bytes());
    loop {
        let (stream, slot) = listener.accept().await;
        let service = Rc::clone(&service);
        tokio::task::spawn_local(async move {
            tokio::select! {
                biased;
                () = slot.wait_close() => {}
                () = slot.wait_refuse() => {}
                () = serve_peer(stream, slot.clone(), service) => {}
            }
        });
    }
}

fn socket_config(message_max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(message_max_bytes))
        .max_frame_size(Some(message_max_bytes))
}

async fn serve_peer(stream: TcpStream, slot: ConnectionSlot, service: Rc<impl PeerService>) {
    let meter = MessageMeter::new(slot);
    let stream = MeteredStream::new(stream, meter.clone());
    let silence_max = Duration::from_millis(PEER_SILENCE_MAX_MS);
    let config = socket_config(service.message_max_bytes());
    let accepted = accept_async_with_config(stream, Some(config));
    let Ok(Ok(socket)) = timeout(silence_max, accepted).await else {
        return;
    };
    let (sink, mut source) = socket.split();
    let (replies, writer) = reply_queue(&meter, REPLIES_MAX);
    let reader = async move {
        while let Ok(Some(Ok(message))) = timeout(silence_max, source.next()).await {
            let Ok(held) = meter.take_message(message.len()) else {
                break;
            };
            // Answered explicitly: the split socket's write half does not flush automatic pongs.
            if let Message::Ping(payload) = &message {
                meter.release(held);
                let pong = Message::Pong(payload.clone());
                if replies.send(pong, 0).await.is_err() {
                    break;
                }
                continue;
            }
            let Some(frame) = decode_frame(&message) else {
                meter.release(held);
                continue;
            };
            // A busy host would take long to get round to a task of its own.
            if let Some(reply) = answer_at_once(&frame, &*service) {
                meter.release(held);
                if replies.send(reply, 0).await.is_err() {
                    break;
                }
                continue;
            }
            let served = serve_frame(frame, Rc::clone(&service));
            let (meter, replies) = (meter.clone(), replies.clone());
            tokio::task::spawn_local(async move {
                let Some(reply) = served.await else {
                    meter.release(held);
                    return;
                };
                // If the connection is gone, the peer treats its call as possibly applied.
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

/// Serves a call of a peer and returns the reply, or none if the frame is no call.
async fn serve_frame(frame: PeerFrame, service: Rc<impl PeerService>) -> Option<Message> {
    let reply = match frame.body {
        PeerBody::Call(PeerCall::Store(call)) => {
            PeerReply::Store(forward_call(&*service, &call).await)
        }
        PeerBody::Call(PeerCall::Record(entry)) => PeerReply::Recorded(service.record(entry).await),
        _ => return None,
    };
    encode_reply(frame.id, reply)
}

/// Returns the reply to a call that needs no waiting, or none for any other frame.
fn answer_at_once(frame: &PeerFrame, service: &impl PeerService) -> Option<Message> {
    match frame.body {
        PeerBody::Call(PeerCall::Term) => {
            encode_reply(frame.id, PeerReply::Term(service.term_report()))
        }
        _ => None,
    }
}

fn encode_reply(id: u64, reply: PeerReply) -> Option<Message> {
    encode_frame(&PeerFrame {
        id,
        body: PeerBody::Reply(Box::new(Ok(reply))),
    })
}
