//! Speed of upstreams, learned from all runs.
//!
//! Upstreams of one pool differ in speed, and callers' estimates are wrong by step, so that no run
//! shows by itself whether its upstream or its step is slow. Both are estimated together: a step's
//! bias from all its runs, an upstream's slowness from the runs of unlike steps on it. Slowness is
//! kept as a distribution over logarithmic cells, since pools consist of few classes of machines:
//! the classes are learned as well, and one run then often tells to which of them an upstream belongs.

pub mod bias;
pub mod curve;
pub mod distribution;
pub mod sample;
pub mod table;

/// Number of cells of logarithmic slowness.
pub const CELLS: usize = 32;
/// Logarithm of the slowness in the first cell.
const FIRST_CELL: f64 = -1.0;
/// Difference between two cells.
const CELL_WIDTH: f64 = 0.1;

/// Returns the logarithm of the slowness that a cell stands for.
fn cell_value(cell: usize) -> f64 {
    FIRST_CELL + CELL_WIDTH * cell as f64
}
