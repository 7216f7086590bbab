//! Discrete-event simulation of generated workloads, to measure the scheduling policy.
//!
//! The real planner and journal fold run over a virtual clock, without hosts or network:
//! simulated workers carry out orders after fixed delays.

pub mod engine;
pub mod first_fit;
pub mod measures;
pub mod workload;
