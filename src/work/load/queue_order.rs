//! The order in which waiting units are placed.
//!
//! When more work waits than fits, urgent queues go first. Among the rest, units that can still
//! meet their time objective go before those that cannot, and short jobs before long ones, since
//! the same capacity then meets more objectives. Expired units, whose results are assumed to be no
//! longer awaited, go last. Among units that are equally urgent and late, those of teams within
//! their share of the pool go first.

use crate::work::load::fair_share::ShareLevel;

/// Lower bound of a job's size in comparisons, in core-seconds; smaller jobs compare as equal.
const MIN_CORE_SECONDS: u64 = 1;
/// Factor from core-seconds to millicore-milliseconds.
const MILLICORE_MS_PER_CORE_S: u64 = 1_000_000;

/// Properties of a waiting unit that determine its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingUnit {
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Whether it is inside its team's guarantee.
    pub guaranteed: bool,
    /// Time left until it must start to meet its objective, in ms; negative if that time has
    /// passed.
    pub slack_ms: i64,
    /// Whether it is so late that its result is assumed to be no longer awaited.
    pub expired: bool,
    /// Estimated work of its whole job, in millicore-milliseconds.
    pub work: u64,
    /// Whether any task of its job has started.
    pub job_started: bool,
    /// How much of the pool its team holds against its share.
    pub share: ShareLevel,
}

/// Sort key of a waiting unit; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    expired: bool,
    priority: u32,
    borrowed: bool,
    late: bool,
    share: ShareLevel,
    size: u32,
    slack_ms: i64,
}

/// Returns a unit's sort key.
pub fn order_key(unit: &WaitingUnit) -> OrderKey {
    let seconds = (unit.work / MILLICORE_MS_PER_CORE_S).max(MIN_CORE_SECONDS);
    let doublings = u64::BITS - seconds.leading_zeros();
    OrderKey {
        expired: unit.expired,
        priority: unit.priority,
        borrowed: !unit.guaranteed,
        late: unit.slack_ms < 0,
        share: unit.share,
        // A started job is closer to completion, so it counts as half its size.
        size: doublings.saturating_sub(u32::from(unit.job_started)),
        slack_ms: unit.slack_ms,
    }
}
