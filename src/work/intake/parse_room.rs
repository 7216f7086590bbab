//! Room for what large contents take once they are parsed.
//!
//! Load: many legal bodies of many short parts at once. Each takes many times its size in memory
//! while its call is served, so few large ones are parsed at a time; the others wait, unparsed.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Upper bound of what content takes once it is parsed, as a multiple of its size.
const PARSED_FACTOR: usize = 24;
/// Share of the memory for parsed contents, as a divisor.
const PARSED_MEMORY_DIVISOR: usize = 4;
/// Unit of the room, in bytes.
const UNIT_BYTES: usize = 1_024;

/// Room for parsed contents in one process. Clones share it.
#[derive(Clone, Debug)]
pub struct ParseRoom {
    units: Arc<Semaphore>,
    units_max: usize,
}

/// Room that is held for one parsed content until it is dropped.
#[derive(Debug)]
pub struct ParsePermit {
    _units: Option<OwnedSemaphorePermit>,
}

impl ParseRoom {
    /// Returns the room of a machine with this memory, in bytes.
    pub fn new(memory_bytes: usize) -> Self {
        let units_max = (memory_bytes / PARSED_MEMORY_DIVISOR / UNIT_BYTES).max(1);
        Self {
            units: Arc::new(Semaphore::new(units_max)),
            units_max,
        }
    }

    /// Waits for room to parse content of this size, in bytes. Content that is too large for the
    /// room takes all of it, so that a single one always gets through.
    pub async fn reserve(&self, size: usize) -> ParsePermit {
        let wanted = size.saturating_mul(PARSED_FACTOR).div_ceil(UNIT_BYTES);
        let wanted = wanted.min(self.units_max) as u32;
        let units = Arc::clone(&self.units).acquire_many_owned(wanted).await;
        // The semaphore is never closed.
        ParsePermit { _units: units.ok() }
    }
}
