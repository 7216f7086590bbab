//! Systems: pure functions that run over the tables each tick and return records.

pub mod borrow;
pub mod capacity;
pub mod claim;
pub mod keep;
pub mod order;
pub mod owner;
pub mod plan;
pub mod policy;
pub mod topology;
