//! Remembers which record ids stand in the log, so that repeats are dropped.

use serde::{Deserialize, Serialize};

use crate::journal::record::RecordId;

/// Ids above the floor kept for each process.
const WINDOW_IDS_MAX: usize = 4_096;
/// Time after which a silent process's ids are forgotten, in ms.
const BOOT_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Ids of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BootRow {
    boot: u64,
    /// Ids up to this one count as seen.
    floor: u64,
    /// Ids above the floor, sorted.
    above: Vec<u64>,
    last_ms: u64,
}

/// Ids seen, by process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DedupTable {
    rows: Vec<BootRow>,
}

impl DedupTable {
    /// Notes an id; returns whether it is new.
    pub fn insert(&mut self, id: RecordId, at_ms: u64) -> bool {
        let index = match self.rows.binary_search_by(|row| row.boot.cmp(&id.boot)) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, BootRow::new(id.boot));
                index
            }
        };
        self.rows[index].insert(id.seq, at_ms)
    }

    /// Forgets processes that have been silent for a day of log time.
    pub fn prune(&mut self, now_ms: u64) {
        self.rows
            .retain(|row| row.last_ms.saturating_add(BOOT_RETENTION_MS) > now_ms);
    }
}

impl BootRow {
    fn new(boot: u64) -> Self {
        Self {
            boot,
            floor: 0,
            above: Vec::new(),
            last_ms: 0,
        }
    }

    fn insert(&mut self, seq: u64, at_ms: u64) -> bool {
        self.last_ms = at_ms;
        if seq <= self.floor {
            return false;
        }
        let Err(index) = self.above.binary_search(&seq) else {
            return false;
        };
        self.above.insert(index, seq);
        self.raise_floor();
        true
    }

    fn raise_floor(&mut self) {
        let pairs = self.above.iter().zip(self.floor + 1..);
        let contiguous = pairs.take_while(|(seq, next)| *seq == next).count();
        let excess = self.above.len().saturating_sub(WINDOW_IDS_MAX);
        let dropped = contiguous.max(excess);
        if dropped > 0 {
            self.floor = self.above[dropped - 1];
            self.above.drain(..dropped);
        }
    }
}
