//! Replies to a peer that wait to be sent.
//!
//! Load: a peer that calls on and reads no replies. A reply counts towards the listener's intake,
//! with its call, until the peer has taken it; one that there is no room for ends the connection.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{Sink, SinkExt};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use crate::work::intake::metered::MessageMeter;

/// Time within which a peer takes a reply. Peers drop a connection that is silent for less.
const TAKE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// A reply and the bytes that are held for it and its call.
struct HeldReply {
    message: Message,
    held: usize,
}

/// The connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEnded;

/// Queue of the replies of one connection. Clones share it.
#[derive(Clone)]
pub struct ReplyQueue {
    sender: mpsc::Sender<HeldReply>,
    meter: MessageMeter,
    overflow: Arc<Notify>,
}

/// Sends the replies of one connection.
pub struct ReplyWriter {
    receiver: mpsc::Receiver<HeldReply>,
    meter: MessageMeter,
    overflow: Arc<Notify>,
}

/// Returns the two ends of a queue for this many replies.
pub fn reply_queue(meter: &MessageMeter, replies_max: usize) -> (ReplyQueue, ReplyWriter) {
    let (sender, receiver) = mpsc::channel(replies_max);
    let overflow = Arc::new(Notify::new());
    let queue = ReplyQueue {
        sender,
        meter: meter.clone(),
        overflow: Arc::clone(&overflow),
    };
    let writer = ReplyWriter {
        receiver,
        meter: meter.clone(),
        overflow,
    };
    (queue, writer)
}

impl ReplyQueue {
    /// Queues a reply to a call for which `held` bytes are held. They are given back once the peer
    /// has taken the reply.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended, or ends because there is no room for the reply.
    pub async fn send(&self, message: Message, held: usize) -> Result<(), ConnectionEnded> {
        let size = message.len();
        if self.meter.hold(size).is_err() {
            self.meter.release(held);
            self.overflow.notify_one();
            return Err(ConnectionEnded);
        }
        let held = held + size;
        let sent = self.sender.send(HeldReply { message, held }).await;
        sent.map_err(|_| {
            self.meter.release(held);
            ConnectionEnded
        })
    }
}

impl ReplyWriter {
    /// Sends replies until the connection ends, the peer takes none in time or there is no room for
    /// one.
    pub async fn run(mut self, mut sink: impl Sink<Message> + Unpin) {
        let overflow = Arc::clone(&self.overflow);
        let sending = async {
            while let Some(reply) = self.receiver.recv().await {
                let taken = timeout(TAKE_TIMEOUT, sink.send(reply.message)).await;
                self.meter.release(reply.held);
                if !matches!(taken, Ok(Ok(()))) {
                    return;
                }
            }
        };
        tokio::select! {
            () = sending => {}
            () = overflow.notified() => {}
        }
    }
}
