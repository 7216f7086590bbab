//! Table of teams, their guarantees and the cells bound to the guarantees.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::tables::cell::{CellShape, CellSpan, LevelCounts};
use crate::tables::name::ObjectName;

/// A number of cells of one shape guaranteed to a team in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamGuarantee {
    pub domain: ObjectName,
    /// Number of adjacent accelerators in each cell: 1, 2, 4 ... 128.
    pub shape: CellShape,
    /// Number of cells.
    pub count: u32,
}

/// A team's complete configuration, as set by a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The team's name.
    pub team: ObjectName,
    /// Guaranteed cells.
    #[serde(default)]
    pub guarantees: Vec<TeamGuarantee>,
    /// Maximum number of accelerators held at once, borrowed ones included.
    pub quota_accelerators: u32,
    /// Share of borrowed capacity relative to other teams, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of waiting jobs; further ones are refused.
    #[serde(default = "default_waiting")]
    pub max_waiting_jobs: u32,
    /// Maximum number of requests in flight on one entry host; further ones are refused.
    #[serde(default = "default_requests")]
    pub max_requests_in_flight: u32,
    /// Whether jobs beyond the guarantees may borrow idle capacity.
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
    /// Returns the number of accelerators in all guarantees.
    pub fn guaranteed_accelerators(&self) -> u64 {
        let cells = self.guarantees.iter();
        cells
            .map(|guarantee| u64::from(guarantee.shape.accelerators()) * u64::from(guarantee.count))
            .sum()
    }
}

/// A team and the ticket that last changed it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TeamRow {
    /// The team's configuration.
    pub spec: TeamSpec,
    /// Number of the ticket that set the configuration.
    pub ticket: u64,
    /// Exponentially weighted moving average of actual over declared run time, in thousandths.
    pub run_ratio: u64,
}

/// Run ratio of a team none of whose jobs has finished yet, in thousandths.
pub const RUN_RATIO_INITIAL: u64 = 1_000;
/// The newest job has a weight of one in this many in the moving average.
const RUN_RATIO_EWMA_DIVISOR: u64 = 8;
/// Maximum ratio with which one job enters the moving average, in thousandths.
const RUN_RATIO_MAX: u64 = 100_000;

impl TeamRow {
    /// Updates the moving average with a finished job.
    pub fn update_run_ratio(&mut self, declared_ms: u64, ran_ms: u64) {
        let ratio = ran_ms.saturating_mul(1_000) / declared_ms.max(1);
        let newest = ratio.min(RUN_RATIO_MAX);
        self.run_ratio =
            (self.run_ratio * (RUN_RATIO_EWMA_DIVISOR - 1) + newest) / RUN_RATIO_EWMA_DIVISOR;
    }

    /// Returns the expected run time of a job, in ms: the declared one times the run ratio.
    pub fn estimate_run_ms(&self, declared_ms: u64) -> u64 {
        declared_ms.saturating_mul(self.run_ratio.max(1)) / 1_000
    }
}

/// A guaranteed cell that is bound to accelerators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BindingRow {
    /// The team that holds the guarantee.
    pub team: ObjectName,
    /// The accelerators.
    pub span: CellSpan,
    /// Accelerators of the cell that the team's guaranteed attempts use, as bits of the rack's
    /// mask.
    pub held: u128,
}

/// All teams and all cells bound to their guarantees.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TeamTable {
    /// Teams, sorted by name.
    pub rows: Vec<TeamRow>,
    /// Bound cells, sorted by rack and first accelerator.
    pub bindings: Vec<BindingRow>,
}

impl TeamTable {
    /// Returns the team with a name.
    pub fn find(&self, name: &ObjectName) -> Option<&TeamRow> {
        let found = self.rows.binary_search_by(|row| row.spec.team.cmp(name));
        found.ok().map(|index| &self.rows[index])
    }

    /// Returns the team with a name for modification.
    pub fn find_mut(&mut self, name: &ObjectName) -> Option<&mut TeamRow> {
        let found = self.rows.binary_search_by(|row| row.spec.team.cmp(name));
        found.ok().map(|index| &mut self.rows[index])
    }

    /// Adds or replaces a team.
    pub fn put(&mut self, row: TeamRow) {
        let found = self
            .rows
            .binary_search_by(|old| old.spec.team.cmp(&row.spec.team));
        match found {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
    }

    /// Returns the index of the binding that contains a cell.
    pub fn enclosing_binding(&self, span: &CellSpan) -> Option<usize> {
        let after = self
            .bindings
            .partition_point(|row| (row.span.rack, row.span.first) <= (span.rack, span.first));
        let index = after.checked_sub(1)?;
        let bound = &self.bindings[index].span;
        let inside = bound.rack == span.rack && bound.mask() & span.mask() == span.mask();
        inside.then_some(index)
    }

    /// Adds a binding at its place in the order.
    pub fn bind(&mut self, row: BindingRow) {
        let index = self.bindings.partition_point(|old| {
            (old.span.rack, old.span.first) < (row.span.rack, row.span.first)
        });
        self.bindings.insert(index, row);
    }
}

impl TeamGuarantee {
    /// Adds the guaranteed cells to `counts`.
    pub fn add_to(&self, counts: &mut LevelCounts) {
        counts.0[self.shape.level()] += i64::from(self.count);
    }
}
