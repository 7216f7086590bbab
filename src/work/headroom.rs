//! Room that less urgent work leaves free for urgent work still to come.
//!
//! Answers this pattern: urgent gangs keep arriving while lesser work would fill the pool to
//! the last accelerator. Each arrival then displaces work that has just begun, waits for it to
//! stop, and finds no rack whole. With some room left free it starts at once, and lesser work
//! that is started is done.

use crate::work::amount::ResourceAmount;

/// Room kept from the least urgent work, in thousandths of what urgent work holds now.
const BATCH_HEADROOM_MILLI: u64 = 1_000;
/// Room kept from work between, in the same unit.
const STANDARD_HEADROOM_MILLI: u64 = 250;
/// Most room kept, in thousandths of the pool.
const HEADROOM_MAX_MILLI: u64 = 200;

/// Returns how much must stay free when work of a priority is placed: it follows what urgent
/// work holds, so that a pool without urgent work keeps nothing.
pub fn required_headroom(
    priority: u32,
    urgent: &ResourceAmount,
    capacity: &ResourceAmount,
) -> ResourceAmount {
    let headroom = match priority {
        0 => return ResourceAmount::default(),
        1 => STANDARD_HEADROOM_MILLI,
        _ => BATCH_HEADROOM_MILLI,
    };
    urgent
        .share(headroom)
        .min(&capacity.share(HEADROOM_MAX_MILLI))
}
