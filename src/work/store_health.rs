//! Whether the store answers, and how fast, as one host sees it by any way.
//!
//! Answers this pattern: the store goes silent, refuses, or answers fifty times slower while
//! callers go on coming. What cannot be stored is refused at once, and nothing is sent whose
//! fate would be unknown; a store that is slow, but answers, is not taken for one that is away.

use crate::work::follow::READ_WAIT_MS;

/// Time by which an answer is overdue when the store counts as away, in ms.
const ANSWER_OVERDUE_MS: u64 = 900;
/// Failures in a row after which it counts as away.
const FAILURES_MAX: u32 = 3;
/// Shortest time that these failures span, in ms.
const FAILURE_SPAN_MIN_MS: u64 = 300;
/// Calls that may wait at the store before one that is made now.
const QUEUED_CALLS_AHEAD: u64 = 4;
/// Longest time from asking to answering that is allowed for, in ms.
const LATENCY_MAX_MS: u64 = 600;
/// Shortest and longest time after which callers are asked to come back, in ms.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 1_000..=4_000;

/// What is known of the store's answers; all times are steady, in ms.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    /// Calls without an answer or a failure yet.
    in_flight: u32,
    /// When the oldest answer since the last one was due.
    due_ms: Option<u64>,
    failures: u32,
    /// When the first of the failures in a row was seen.
    failing_since_ms: u64,
    answered_ms: u64,
    latency_ms: u64,
}

impl StoreHealth {
    /// Notes that a call is sent; the store may keep it for `wait_ms`.
    pub fn sent(&mut self, now_ms: u64, wait_ms: u64) {
        self.in_flight += 1;
        self.due_ms.get_or_insert(now_ms + wait_ms);
    }

    /// Notes an answer; `latency_ms` is the time that the store took beyond a wait for news,
    /// if that is known.
    pub fn answered(&mut self, now_ms: u64, latency_ms: Option<u64>) {
        self.finish_call();
        self.failures = 0;
        self.answered_ms = now_ms;
        // The next answer is due within the longest wait of those still on their way.
        self.due_ms = (self.in_flight > 0).then_some(now_ms + READ_WAIT_MS);
        self.latency_ms = latency_ms.unwrap_or(self.latency_ms);
    }

    /// Notes a call that failed by every way.
    pub fn failed(&mut self, now_ms: u64) {
        self.finish_call();
        if self.failures == 0 {
            self.failing_since_ms = now_ms;
        }
        self.failures += 1;
    }

    /// Notes a call that was given up by its caller.
    pub fn dropped(&mut self) {
        self.finish_call();
    }

    fn finish_call(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns whether the store answers nobody here.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        let overdue = self
            .due_ms
            .is_some_and(|due_ms| now_ms >= due_ms + ANSWER_OVERDUE_MS);
        let failing = self.failures >= FAILURES_MAX
            && now_ms.saturating_sub(self.failing_since_ms) >= FAILURE_SPAN_MIN_MS;
        overdue || failing
    }

    /// Returns the time to allow for a call beyond its usual limit, in ms: a slow store has
    /// calls that wait for each other, and asking again makes that worse.
    pub fn allowance_ms(&self) -> u64 {
        QUEUED_CALLS_AHEAD * self.latency_ms.min(LATENCY_MAX_MS)
    }

    /// Returns when callers should come back, in ms from now: half as long as the store has
    /// been away, so that those who return a few times outlast most outages. `jitter`, from 0
    /// to 1, keeps them from returning together.
    pub fn retry_after_ms(&self, now_ms: u64, jitter: f64) -> u64 {
        let outage_ms = now_ms.saturating_sub(self.answered_ms);
        let base_ms = (outage_ms / 2).clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
        base_ms + (jitter * *RETRY_AFTER_MS.start() as f64) as u64
    }
}
