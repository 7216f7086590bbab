//! Room that less urgent work leaves free for urgent work still to come.
//!
//! Answers this pattern: urgent gangs keep arriving while lesser work would fill the pool to
//! the last accelerator. Each arrival then displaces work that has just begun, waits for it to
//! stop, and finds no rack whole. With some room left free it starts at once, and lesser work
//! that is started is done.

use crate::work::amount::ResourceAmount;

/// Room kept from the least urgent work, in thousandths of what urgent work holds now.
const KEPT_FROM_BATCH: u64 = 1_000;
/// Room kept from work between, in the same unit.
const KEPT_FROM_PLAIN: u64 = 250;
/// Most room kept, in thousandths of the pool.
const KEPT_MAX: u64 = 200;

/// Returns how much must stay free when work of a priority is placed: it follows what urgent
/// work holds, so that a pool without urgent work keeps nothing.
pub fn kept_room(
    priority: u32,
    urgent: &ResourceAmount,
    capacity: &ResourceAmount,
) -> ResourceAmount {
    let kept = match priority {
        0 => return ResourceAmount::default(),
        1 => KEPT_FROM_PLAIN,
        _ => KEPT_FROM_BATCH,
    };
    urgent.share(kept).min(&capacity.share(KEPT_MAX))
}
