//! Pure decisions on who starts, waits or is displaced when there is too little room, and on work
//! whose upstreams leave.

pub mod delay_cost;
pub mod departure;
pub mod fair_share;
pub mod queue_order;
pub mod room_choice;
pub mod victims;
