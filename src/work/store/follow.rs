//! Stream followers: list the newest record of each key, then read new records as they come.

use std::time::Duration;

use tokio::task::yield_now;

use crate::work::clock::steady_ms;
use crate::work::model::stream::{StoreCall, StoreFailure, StoreReply, StreamName, StreamRecord};
use crate::work::ports::StorePort;
use crate::work::store::timing::{READ_WAIT_MS, STORE_TIMEOUT_MS};

/// Delay after a failed call.
const RETRY_MS: u64 = 80;
/// Largest number of records that are applied at once.
const APPLIED_AT_ONCE_MAX: usize = 64;

/// What an answer of the store tells about a follower's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowReply {
    /// When the call was sent, steady ms.
    pub asked_ms: u64,
    /// Offset before which all records have been applied.
    pub next: u64,
    /// Whether no records followed at the store when it answered.
    pub at_end: bool,
}

/// Receiver of the records of a stream.
pub trait StreamSink {
    /// Called when a listing begins. Keys that the listing does not contain no longer exist.
    fn begin_listing(&mut self) {}

    /// Applies records of a listing or of the stream, in order.
    fn apply(&mut self, records: &[StreamRecord]);

    /// Called when a listing is complete.
    fn end_listing(&mut self) {}

    /// Called when the store has answered a call and its records have been applied.
    fn on_reply(&mut self, reply: FollowReply);

    /// Returns the delay before the next read after one that returned records, in ms.
    fn pause_ms(&self) -> u64;

    /// Returns whether the follower should stop.
    fn is_closed(&self) -> bool;
}

/// Follows one stream and passes its records to a sink.
pub struct StreamFollower<S, K> {
    store: S,
    stream: StreamName,
    sink: K,
    next: Option<u64>,
}

impl<S: StorePort, K: StreamSink> StreamFollower<S, K> {
    /// Creates a follower that starts with a listing.
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
                    log::info!(
                        stream:? = self.stream;
                        "follow: the read offset has been trimmed; listing the stream again."
                    );
                    self.next = None;
                    0
                }
                Err(failure) => {
                    log::debug!(
                        stream:? = self.stream, failure:% = failure;
                        "follow: a store call failed; retrying."
                    );
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

    /// Reads from an offset. Returns whether there were new records.
    async fn read(&mut self, from: u64) -> Result<bool, StoreFailure> {
        let asked_ms = steady_ms();
        let call = StoreCall::Read {
            stream: self.stream,
            from,
            wait_ms: READ_WAIT_MS,
        };
        let reply = self.call(&call).await?;
        let sink = &mut self.sink;
        apply_in_parts(&reply.records, |records| sink.apply(records)).await;
        let next = reply.records.last().map_or(from, |last| last.offset + 1);
        self.next = Some(next);
        self.sink.on_reply(FollowReply {
            asked_ms,
            next,
            at_end: next >= reply.end,
        });
        Ok(!reply.records.is_empty())
    }

    async fn list(&mut self) -> Result<bool, StoreFailure> {
        let asked_ms = steady_ms();
        self.sink.begin_listing();
        let sink = &mut self.sink;
        let end = list_newest(&self.store, self.stream, |records| sink.apply(records)).await?;
        self.next = Some(end);
        self.sink.end_listing();
        self.sink.on_reply(FollowReply {
            asked_ms,
            next: end,
            at_end: true,
        });
        Ok(true)
    }
}

/// Applies the records of an answer in parts of at most `APPLIED_AT_ONCE_MAX`, between which the
/// other tasks of the thread run.
pub async fn apply_in_parts(records: &[StreamRecord], mut apply: impl FnMut(&[StreamRecord])) {
    let mut parts = records.chunks(APPLIED_AT_ONCE_MAX);
    if let Some(first) = parts.next() {
        apply(first);
    }
    for part in parts {
        yield_now().await;
        apply(part);
    }
}

/// Reads the newest record of each key, page by page.
///
/// Returns the end offset of the stream as of the first page. Changes made while later pages are
/// read come after that offset, so reading on from there misses none.
///
/// # Errors
///
/// Fails if a page cannot be read. Earlier pages have been passed to `on_page` by then.
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
        apply_in_parts(&reply.records, &mut on_page).await;
        let last = reply.records.last().map(|record| record.entry.key.clone());
        match (reply.more, last) {
            (true, Some(key)) => after = Some(key),
            _ => return Ok(first_end),
        }
    }
}
