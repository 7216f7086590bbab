//! Command lines of the two daemons and of the operator tool.

pub mod daemon;
pub mod operator;
pub mod programs;
pub mod render;
