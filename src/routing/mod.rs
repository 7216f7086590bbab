//! Requests: verdicts, connections, runner choice, limits and retries.

pub mod admit;
pub mod connection;
pub mod pool;
pub mod retry;
pub mod router;
pub mod runner;
pub mod slots;
pub mod verdict;
