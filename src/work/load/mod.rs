//! Pure decisions on who waits and who is preempted when there is too little room, and
//! on work whose upstreams leave.

pub mod departure;
pub mod queue_order;
pub mod victims;
