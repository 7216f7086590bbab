//! Bound on the number of log lines in each interval.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines in each interval before further ones are dropped.
const LINES_PER_INTERVAL: u32 = 500;
/// Length of the rate limit's interval, in ms.
const INTERVAL_MS: u64 = 1_000;

#[derive(Debug)]
struct LineWindow {
    start: Instant,
    remaining: u32,
    dropped: u64,
}

/// Tells which lines are written, and counts the dropped ones. It is asked before a line is
/// formatted, so that dropped lines cost nothing.
#[derive(Debug)]
pub struct LineBudget(Mutex<LineWindow>);

impl LineBudget {
    /// Creates the budget with its first interval beginning now.
    pub fn new(now: Instant) -> Self {
        Self(Mutex::new(LineWindow {
            start: now,
            remaining: LINES_PER_INTERVAL,
            dropped: 0,
        }))
    }

    /// Returns whether one more line may be written; otherwise it counts as dropped.
    pub fn try_acquire(&self, now: Instant) -> bool {
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if now.duration_since(window.start) >= Duration::from_millis(INTERVAL_MS) {
            window.start = now;
            window.remaining = LINES_PER_INTERVAL;
        }
        if window.remaining == 0 {
            window.dropped += 1;
            return false;
        }
        window.remaining -= 1;
        true
    }

    /// Counts a line that was dropped for another reason.
    pub fn add_dropped(&self) {
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        window.dropped += 1;
    }

    /// Returns the number of dropped lines since the last call.
    pub fn take_dropped(&self) -> u64 {
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut window.dropped)
    }
}
