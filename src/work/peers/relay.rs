//! Access to the store with a fallback: calls go to the store directly or through a peer host.
//!
//! The store may refuse some hosts, or be partitioned from them, while it serves the others. A
//! call may be sent twice, once by each path: reads and stamped appends are idempotent, and so
//! are records of the jobs stream, which have the same effect however often they are stored.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::work::clock::steady_ms;
use crate::work::model::stream::{StoreCall, StoreFailure, StoreReply, StreamName};
use crate::work::peers::links::PeerSet;
use crate::work::ports::StorePort;
use crate::work::store::health::StoreHealth;

/// Interval between two attempts of the direct path while it fails.
const DIRECT_PROBE_INTERVAL_MS: u64 = 800;
/// Peers that are tried for one call.
const PEERS_PER_CALL: usize = 2;
/// Timeout of a call through a peer, on top of the call's own wait.
const PEER_TIMEOUT_MS: u64 = 600;
/// Consecutive failures of the direct path after which peers are tried first.
const DIRECT_FAILURES_MAX: u32 = 2;

/// What a host knows of its direct path to one stream. A part of the store may fail while the rest
/// answers, so each stream is judged by its own calls.
#[derive(Debug, Default)]
struct StreamPath {
    direct_failures: Cell<u32>,
    /// Whether the latest direct call was answered.
    answers_directly: Cell<bool>,
    direct_probe_at_ms: Cell<u64>,
    /// Answers by either path.
    health: RefCell<StoreHealth>,
    /// Whether the current outage of the stream has been logged.
    outage_logged: Cell<bool>,
}

impl StreamPath {
    /// Returns whether the latest direct calls have failed, at least `DIRECT_FAILURES_MAX` in a row.
    fn is_direct_down(&self) -> bool {
        self.direct_failures.get() >= DIRECT_FAILURES_MAX
    }
}

/// A store client that falls back to peers. Clones share its state.
#[derive(Clone)]
pub struct RelayStore<S> {
    direct: S,
    peers: Rc<PeerSet>,
    /// Parallel to `StreamName::ALL`.
    paths: Rc<[StreamPath; StreamName::ALL.len()]>,
}

impl<S: StorePort> RelayStore<S> {
    /// Creates a client over the direct path `direct` and a set of peers.
    pub fn new(direct: S, peers: Rc<PeerSet>) -> Self {
        Self {
            direct,
            peers,
            paths: Rc::default(),
        }
    }

    /// Returns the client of the direct path.
    pub fn direct(&self) -> &S {
        &self.direct
    }

    fn path(&self, stream: StreamName) -> &StreamPath {
        &self.paths[stream as usize]
    }

    /// Returns whether no stream answers directly and the latest direct calls of some have failed, at
    /// least `DIRECT_FAILURES_MAX` in a row.
    pub fn is_direct_path_down(&self) -> bool {
        let answers = self.paths.iter().any(|path| path.answers_directly.get());
        !answers && self.paths.iter().any(StreamPath::is_direct_down)
    }

    /// Returns the health of a stream as seen by either path.
    pub fn health(&self, stream: StreamName) -> Ref<'_, StoreHealth> {
        self.path(stream).health.borrow()
    }

    /// Returns whether a stream is unavailable by both paths. Logs the start of an outage.
    pub fn is_unavailable(&self, stream: StreamName) -> bool {
        let path = self.path(stream);
        let unavailable = path.health.borrow().is_unavailable(steady_ms());
        if unavailable && !path.outage_logged.replace(true) {
            log::warn!(stream:? = stream; "store: a stream is lost by every way; callers are refused.");
            metrics::counter!("hemlockramp_store_outages_total", "stream" => stream.label())
                .increment(1);
        }
        unavailable
    }

    /// Starts a probe of the direct path if one is due, on a copy of a read. No call waits for a
    /// probe, since a store that turns this host away may let it run into its timeout.
    fn probe_if_due(&self, call: &StoreCall, limit: Duration) {
        let now_ms = steady_ms();
        let path = self.path(call.stream());
        let is_read = !matches!(call, StoreCall::Append { .. });
        if !is_read || now_ms < path.direct_probe_at_ms.get() {
            return;
        }
        path.direct_probe_at_ms
            .set(now_ms + DIRECT_PROBE_INTERVAL_MS);
        let (store, call) = (self.clone(), call.clone());
        tokio::task::spawn_local(async move {
            // The outcome is kept in the stream's path.
            let _ = store.call_direct(&call, limit).await;
        });
    }

    async fn call_direct(
        &self,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let begun_ms = steady_ms();
        let result = self.direct.call(call, limit).await;
        let took_ms = (steady_ms() - begun_ms).saturating_sub(call.wait_ms());
        metrics::histogram!("hemlockramp_store_seconds").record(took_ms as f64 / 1_000.0);
        let path = self.path(call.stream());
        let failed = result.as_ref().is_err_and(StoreFailure::is_transient);
        path.answers_directly.set(!failed);
        if !failed {
            if path.direct_failures.replace(0) >= DIRECT_FAILURES_MAX {
                log::info!(
                    stream:? = call.stream();
                    "store: answers directly again; peers are no longer tried first."
                );
            }
            return result;
        }
        metrics::counter!("hemlockramp_store_failures_total").increment(1);
        let direct_failures = path.direct_failures.get() + 1;
        path.direct_failures.set(direct_failures);
        path.direct_probe_at_ms
            .set(steady_ms() + DIRECT_PROBE_INTERVAL_MS);
        if direct_failures == DIRECT_FAILURES_MAX
            && let Err(failure) = &result
        {
            log::warn!(
                failure:% = failure, stream:? = call.stream();
                "store: not reached directly; peers are asked."
            );
        }
        result
    }

    async fn call_peers(
        &self,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let mut last = StoreFailure::NotDone("no peer is known".to_owned());
        let limit = limit.min(Duration::from_millis(PEER_TIMEOUT_MS)) + call_wait(call);
        for peer in self.peers.next_links(PEERS_PER_CALL) {
            let result = match timeout(limit, peer.call_store(call)).await {
                Ok(result) => result,
                Err(_) => Err(StoreFailure::Unknown("a peer gave no answer".to_owned())),
            };
            match result {
                Err(failure) if failure.is_transient() => {
                    self.peers.mark_failed(&peer);
                    last = last.less_certain(failure);
                }
                other => return after_attempt(last, other),
            }
        }
        Err(last)
    }
}

