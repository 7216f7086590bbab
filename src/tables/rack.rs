//! Racks and the workers in them, with accelerator masks.

use serde::{Deserialize, Serialize};

use crate::tables::cell::{
    CELL_LEVELS, CellShape, CellSpan, LevelCounts, WORKER_STRIDE, full_cells,
};
use crate::tables::name::ObjectName;
use crate::tables::worker::WorkerRow;

/// A rack's row number; rows are only ever added, so it never changes.
pub type RackId = u32;

/// A worker's place: its rack and position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerSlot {
    /// The rack.
    pub rack: RackId,
    /// Position in the rack, from 0.
    pub position: u8,
}

impl WorkerSlot {
    /// Returns the mask of all accelerator positions of this worker.
    pub fn mask(&self) -> u128 {
        0xff << (u32::from(self.position) * WORKER_STRIDE)
    }
}

/// One rack.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RackRow {
    /// The failure domain that holds the rack.
    pub domain: ObjectName,
    /// The rack's name, unique in its failure domain.
    pub name: ObjectName,
    /// Workers by position; `None` where none was ever seen.
    pub workers: Vec<Option<WorkerRow>>,
    /// Accelerators that may take new work.
    pub usable: u128,
    /// Accelerators that an attempt holds, until its stop is certain.
    pub used: u128,
    /// Accelerators of guaranteed attempts, held or being reclaimed.
    pub hard: u128,
    /// Accelerators inside cells bound to a guarantee.
    pub bound: u128,
}

impl RackRow {
    /// Returns accelerators on which borrowed work may be placed now.
    pub fn free(&self) -> u128 {
        self.usable & !self.used & !self.hard
    }

    /// Returns accelerators that an unbound guarantee could be given after evictions.
    pub fn reclaimable(&self) -> u128 {
        self.usable & !self.hard & !self.bound
    }

    /// Recomputes `usable` from the workers' states.
    pub fn refresh_usable(&mut self) {
        self.usable = 0;
        for (position, worker) in self.workers.iter().enumerate() {
            let Some(worker) = worker else { continue };
            if worker.accepts_work() {
                let bits = (1u128 << worker.accelerators) - 1;
                self.usable |= bits << (position as u32 * WORKER_STRIDE);
            }
        }
    }
}

/// All racks of a region, in the order in which they were first seen.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RackTable {
    /// The rows; a row's number is its `RackId`.
    pub rows: Vec<RackRow>,
}

impl RackTable {
    /// Finds a rack by failure domain and name.
    pub fn find(&self, domain: &ObjectName, name: &ObjectName) -> Option<RackId> {
        let same = |row: &RackRow| row.name == *name && row.domain == *domain;
        self.rows.iter().position(same).map(|id| id as RackId)
    }

    /// Finds a rack by failure domain and name, adding it when it is new.
    pub fn find_or_add(&mut self, domain: &ObjectName, name: &ObjectName) -> RackId {
        if let Some(id) = self.find(domain, name) {
            return id;
        }
        self.rows.push(RackRow {
            domain: domain.clone(),
            name: name.clone(),
            workers: Vec::new(),
            usable: 0,
            used: 0,
            hard: 0,
            bound: 0,
        });
        (self.rows.len() - 1) as RackId
    }

    /// Returns a rack's row.
    pub fn row(&self, rack: RackId) -> Option<&RackRow> {
        self.rows.get(rack as usize)
    }

    /// Returns a rack's row for change.
    pub fn row_mut(&mut self, rack: RackId) -> Option<&mut RackRow> {
        self.rows.get_mut(rack as usize)
    }

    /// Returns the worker at a slot.
    pub fn worker(&self, slot: WorkerSlot) -> Option<&WorkerRow> {
        let row = self.row(slot.rack)?;
        row.workers.get(usize::from(slot.position))?.as_ref()
    }

    /// Returns the worker at a slot for change.
    pub fn worker_mut(&mut self, slot: WorkerSlot) -> Option<&mut WorkerRow> {
        let row = self.row_mut(slot.rack)?;
        row.workers.get_mut(usize::from(slot.position))?.as_mut()
    }

    /// Iterates over all workers with their slots.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerSlot, &WorkerRow)> {
        self.rows.iter().enumerate().flat_map(|(rack, row)| {
            let slot = move |position| WorkerSlot {
                rack: rack as RackId,
                position: position as u8,
            };
            let seen = row.workers.iter().enumerate();
            seen.filter_map(move |(position, worker)| Some((slot(position), worker.as_ref()?)))
        })
    }

    /// Returns the failure domains, sorted.
    pub fn domains(&self) -> Vec<ObjectName> {
        let mut domains: Vec<_> = self.rows.iter().map(|row| row.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        domains
    }

    /// Counts the maximal cells of a failure domain in a mask taken of each rack.
    pub fn count_cells(&self, domain: &ObjectName, mask: impl Fn(&RackRow) -> u128) -> LevelCounts {
        let mut counts = LevelCounts::default();
        for row in self.rows.iter().filter(|row| row.domain == *domain) {
            counts.add(&LevelCounts::of_mask(mask(row)));
        }
        counts
    }

    /// Lists the cells of a shape that are full in a mask, each with its maximal cell's level.
    pub fn candidate_cells(
        &self,
        domain: &ObjectName,
        shape: CellShape,
        mask: impl Fn(&RackRow) -> u128,
    ) -> Vec<CellCandidate> {
        let mut choices = Vec::new();
        for (rack, row) in self.rows.iter().enumerate() {
            if row.domain == *domain {
                push_candidates(rack as RackId, mask(row), shape, &mut choices);
            }
        }
        choices
    }
}

/// A cell that could be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellCandidate {
    /// Level of the maximal full cell around it.
    pub enclosing_level: usize,
    /// The cell.
    pub span: CellSpan,
}

/// Adds the cells of a shape that are full in a rack's mask.
pub fn push_candidates(
    rack: RackId,
    mask: u128,
    shape: CellShape,
    choices: &mut Vec<CellCandidate>,
) {
    let cells = full_cells(mask);
    let mut starts = cells[shape.level()];
    while starts != 0 {
        let first = starts.trailing_zeros();
        starts &= starts - 1;
        let is_full = |level: &usize| cells[*level] >> (first >> level << level) & 1 == 1;
        let enclosing_level = (shape.level()..CELL_LEVELS).take_while(is_full).last();
        choices.push(CellCandidate {
            enclosing_level: enclosing_level.unwrap_or(shape.level()),
            span: CellSpan {
                rack,
                first: first as u8,
                shape,
            },
        });
    }
}
