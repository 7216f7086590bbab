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
use crate::work::host_parts::steady_ms;
use crate::work::ports::StorePort;
use crate::work::stream::{StoreCall, StoreFailure, StoreReply};

/// How long a peer that failed is asked last, in ms.
const BLAME_MS: u64 = 2_000;
/// Time for the store to answer a peer's call, in ms.
const PASSED_LIMIT_MS: u64 = 500;
/// Longest time for a link's call, in ms; its caller has a shorter one.
const LINK_LIMIT_MS: u64 = 10_000;
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
        let limit = Duration::from_millis(LINK_LIMIT_MS);
        match self.link.call(PeerCall::Store(call.clone()), limit).await {
            Ok(PeerReply::Store(result)) => result,
            Ok(_) => Err(StoreFailure::Unknown("a peer answered amiss".to_owned())),
            Err(failure) => Err(failure.into()),
        }
    }
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
    blamed_ms: u64,
}

/// The other hosts, asked in turn.
#[derive(Debug, Default)]
pub struct PeerRing {
    rows: RefCell<Vec<PeerRow>>,
    turn: Cell<usize>,
}

impl PeerRing {
    /// Adds a peer unless it is known.
    pub fn add(&self, address: SocketAddr) {
        let mut rows = self.rows.borrow_mut();
        if rows.iter().all(|row| row.address != address) {
            rows.push(PeerRow {
                address,
                link: None,
                blamed_ms: 0,
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
        let turn = self.turn.replace(self.turn.get().wrapping_add(1));
        let mut order: Vec<usize> = (0..total).map(|step| (turn + step) % total).collect();
        let now_ms = steady_ms();
        // A link that is open already answers sooner.
        order.sort_by_key(|&index| {
            let row = &rows[index];
            let blamed = row.blamed_ms != 0 && now_ms < row.blamed_ms + BLAME_MS;
            (blamed, row.link.is_none())
        });
        let mut links = Vec::new();
        for index in order.into_iter().take(count) {
            let row = &mut rows[index];
            let address = row.address;
            let link = row.link.get_or_insert_with(|| PeerLink::start(address));
            links.push(StoreLink { link: link.clone() });
        }
        links
    }

    /// Notes that a peer could not help.
    pub fn blame(&self, link: &StoreLink) {
        let address = link.link.address();
        let mut rows = self.rows.borrow_mut();
        if let Some(row) = rows.iter_mut().find(|row| row.address == address) {
            row.blamed_ms = steady_ms();
            row.link = None;
        }
    }
}

/// Serves peers for ever: their calls to the store are passed on, but never to a third host.
pub async fn serve_peers<S: StorePort>(listener: TcpListener, store: Rc<dyn Fn() -> Option<S>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_peer(stream, Rc::clone(&store)));
            }
            Err(error) => {
                log::warn!("peers: a connection was not accepted: {error}.");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_peer<S: StorePort>(stream: TcpStream, store: Rc<dyn Fn() -> Option<S>>) {
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
            tokio::task::spawn_local(pass_on(frame, store(), replies.clone()));
        }
    }
    drop(replies);
    writer.abort();
}

async fn pass_on<S: StorePort>(
    frame: PeerFrame,
    direct: Option<S>,
    replies: mpsc::Sender<Message>,
) {
    let PeerBody::Call(PeerCall::Store(call)) = frame.body else {
        return;
    };
    let limit = Duration::from_millis(PASSED_LIMIT_MS);
    let result = match direct {
        Some(direct) => direct.call(&call, limit).await,
        None => Err(StoreFailure::NotDone("turned away as well".to_owned())),
    };
    let reply = PeerFrame {
        id: frame.id,
        body: PeerBody::Reply(Box::new(Ok(PeerReply::Store(result)))),
    };
    if let Some(message) = encode_frame(&reply) {
        // The peer may be gone; it then knows that its call may have been done.
        let _ = replies.send(message).await;
    }
}
