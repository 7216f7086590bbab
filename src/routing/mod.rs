//! Requests: verdicts, connections, runner choice, limits and retries.

pub mod admission;
pub mod connection;
pub mod pool;
pub mod retry_budget;
pub mod router;
pub mod runner;
pub mod slots;
pub mod verdict;
