//! Pure functions that derive records and task orders from the tables on each tick.

pub mod borrow;
pub mod capacity;
pub mod plan;
pub mod policy;
pub mod preemption;
pub mod queue_order;
pub mod rendezvous;
pub mod task_orders;
pub mod topology;
