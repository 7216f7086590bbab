//! Operators' reports: rows by team, their layout, and the explanation of a job.

pub mod explain;
pub mod layout;
pub mod row;
