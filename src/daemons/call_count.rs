//! Counts calls in flight, so that a graceful shutdown can wait for them.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of calls in flight.
#[derive(Debug, Default)]
pub struct CallCount {
    count: AtomicUsize,
}

/// Guard of one call in flight; dropping it decrements the count.
pub struct CallGuard<'a> {
    count: &'a AtomicUsize,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

impl CallCount {
    /// Counts a call as in flight until the returned guard is dropped.
    pub fn enter(&self) -> CallGuard<'_> {
        self.count.fetch_add(1, Ordering::SeqCst);
        CallGuard { count: &self.count }
    }

    /// Returns the number of calls in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}
