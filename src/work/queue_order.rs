//! In which order waiting units are placed.
//!
//! Answers this pattern: more work waits than fits. Urgent queues go first; among the rest,
//! units that can still meet their objective go before those that cannot, and short work
//! before long, since the same capacity then meets more objectives. What nobody waits for any
//! more runs in what is left.

/// Work that counts as one doubling when lengths are compared, in core-seconds.
const MIN_CORE_SECONDS: u64 = 1;
/// Thousandths of a core times ms in a core-second.
const MILLICORE_MS_PER_CORE_S: u64 = 1_000_000;

/// What the order depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingUnit {
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Whether it is inside its team's guarantee.
    pub guaranteed: bool,
    /// Time until it must start to be on time, in ms; negative when it is late already.
    pub slack_ms: i64,
    /// Whether it is so late that nobody waits for it any more.
    pub expired: bool,
    /// Work left of its whole job, in thousandths of a core x ms.
    pub work: u64,
    /// Whether other tasks of its job have begun.
    pub job_started: bool,
}

/// A place in the order; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    expired: bool,
    priority: u32,
    borrowed: bool,
    late: bool,
    size: u32,
    slack_ms: i64,
}

/// Returns a unit's place in the order.
pub fn order_key(unit: &WaitingUnit) -> OrderKey {
    let seconds = (unit.work / MILLICORE_MS_PER_CORE_S).max(MIN_CORE_SECONDS);
    let doublings = u64::BITS - seconds.leading_zeros();
    OrderKey {
        expired: unit.expired,
        priority: unit.priority,
        borrowed: !unit.guaranteed,
        late: unit.slack_ms < 0,
        // A job that has begun is nearer to its end.
        size: doublings.saturating_sub(u32::from(unit.job_started)),
        slack_ms: unit.slack_ms,
    }
}
