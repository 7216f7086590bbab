//! Settings files: one checked type a program, read from JSON.

pub mod gateway;
pub mod load;
pub mod scheduler;
