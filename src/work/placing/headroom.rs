//! Headroom: capacity that less urgent work leaves free for urgent work still to come.
//!
//! Urgent gangs keep arriving while less urgent work would fill the pool to the last accelerator.
//! Each arrival would then preempt work that has just started, wait for it to stop, and find no
//! rack free. With headroom it starts at once, and less urgent work that has started runs to
//! completion.

use crate::work::model::amount::ResourceAmount;

/// Headroom left by the least urgent work, in thousandths of the capacity that urgent work holds.
const BATCH_HEADROOM_MILLI: u64 = 1_000;
/// Headroom left by priority 1, in the same unit.
const STANDARD_HEADROOM_MILLI: u64 = 250;
/// Largest headroom, in thousandths of the pool's capacity.
const HEADROOM_MAX_MILLI: u64 = 200;

/// Returns the capacity that must stay free when work of a priority is placed. It is proportional
/// to what urgent work holds, so that a pool without urgent work keeps none.
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
