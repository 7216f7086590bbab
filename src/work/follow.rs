//! Follows a stream: lists the newest record of each key, then reads on.

use std::time::Duration;

use crate::work::host_context::{STORE_TIMEOUT_MS, steady_ms};
use crate::work::ports::StorePort;
use crate::work::stream::{StoreCall, StoreFailure, StoreReply, StreamName, StreamRecord};

/// How long a read waits at the store for news, in ms. It bounds how long a connection that
/// has gone silent can hide a change.
pub(super) const READ_WAIT_MS: u64 = 600;
/// Pause after a call that failed, in ms.
const RETRY_MS: u64 = 80;

/// Takes what a stream holds.
pub trait StreamSink {
    /// A listing begins; keys that it does not name are gone.
    fn begin_listing(&mut self) {}

    /// Records of a listing or of the stream, in order.
    fn apply(&mut self, records: &[StreamRecord]);

    /// A listing is complete.
    fn end_listing(&mut self) {}

    /// The store answered a call made at `asked_ms`, steady time; all before `next` is taken.
    fn on_reply(&mut self, asked_ms: u64, next: u64);

    /// Returns the pause before the next read after news, in ms.
    fn pause_ms(&self) -> u64;

    /// Returns whether nobody needs the stream any more.
    fn is_closed(&self) -> bool;
}

/// Follows one stream into a sink.
pub struct StreamFollower<S, K> {
    store: S,
    stream: StreamName,
    sink: K,
    next: Option<u64>,
}

impl<S: StorePort, K: StreamSink> StreamFollower<S, K> {
    /// Creates a follower.
    pub fn new(store: S, stream: StreamName, sink: K) -> Self {
        Self {
            store,
            stream,
            sink,
            next: None,
        }
    }

    /// Follows until the sink is closed.
    pub async fn run(mut self) {
        while !self.sink.is_closed() {
            let result = match self.next {
                Some(from) => self.read(from).await,
                None => self.list().await,
            };
            let pause_ms = match result {
                Ok(true) => self.sink.pause_ms(),
                Ok(false) => 0,
                Err(StoreFailure::Trimmed) => {
                    log::info!(stream:? = self.stream; "follow: records are gone; listed anew.");
                    self.next = None;
                    0
                }
                Err(failure) => {
                    log::debug!(stream:? = self.stream, failure:% = failure; "follow: no answer.");
                    RETRY_MS
                }
            };
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }

    async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreFailure> {
        let limit = Duration::from_millis(STORE_TIMEOUT_MS);
        self.store.call(call, limit).await
    }

    /// Returns whether there was news.
    async fn read(&mut self, from: u64) -> Result<bool, StoreFailure> {
        let asked_ms = steady_ms();
        let call = StoreCall::Read {
            stream: self.stream,
            from,
            wait_ms: READ_WAIT_MS,
        };
        let reply = self.call(&call).await?;
        self.sink.apply(&reply.records);
        let next = reply.records.last().map_or(from, |last| last.offset + 1);
        self.next = Some(next);
        self.sink.on_reply(asked_ms, next);
        Ok(!reply.records.is_empty())
    }

    async fn list(&mut self) -> Result<bool, StoreFailure> {
        let asked_ms = steady_ms();
        self.sink.begin_listing();
        let sink = &mut self.sink;
        let end = list_newest(&self.store, self.stream, |records| sink.apply(records)).await?;
        self.next = Some(end);
        self.sink.end_listing();
        self.sink.on_reply(asked_ms, end);
        Ok(true)
    }
}

/// Reads the newest record of each key, page by page. Returns where to read on: pages are read
/// one after the other, so what changed since the first is read again from there.
///
/// # Errors
///
/// Fails when a page cannot be had; pages before it have been given to `on_page`.
pub async fn list_newest<S: StorePort>(
    store: &S,
    stream: StreamName,
    mut on_page: impl FnMut(&[StreamRecord]),
) -> Result<u64, StoreFailure> {
    let limit = Duration::from_millis(STORE_TIMEOUT_MS);
    let mut after = None;
    let mut end = None;
    loop {
        let reply = store
            .call(&StoreCall::Newest { stream, after }, limit)
            .await?;
        let first_end = *end.get_or_insert(reply.end);
        on_page(&reply.records);
        let last = reply.records.last().map(|record| record.entry.key.clone());
        match (reply.more, last) {
            (true, Some(key)) => after = Some(key),
            _ => return Ok(first_end),
        }
    }
}
