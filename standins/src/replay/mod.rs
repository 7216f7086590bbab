//! A replay of job streams through the decision code, over a virtual clock.
//!
//! No hosts and no network: workers obey after fixed delays. It measures the policy.

pub mod engine;
pub mod first_fit;
pub mod measures;
pub mod workload;
