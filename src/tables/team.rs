//! Teams, their guarantees and the cells bound to them.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::cell::{CellShape, CellSpan, LevelCounts};
use crate::tables::name::ObjectName;

/// A number of cells of one shape held for a team in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamGuarantee {
    /// The failure domain.
    pub domain: ObjectName,
    /// Adjacent accelerators of each cell: 1, 2, 4 ... 128.
    pub shape: CellShape,
    /// How many cells.
    pub count: u32,
}

/// A team's whole state, as a ticket gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The team's name.
    pub team: ObjectName,
    /// Guaranteed cells.
    #[serde(default)]
    pub guarantees: Vec<TeamGuarantee>,
    /// Most accelerators held at once, borrowed ones included.
    pub quota_accelerators: u32,
    /// Share of borrowed capacity relative to other teams; 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most jobs waiting at once; more are refused.
    #[serde(default = "default_waiting")]
    pub max_waiting_jobs: u32,
    /// Most requests in flight on one entry host; more are refused.
    #[serde(default = "default_requests")]
    pub max_requests_in_flight: u32,
    /// Whether jobs beyond the guarantee may borrow idle capacity.
    #[serde(default = "default_borrow")]
    pub may_borrow: bool,
}

fn default_weight() -> u32 {
    100
}

fn default_waiting() -> u32 {
    10_000
}

fn default_requests() -> u32 {
    256
}

fn default_borrow() -> bool {
    true
}

impl TeamSpec {
    /// Returns the accelerators of all guarantees.
    pub fn guaranteed_accelerators(&self) -> u64 {
        let cells = self.guarantees.iter();
        cells
            .map(|guarantee| u64::from(guarantee.shape.accelerators()) * u64::from(guarantee.count))
            .sum()
    }
}

/// One team with the ticket that last changed it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TeamRow {
    /// The team's state.
    pub spec: TeamSpec,
    /// Number of the ticket that gave it.
    pub ticket: u64,
    /// Moving average of real over declared run time, in thousandths.
    pub run_ratio: u64,
}

/// Ratio of a team none of whose jobs has finished, in thousandths.
pub const RUN_RATIO_INITIAL: u64 = 1_000;
/// Share of the newest job in the moving average: one part in this many.
const RUN_RATIO_EWMA_DIVISOR: u64 = 8;
/// Largest ratio that one job counts with, in thousandths.
const RUN_RATIO_MAX: u64 = 100_000;

impl TeamRow {
    /// Learns from a job that finished.
    pub fn update_run_ratio(&mut self, declared_ms: u64, ran_ms: u64) {
        let ratio = ran_ms.saturating_mul(1_000) / declared_ms.max(1);
        let newest = ratio.min(RUN_RATIO_MAX);
        self.run_ratio =
            (self.run_ratio * (RUN_RATIO_EWMA_DIVISOR - 1) + newest) / RUN_RATIO_EWMA_DIVISOR;
    }

    /// Returns a declared run time corrected by what the team's jobs really took, in ms.
    pub fn estimate_run_ms(&self, declared_ms: u64) -> u64 {
        declared_ms.saturating_mul(self.run_ratio.max(1)) / 1_000
    }
}

/// A guaranteed cell given a place.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BindingRow {
    /// The team that holds the guarantee.
    pub team: ObjectName,
    /// The place.
    pub span: CellSpan,
    /// Accelerators in it that the team's guaranteed attempts hold, as rack bits.
    pub held: u128,
}

/// All teams, sorted by name, and all bindings, sorted by place.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TeamTable {
    /// Teams, sorted by name.
    pub rows: Vec<TeamRow>,
    /// Bound cells, sorted by place.
    pub bindings: Vec<BindingRow>,
}

impl TeamTable {
    /// Finds a team.
    pub fn find(&self, name: &ObjectName) -> Option<&TeamRow> {
        let found = self.rows.binary_search_by(|row| row.spec.team.cmp(name));
        found.ok().map(|index| &self.rows[index])
    }

    /// Finds a team for change.
    pub fn find_mut(&mut self, name: &ObjectName) -> Option<&mut TeamRow> {
        let found = self.rows.binary_search_by(|row| row.spec.team.cmp(name));
        found.ok().map(|index| &mut self.rows[index])
    }

    /// Adds a team or replaces its state.
    pub fn put(&mut self, row: TeamRow) {
        let found = self
            .rows
            .binary_search_by(|old| old.spec.team.cmp(&row.spec.team));
        match found {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
    }

    /// Returns the binding that covers a cell, if the cell lies inside one.
    pub fn enclosing_binding(&self, span: &CellSpan) -> Option<usize> {
        let after = self
            .bindings
            .partition_point(|row| (row.span.rack, row.span.first) <= (span.rack, span.first));
        let index = after.checked_sub(1)?;
        let bound = &self.bindings[index].span;
        let inside = bound.rack == span.rack && bound.mask() & span.mask() == span.mask();
        inside.then_some(index)
    }

    /// Adds a binding in its sorted place.
    pub fn bind(&mut self, row: BindingRow) {
        let index = self.bindings.partition_point(|old| {
            (old.span.rack, old.span.first) < (row.span.rack, row.span.first)
        });
        self.bindings.insert(index, row);
    }
}

/// Counts of guaranteed cells.
impl TeamGuarantee {
    /// Adds the cells to counts by level.
    pub fn add_to(&self, counts: &mut LevelCounts) {
        counts.0[self.shape.level()] += i64::from(self.count);
    }
}
