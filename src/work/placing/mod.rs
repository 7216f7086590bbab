//! Pure decisions on where units run.

pub mod headroom;
pub mod locality_wait;
pub mod placement;
pub mod ranking;
pub mod remaining;
pub mod sibling_counts;
pub mod slowdown;
pub mod speed;
