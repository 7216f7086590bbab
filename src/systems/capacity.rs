//! What each failure domain could hold if all its workers were healthy and idle.

use crate::journal::state::FoldState;
use crate::systems::borrow::domains_for;
use crate::tables::cell::{CELL_LEVELS, CellShape, full_cells};
use crate::tables::job::JobSpec;
use crate::tables::name::ObjectName;
use crate::tables::rack::RackRow;
use crate::tables::worker::WorkerState;

/// One failure domain's whole cells by level.
struct CapacityRow {
    domain: ObjectName,
    cells: [u32; CELL_LEVELS],
}

/// Whole cells of all failure domains, sorted by name.
pub struct CapacityTable {
    rows: Vec<CapacityRow>,
}

impl CapacityTable {
    /// Counts the cells of all workers that are there, healthy or not.
    pub fn new(state: &FoldState) -> Self {
        let rows = state.racks.domains().into_iter().map(|domain| {
            let mut cells = [0; CELL_LEVELS];
            for row in state.racks.rows.iter().filter(|row| row.domain == domain) {
                let full = full_cells(present_accelerators(row));
                for (count, starts) in cells.iter_mut().zip(full) {
                    *count += starts.count_ones();
                }
            }
            CapacityRow { domain, cells }
        });
        Self {
            rows: rows.collect(),
        }
    }

    /// Returns the most shapes that a failure domain could hold.
    fn max_shapes(&self, domain: &ObjectName, shape: CellShape) -> u32 {
        let found = self.rows.binary_search_by(|row| row.domain.cmp(domain));
        found.map_or(0, |index| self.rows[index].cells[shape.level()])
    }

    /// Returns why no failure domain could ever hold a gang, if none could.
    pub fn infeasible_reason(&self, state: &FoldState, spec: &JobSpec) -> Option<String> {
        if self.rows.is_empty() {
            return None;
        }
        let domains = domains_for(state, spec);
        let max_shapes = domains
            .iter()
            .map(|domain| self.max_shapes(domain, spec.shape));
        let max_shapes = max_shapes.max().unwrap_or(0);
        (max_shapes < spec.count).then(|| {
            format!(
                "no failure domain has {} shapes of {} accelerators; the most is {max_shapes}",
                spec.count,
                spec.shape.accelerators()
            )
        })
    }
}

/// Returns the accelerators of all workers that are there.
fn present_accelerators(row: &RackRow) -> u128 {
    let mut healthy = row.clone();
    for worker in healthy.workers.iter_mut().flatten() {
        if worker.state != WorkerState::Gone {
            worker.state = WorkerState::Live;
            worker.quarantined = false;
        }
    }
    healthy.refresh_usable();
    healthy.usable
}
