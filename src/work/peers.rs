//! Peers that pass on calls to the store, and the server that does so for them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_tungstenite::accept_async;
use tokio_tungstenite::tungstenite::Message;

use crate::daemons::peer_link::{PeerLink, decode_frame, encode_frame};
use crate::routing::verdict::{CallFailure, RunVerdict};
use crate::wire::peer::{PeerBody, PeerCall, PeerFrame, PeerReply};
use crate::work::host_context::steady_ms;
use crate::work::ports::StorePort;
use crate::work::stream::{KeyedValue, StoreCall, StoreFailure, StoreReply};

/// How long a peer that failed is asked last, in ms.
const FAILED_PEER_BACKOFF_MS: u64 = 2_000;
/// Time for the store to answer a peer's call, in ms.
const FORWARD_TIMEOUT_MS: u64 = 500;
/// Silence of a peer after which its answer is not waited for, in ms. Pings come every half
/// second.
const SILENCE_TIMEOUT_MS: u64 = 800;
/// Time between two looks at it, in ms.
const SILENCE_POLL_MS: u64 = 100;
/// Time without use after which a link is given up, in ms.
const LINK_IDLE_MAX_MS: u64 = 5_000;
/// Longest time for a link's call, in ms; its caller has a shorter one.
const LINK_TIMEOUT_MS: u64 = 10_000;
/// Pause after a connection could not be accepted, in ms.
const ACCEPT_PAUSE_MS: u64 = 100;
/// Replies of one connection that wait to be sent.
const REPLIES_MAX: usize = 64;

/// A peer's link, opened when it is first needed.
#[derive(Clone, Debug)]
pub struct StoreLink {
    link: PeerLink,
}

impl StoreLink {
    /// Asks the peer to call the store.
    ///
    /// # Errors
    ///
    /// The store's failure, or the link's.
    pub async fn call_store(&self, call: &StoreCall) -> Result<StoreReply, StoreFailure> {
        let limit = Duration::from_millis(LINK_TIMEOUT_MS);
        match self.link.call(PeerCall::Store(call.clone()), limit).await {
            Ok(PeerReply::Store(result)) => result,
            Ok(_) => Err(StoreFailure::Unknown("a peer answered amiss".to_owned())),
            Err(failure) => Err(failure.into()),
        }
    }

    /// Asks the owner to store a fact with its next append, and waits for as long as the owner
    /// is heard.
    ///
    /// # Errors
    ///
    /// As the append ended, or the link's failure.
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

    /// Waits until the peer has not been heard for too long.
    async fn wait_for_silence(&self) {
        while self.link.silence_ms() < SILENCE_TIMEOUT_MS {
            tokio::time::sleep(Duration::from_millis(SILENCE_POLL_MS)).await;
        }
    }
}

/// What a host does for its peers.
pub trait PeerService: 'static {
    /// The store as this host reaches it.
    type Store: StorePort;

    /// Returns the store, unless it turns this host away as well.
    fn store(&self) -> Option<Self::Store>;

    /// Stores a fact with the owner's next append.
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
    /// Returns the link, opened if need be.
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

/// The other hosts, asked in turn.
#[derive(Debug, Default)]
pub struct PeerSet {
    rows: RefCell<Vec<PeerRow>>,
    next_index: Cell<usize>,
}

impl PeerSet {
    /// Adds a peer unless it is known.
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

    /// Removes a peer.
    pub fn remove(&self, address: SocketAddr) {
        self.rows.borrow_mut().retain(|row| row.address != address);
    }

    /// Returns the next links, those that failed lately last.
    pub fn next_links(&self, count: usize) -> Vec<StoreLink> {
        let mut rows = self.rows.borrow_mut();
        let total = rows.len();
        let next_index = self
            .next_index
            .replace(self.next_index.get().wrapping_add(1));
        let mut order: Vec<usize> = (0..total).map(|step| (next_index + step) % total).collect();
        let now_ms = steady_ms();
        // A link that is open already answers sooner.
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

    /// Returns the link to one peer; none if it is not known or failed lately.
    pub fn link_to(&self, address: SocketAddr) -> Option<StoreLink> {
        let now_ms = steady_ms();
        let mut rows = self.rows.borrow_mut();
        let row = rows.iter_mut().find(|row| row.address == address)?;
        if row.is_backed_off(now_ms) {
            return None;
        }
        let link = row.open_link(now_ms);
        // An owner before this one is not asked any more.
        for row in rows.iter_mut() {
            if row.used_ms + LINK_IDLE_MAX_MS < now_ms {
                row.link = None;
            }
        }
        Some(link)
    }

    /// Notes that a peer could not help.
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
    direct: Option<impl StorePort>,
    call: &StoreCall,
) -> Result<StoreReply, StoreFailure> {
    let limit = Duration::from_millis(FORWARD_TIMEOUT_MS);
    match direct {
        Some(direct) => direct.call(call, limit).await,
        None => Err(StoreFailure::NotDone("turned away as well".to_owned())),
    }
}

/// Serves peers for ever: their calls to the store are passed on, but never to a third host.
pub async fn serve_peers(listener: TcpListener, service: Rc<impl PeerService>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_peer(stream, Rc::clone(&service)));
            }
            Err(error) => {
                log::warn!("peers: a connection was not accepted: {error}.");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_peer(stream: TcpStream, service: Rc<impl PeerService>) {
    // Without it replies come late, never wrong.
    let _ = stream.set_nodelay(true);
    let Ok(socket) = accept_async(stream).await else {
        return;
    };
    let (mut sink, mut source) = socket.split();
    let (replies, mut queue) = mpsc::channel::<Message>(REPLIES_MAX);
    let writer = tokio::task::spawn_local(async move {
        while let Some(message) = queue.recv().await {
            if sink.send(message).await.is_err() {
                return;
            }
        }
    });
    while let Some(Ok(message)) = source.next().await {
        // Echoed explicitly: the other half of the socket does not flush by itself.
        if let Message::Ping(payload) = &message {
            if replies.send(Message::Pong(payload.clone())).await.is_err() {
                break;
            }
            continue;
        }
        if let Some(frame) = decode_frame(&message) {
            tokio::task::spawn_local(serve_frame(frame, Rc::clone(&service), replies.clone()));
        }
    }
    drop(replies);
    writer.abort();
}

async fn serve_frame(
    frame: PeerFrame,
    service: Rc<impl PeerService>,
    replies: mpsc::Sender<Message>,
) {
    let reply = match frame.body {
        PeerBody::Call(PeerCall::Store(call)) => {
            PeerReply::Store(forward_call(service.store(), &call).await)
        }
        PeerBody::Call(PeerCall::Record(entry)) => PeerReply::Recorded(service.record(entry).await),
        _ => return,
    };
    let reply = PeerFrame {
        id: frame.id,
        body: PeerBody::Reply(Box::new(Ok(reply))),
    };
    if let Some(message) = encode_frame(&reply) {
        // The peer may be gone; it then knows that its call may have been done.
        let _ = replies.send(message).await;
    }
}
