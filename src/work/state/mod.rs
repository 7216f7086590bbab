//! State that all tasks of one host share.

pub mod active_config;
pub mod context;
pub mod election;
pub mod inquiry;
pub mod jobs_view;
pub mod term_status;