fn call_wait(call: &StoreCall) -> Duration {
    Duration::from_millis(call.wait_ms())
}

/// Tracks a call in flight for `StoreHealth`. Dropping it without `end` records a call that its
/// caller abandoned.
struct InFlightCall<'a> {
    health: &'a RefCell<StoreHealth>,
    sent_ms: u64,
    wait_ms: u64,
    ended: bool,
}

impl<'a> InFlightCall<'a> {
    fn start(health: &'a RefCell<StoreHealth>, call: &StoreCall) -> Self {
        let sent_ms = steady_ms();
        health.borrow_mut().sent(sent_ms, call.wait_ms());
        Self {
            health,
            sent_ms,
            wait_ms: call.wait_ms(),
            ended: false,
        }
    }

    fn end(mut self, result: &Result<StoreReply, StoreFailure>) {
        self.ended = true;
        let now_ms = steady_ms();
        let mut health = self.health.borrow_mut();
        match result {
            Err(failure) if failure.is_transient() => health.failed(now_ms),
            result => {
                let has_records = result.as_ref().is_ok_and(|reply| !reply.records.is_empty());
                // A read that returned records may have been answered at any time of its wait, so
                // the store's share of the time is unknown.
                let latency_known = self.wait_ms == 0 || !has_records;
                let took_ms = now_ms.saturating_sub(self.sent_ms + self.wait_ms);
                health.answered(now_ms, latency_known.then_some(took_ms));
            }
        }
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.health.borrow_mut().dropped();
        }
    }
}

impl<S: StorePort> StorePort for RelayStore<S> {
    async fn call(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreFailure> {
        let path = self.path(call.stream());
        let in_flight = InFlightCall::start(&path.health, call);
        let allowance_ms = path.health.borrow().allowance_ms();
        let limit = limit + Duration::from_millis(allowance_ms);
        let result = self.call_with_fallback(call, limit).await;
        in_flight.end(&result);
        if result.is_ok() && path.outage_logged.replace(false) {
            log::info!(stream:? = call.stream(); "store: a stream answers again.");
        }
        result
    }
}

impl<S: StorePort> RelayStore<S> {
    /// Calls by one path and, after a transient failure, by the other.
    async fn call_with_fallback(
        &self,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let direct_first = !self.path(call.stream()).is_direct_down();
        if !direct_first {
            self.probe_if_due(call, limit);
        }
        let first = match direct_first {
            true => self.call_direct(call, limit).await,
            false => self.call_peers(call, limit).await,
        };
        let before = match first {
            Err(failure) if failure.is_transient() => failure,
            other => return other,
        };
        let second = match direct_first {
            true => self.call_peers(call, limit).await,
            false => self.call_direct(call, limit).await,
        };
        match second {
            Err(failure) if failure.is_transient() => Err(before.less_certain(failure)),
            other => after_attempt(before, other),
        }
    }
}

/// Returns the result of a call of which an earlier attempt failed. If that one is without an answer,
/// it may have been applied, and have moved the end of the stream itself or come before the fence.
fn after_attempt(
    before: StoreFailure,
    result: Result<StoreReply, StoreFailure>,
) -> Result<StoreReply, StoreFailure> {
    match (&before, &result) {
        (StoreFailure::Unknown(_), Err(StoreFailure::Conflict | StoreFailure::Fenced)) => {
            Err(before)
        }
        _ => result,
    }
}
