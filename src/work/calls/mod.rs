//! Callers' requests: admission, submission, status and cancellation.

pub mod admission;
pub mod call;
pub mod call_budget;
pub mod job_service;
