//! The store by whatever way works: directly, or through a peer.
//!
//! Answers this pattern: the store turns some hosts away, or is cut off from them, while it
//! serves the others. Reads and stamped appends may be tried twice; so may facts, which are
//! the same however often they stand in the stream.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::work::host_parts::steady_ms;
use crate::work::peers::PeerRing;
use crate::work::ports::StorePort;
use crate::work::store_health::StoreHealth;
use crate::work::stream::{StoreCall, StoreFailure, StoreReply};

/// How long the direct way is left alone after it failed, in ms.
const DIRECT_REST_MS: u64 = 800;
/// Peers asked for one call.
const PEERS_PER_CALL: usize = 2;
/// Time for a peer to answer, on top of the call's own wait, in ms.
const PEER_LIMIT_MS: u64 = 600;
/// Failed direct calls in a row after which a peer is asked first.
const DIRECT_FAILURES_MAX: u32 = 2;

/// A store with peers to fall back on. Cloning shares what it has learned.
#[derive(Clone)]
pub struct RelayStore<S> {
    direct: S,
    peers: Rc<PeerRing>,
    failures: Rc<Cell<u32>>,
    rest_until_ms: Rc<Cell<u64>>,
    health: Rc<RefCell<StoreHealth>>,
    /// Whether the log says that the store is away.
    away_told: Rc<Cell<bool>>,
}

impl<S: StorePort> RelayStore<S> {
    /// Creates it over the direct way.
    pub fn new(direct: S, peers: Rc<PeerRing>) -> Self {
        Self {
            direct,
            peers,
            failures: Rc::default(),
            rest_until_ms: Rc::default(),
            health: Rc::default(),
            away_told: Rc::default(),
        }
    }

    /// Returns the direct way.
    pub fn direct(&self) -> &S {
        &self.direct
    }

    /// Returns whether the direct way has failed lately.
    pub fn is_turned_away(&self) -> bool {
        self.failures.get() >= DIRECT_FAILURES_MAX
    }

    /// Returns what is known of the store's answers by any way.
    pub fn health(&self) -> Ref<'_, StoreHealth> {
        self.health.borrow()
    }

    /// Returns whether the store answers nobody here, by any way.
    pub fn is_away(&self) -> bool {
        let away = self.health.borrow().is_away(steady_ms());
        if away && !self.away_told.replace(true) {
            log::warn!("store: lost by every way; callers are refused.");
            metrics::counter!("hemlockramp_store_outages_total").increment(1);
        }
        away
    }

    /// Returns whether a call tries the direct way first. While it fails, one call does so now
    /// and then, and the others are spared its limit.
    fn tries_directly(&self) -> bool {
        if !self.is_turned_away() {
            return true;
        }
        let now_ms = steady_ms();
        let rested = now_ms >= self.rest_until_ms.get();
        if rested {
            self.rest_until_ms.set(now_ms + DIRECT_REST_MS);
        }
        rested
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
        let failed = result.as_ref().is_err_and(StoreFailure::is_transient);
        if !failed {
            if self.failures.replace(0) >= DIRECT_FAILURES_MAX {
                log::info!("store: reached directly again.");
            }
            return result;
        }
        metrics::counter!("hemlockramp_store_failures_total").increment(1);
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        self.rest_until_ms.set(steady_ms() + DIRECT_REST_MS);
        if failures == DIRECT_FAILURES_MAX
            && let Err(failure) = &result
        {
            log::warn!(failure:% = failure; "store: not reached directly; peers are asked.");
        }
        result
    }

    async fn call_peers(
        &self,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let mut last = StoreFailure::NotDone("no peer is known".to_owned());
        let limit = limit.min(Duration::from_millis(PEER_LIMIT_MS)) + call_wait(call);
        for peer in self.peers.next_links(PEERS_PER_CALL) {
            let result = match timeout(limit, peer.call_store(call)).await {
                Ok(result) => result,
                Err(_) => Err(StoreFailure::Unknown("a peer gave no answer".to_owned())),
            };
            match result {
                Err(failure) if failure.is_transient() => {
                    self.peers.blame(&peer);
                    last = last.worse(failure);
                }
                other => return other,
            }
        }
        Err(last)
    }
}

fn call_wait(call: &StoreCall) -> Duration {
    Duration::from_millis(call.wait_ms())
}

/// A call on its way; dropped, it is one that its caller gave up.
struct CallWatch<'a> {
    health: &'a RefCell<StoreHealth>,
    sent_ms: u64,
    wait_ms: u64,
    ended: bool,
}

impl<'a> CallWatch<'a> {
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
                let news = result.as_ref().is_ok_and(|reply| !reply.records.is_empty());
                // A read with news may have been answered at any time of its wait.
                let known = self.wait_ms == 0 || !news;
                let took_ms = now_ms.saturating_sub(self.sent_ms + self.wait_ms);
                health.answered(now_ms, known.then_some(took_ms));
            }
        }
    }
}

impl Drop for CallWatch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.health.borrow_mut().dropped();
        }
    }
}

impl<S: StorePort> StorePort for RelayStore<S> {
    async fn call(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreFailure> {
        let watch = CallWatch::start(&self.health, call);
        let allowance_ms = self.health.borrow().allowance_ms();
        let limit = limit + Duration::from_millis(allowance_ms);
        let result = self.call_any(call, limit).await;
        watch.end(&result);
        if result.is_ok() && self.away_told.replace(false) {
            log::info!("store: answers again.");
        }
        result
    }
}

impl<S: StorePort> RelayStore<S> {
    /// Calls by one way, then by the other.
    async fn call_any(
        &self,
        call: &StoreCall,
        limit: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let directly_first = self.tries_directly();
        let first = match directly_first {
            true => self.call_direct(call, limit).await,
            false => self.call_peers(call, limit).await,
        };
        let before = match first {
            Err(failure) if failure.is_transient() => failure,
            other => return other,
        };
        let second = match directly_first {
            true => self.call_peers(call, limit).await,
            false => self.call_direct(call, limit).await,
        };
        match second {
            Err(failure) if failure.is_transient() => Err(before.worse(failure)),
            // The stream may have moved on by the call itself.
            Err(StoreFailure::Conflict) if matches!(before, StoreFailure::Unknown(_)) => {
                Err(before)
            }
            other => other,
        }
    }
}
