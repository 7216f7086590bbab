//! Counts calls under way, so that a shutdown can wait for them.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of calls under way.
#[derive(Debug, Default)]
pub struct CallCount {
    count: AtomicUsize,
}

/// One call under way; dropping it ends it.
pub struct CallGuard<'a> {
    count: &'a AtomicUsize,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

impl CallCount {
    /// Counts a call until the guard is dropped.
    pub fn enter(&self) -> CallGuard<'_> {
        self.count.fetch_add(1, Ordering::SeqCst);
        CallGuard { count: &self.count }
    }

    /// Returns the number of calls under way.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}
