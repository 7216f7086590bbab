//! Appends under the owner's term.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

use crate::work::model::stream::{KeyedValue, StoreCall, StoreFailure, StoreReply, StreamName};
use crate::work::owner_loop::claim::stamp;
use crate::work::ports::StorePort;
use crate::work::state::context::HostContext;

/// The parent module's path; operators filter log lines by it.
const LOG_TARGET: &str = "hemlockramp::work::owner_loop";
/// Delay before an append that failed or got no answer is retried.
const APPEND_RETRY_MS: u64 = 50;

/// Something to append.
pub(super) trait AppendItem {
    /// Returns the record to store.
    fn entry(&self) -> &KeyedValue;
}

impl AppendItem for KeyedValue {
    fn entry(&self) -> &KeyedValue {
        self
    }
}

/// What became of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ItemOutcome {
    /// Stored at this offset.
    Stored(u64),
    /// The store can never take it; the text is the reason.
    Refused(String),
}

/// An append that ended early.
#[derive(Debug)]
pub(super) struct AppendStop<T> {
    pub(super) failure: StoreFailure,
    /// Items of the call that failed.
    pub(super) failed: Vec<T>,
    /// Items that were not sent.
    pub(super) unsent: Vec<T>,
}

/// Appends to one stream under the owner's term, one at a time and in order.
pub(super) struct OwnerWriter {
    pub(super) stream: StreamName,
    pub(super) term: u64,
    pub(super) next: Cell<u64>,
}

impl OwnerWriter {
    /// Creates the writer of a term, whose next append has the sequence number `next`.
    pub(super) fn new(stream: StreamName, term: u64, next: u64) -> Self {
        Self {
            stream,
            term,
            next: Cell::new(next),
        }
    }

    /// Appends items in order, in as few calls as the store's limits permit. An item that the store
    /// refuses for good is passed over, so that it does not hold up the others. Each item goes to
    /// `on_outcome`.
    ///
    /// # Errors
    ///
    /// Returns the first failure that is neither transient nor the refusal of an item, with all
    /// items that are left.
    pub(super) async fn append_items<S: StorePort, O, R, T: AppendItem>(
        &self,
        context: &HostContext<S, O, R>,
        items: Vec<T>,
        mut on_outcome: impl FnMut(T, ItemOutcome),
    ) -> Result<(), AppendStop<T>> {
        let limits = context.identity.limits;
        let mut pieces = VecDeque::from([items]);
        while let Some(mut piece) = pieces.pop_front() {
            let count = limits.count_for_call(piece.iter().map(AppendItem::entry));
            if count < piece.len() {
                pieces.push_front(piece.split_off(count));
            }
            let entries = piece.iter().map(|item| item.entry().clone()).collect();
            match self.append(context, entries).await {
                Ok(reply) => {
                    for (offset, item) in (reply.first..).zip(piece) {
                        on_outcome(item, ItemOutcome::Stored(offset));
                    }
                }
                Err(StoreFailure::Refused(reason)) if piece.len() <= 1 => {
                    for item in piece {
                        let key = item.entry().key.as_str();
                        log::error!(
                            target: LOG_TARGET, key, bytes = item.entry().size(), reason = reason.as_str();
                            "owner: the store refuses a record; it is passed over."
                        );
                        metrics::counter!("hemlockramp_records_refused_total").increment(1);
                        on_outcome(item, ItemOutcome::Refused(reason.clone()));
                    }
                }
                // One of the items is at fault.
                Err(StoreFailure::Refused(_)) => {
                    let second = piece.split_off(piece.len() / 2);
                    pieces.push_front(second);
                    pieces.push_front(piece);
                }
                Err(failure) => {
                    return Err(AppendStop {
                        failure,
                        failed: piece,
                        unsent: pieces.into_iter().flatten().collect(),
                    });
                }
            }
        }
        Ok(())
    }

    /// Appends entries, retrying transient failures without limit.
    ///
    /// # Errors
    ///
    /// Returns the first failure that is not transient, such as a fenced epoch. Returns
    /// `Unknown` instead if an earlier attempt may have been applied.
    async fn append<S: StorePort, O, R>(
        &self,
        context: &HostContext<S, O, R>,
        entries: Vec<KeyedValue>,
    ) -> Result<StoreReply, StoreFailure> {
        let limits = context.identity.limits;
        if let Some(entry) = entries.iter().find(|entry| !limits.admits(entry)) {
            return Err(StoreFailure::Refused(limits.excess(entry)));
        }
        let call = StoreCall::Append {
            stream: self.stream,
            entries,
            stamp: Some(stamp(self.term, self.next.get())),
            expected_end: None,
        };
        let mut outcome_unknown = false;
        loop {
            match context.call_store(&call).await {
                Err(failure) if failure.is_transient() => {
                    log::debug!(target: LOG_TARGET, failure:% = failure; "owner: appending records failed; retrying.");
                    outcome_unknown |= matches!(failure, StoreFailure::Unknown(_));
                    tokio::time::sleep(Duration::from_millis(APPEND_RETRY_MS)).await;
                }
                // The store refuses each attempt of a call alike, so none was applied.
                Err(StoreFailure::Refused(reason)) => return Err(StoreFailure::Refused(reason)),
                // An earlier attempt may have been applied before another owner fenced this one.
                Err(failure) if outcome_unknown => {
                    return Err(StoreFailure::Unknown(failure.to_string()));
                }
                other => {
                    self.next.set(self.next.get() + 1);
                    return other;
                }
            }
        }
    }
}
