//! Failure detector for the store, fed by one host's direct and relayed calls.
//!
//! The store can go silent, refuse calls, or answer fifty times slower while callers keep coming.
//! While it is unavailable, work that cannot be stored is refused at once, and no call is sent
//! whose outcome would be unknown. A store that is slow but answers does not count as unavailable.

use crate::work::store::timing::READ_WAIT_MS;

/// How long an answer may be overdue before the store counts as unavailable, in ms.
const ANSWER_OVERDUE_MS: u64 = 900;
/// Consecutive failures after which the store counts as unavailable.
const FAILURES_MAX: u32 = 3;
/// Shortest time that these failures must span, in ms.
const FAILURE_SPAN_MIN_MS: u64 = 300;
/// Calls assumed to be queued at the store ahead of a new one.
const QUEUED_CALLS_AHEAD: u64 = 4;
/// Largest latency that is allowed for, in ms.
const LATENCY_MAX_MS: u64 = 600;
/// Shortest and longest delay after which callers are asked to retry, without jitter, in ms.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 1_000..=4_000;

/// Observed answers of the store; all times are steady, in ms.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    /// Calls that are neither answered nor failed.
    in_flight: u32,
    /// When the earliest answer awaited since the last one is due.
    due_ms: Option<u64>,
    failures: u32,
    /// When the first of the consecutive failures was seen.
    failing_since_ms: u64,
    answered_ms: u64,
    latency_ms: u64,
}

impl StoreHealth {
    /// Records that a call is sent; the store may hold it open for `wait_ms`.
    pub fn sent(&mut self, now_ms: u64, wait_ms: u64) {
        self.in_flight += 1;
        self.due_ms.get_or_insert(now_ms + wait_ms);
    }

    /// Records an answer; `latency_ms` is the store's response time without the time that it held
    /// the call open, if known.
    pub fn answered(&mut self, now_ms: u64, latency_ms: Option<u64>) {
        self.finish_call();
        self.failures = 0;
        self.answered_ms = now_ms;
        // The next answer is due within the longest time that the store holds a read open.
        self.due_ms = (self.in_flight > 0).then_some(now_ms + READ_WAIT_MS);
        self.latency_ms = latency_ms.unwrap_or(self.latency_ms);
    }

    /// Records a call that failed both directly and through peers.
    pub fn failed(&mut self, now_ms: u64) {
        self.finish_call();
        if self.failures == 0 {
            self.failing_since_ms = now_ms;
        }
        self.failures += 1;
    }

    /// Records a call that its caller gave up.
    pub fn dropped(&mut self) {
        self.finish_call();
    }

    fn finish_call(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns whether the store is unavailable to this host.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        let overdue = self
            .due_ms
            .is_some_and(|due_ms| now_ms >= due_ms + ANSWER_OVERDUE_MS);
        let failing = self.failures >= FAILURES_MAX
            && now_ms.saturating_sub(self.failing_since_ms) >= FAILURE_SPAN_MIN_MS;
        overdue || failing
    }

    /// Returns the time to allow for a call beyond its usual limit, in ms. Calls to a slow store
    /// queue behind each other, and retries make that worse.
    pub fn allowance_ms(&self) -> u64 {
        QUEUED_CALLS_AHEAD * self.latency_ms.min(LATENCY_MAX_MS)
    }

    /// Returns the delay after which callers should retry, in ms: half the time that the store has
    /// been unavailable, so that callers who retry a few times outlast most outages. `jitter`, from
    /// 0 to 1, keeps them from retrying together.
    pub fn retry_after_ms(&self, now_ms: u64, jitter: f64) -> u64 {
        let outage_ms = now_ms.saturating_sub(self.answered_ms);
        let base_ms = (outage_ms / 2).clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
        base_ms + (jitter * *RETRY_AFTER_MS.start() as f64) as u64
    }
}
