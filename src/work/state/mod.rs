//! State that all tasks of one host share.

pub mod active_config;
pub mod context;
pub mod election;
pub mod jobs_view;
