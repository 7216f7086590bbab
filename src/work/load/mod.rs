//! Pure decisions on who waits and who is preempted when there is too little room.

pub mod queue_order;
pub mod victims;
