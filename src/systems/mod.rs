//! Systems: pure functions that run over the tables each tick and return records.

pub mod borrow;
pub mod capacity;
pub mod plan;
pub mod policy;
pub mod preemption;
pub mod queue_order;
pub mod rendezvous;
pub mod task_orders;
pub mod topology;
