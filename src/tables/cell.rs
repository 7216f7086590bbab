//! Buddy cells: aligned runs of adjacent accelerators within a rack.

use eyre::{Report, ensure};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::rack::RackId;

/// Accelerator positions of one worker in its rack's mask.
pub const WORKER_STRIDE: u32 = 8;
/// Most workers in a rack, so that a rack fits one 128-bit mask.
pub const RACK_POSITIONS_MAX: u32 = 16;
/// Number of cell levels: 1, 2, 4 ... 128 accelerators.
pub const CELL_LEVELS: usize = 8;

/// The size of a cell: `2^level` adjacent accelerators.
///
/// Sizes above 8 are whole adjacent workers of one rack. On the wire it is the
/// number of accelerators.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(try_from = "u32", into = "u32")]
#[schemars(with = "u32")]
pub struct CellShape(u8);

impl CellShape {
    /// Returns the level: the exponent of the size.
    pub fn level(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the number of accelerators.
    pub fn accelerators(self) -> u32 {
        1 << self.0
    }
}

impl TryFrom<u32> for CellShape {
    type Error = Report;

    fn try_from(accelerators: u32) -> Result<Self, Report> {
        ensure!(
            accelerators.is_power_of_two() && accelerators <= 128,
            "a shape of {accelerators} accelerators; allowed are 1, 2, 4, 8, 16, 32, 64, 128"
        );
        Ok(Self(u8::try_from(accelerators.trailing_zeros())?))
    }
}

impl From<CellShape> for u32 {
    fn from(shape: CellShape) -> Self {
        shape.accelerators()
    }
}

/// One cell: a shape at an aligned place in a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellSpan {
    /// The rack.
    #[serde(rename = "r")]
    pub rack: RackId,
    /// First accelerator, counted from the rack's first worker; a multiple of the size.
    #[serde(rename = "f")]
    pub first: u8,
    /// The size.
    #[serde(rename = "n")]
    pub shape: CellShape,
}

impl CellSpan {
    /// Returns whether the cell is aligned and ends inside a rack's mask.
    pub fn is_aligned(&self) -> bool {
        let size = self.shape.accelerators();
        let first = u32::from(self.first);
        first.is_multiple_of(size) && first + size <= u128::BITS
    }

    /// Returns the accelerators as bits of the rack's mask.
    pub fn mask(&self) -> u128 {
        run_mask(self.shape) << self.first
    }
}

/// Returns a mask of a shape's size at bit 0.
fn run_mask(shape: CellShape) -> u128 {
    u128::MAX >> (u128::BITS - shape.accelerators())
}

/// Returns, for each level, the first bits of all aligned cells that are full in `mask`.
pub fn full_cells(mask: u128) -> [u128; CELL_LEVELS] {
    let mut cells = [mask; CELL_LEVELS];
    for level in 1..CELL_LEVELS {
        let below = cells[level - 1];
        let half = 1 << (level - 1);
        cells[level] = below & (below >> half) & ALIGNED[level];
    }
    cells
}

/// Bits that are multiples of each level's size.
const ALIGNED: [u128; CELL_LEVELS] = aligned_bits();

const fn aligned_bits() -> [u128; CELL_LEVELS] {
    let mut bits = [u128::MAX; CELL_LEVELS];
    let mut level = 1;
    while level < CELL_LEVELS {
        let half = 1u32 << (level - 1);
        // Keep every other bit of the level below.
        let mut aligned = 0u128;
        let mut position = 0u32;
        while position < u128::BITS {
            aligned |= 1u128 << position;
            position += half * 2;
        }
        bits[level] = aligned;
        level += 1;
    }
    bits
}

/// Counts of cells by level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LevelCounts(pub [i64; CELL_LEVELS]);

impl LevelCounts {
    /// Counts the maximal full cells of a mask.
    pub fn of_mask(mask: u128) -> Self {
        let cells = full_cells(mask);
        let mut counts = Self::default();
        for level in 0..CELL_LEVELS {
            let full = i64::from(cells[level].count_ones());
            let merged = cells
                .get(level + 1)
                .map_or(0, |above| i64::from(above.count_ones()));
            counts.0[level] = full - 2 * merged;
        }
        counts
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: &Self) {
        for (own, more) in self.0.iter_mut().zip(other.0) {
            *own += more;
        }
    }

    /// Returns how many accelerators of `wanted` cannot be packed into these free cells.
    ///
    /// Cells nest, so handing out the largest first is exact.
    pub fn shortage(&self, wanted: &Self) -> i64 {
        let mut carry = 0;
        let mut short = 0;
        for level in (0..CELL_LEVELS).rev() {
            let left = carry * 2 + self.0[level] - wanted.0[level];
            short += (-left).max(0) << level;
            carry = left.max(0);
        }
        short
    }

    /// Takes one cell of level `take` out of a maximal cell of level `from`.
    pub fn split(&mut self, from: usize, take: usize) {
        self.0[from] -= 1;
        for level in take..from {
            self.0[level] += 1;
        }
    }
}
