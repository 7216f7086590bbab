//! Command lines of the programs.

pub mod daemon;
pub mod operator;
pub mod programs;
pub mod render;
