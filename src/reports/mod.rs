//! Reports for operators: capacity by team, its text layout, and the explanation of a job.

pub mod explain;
pub mod layout;
pub mod row;
