//! Pure decisions on who starts, waits or is displaced when there is too little room.

pub mod delay_cost;
pub mod fair_share;
pub mod queue_order;
pub mod room_choice;
pub mod victims;
