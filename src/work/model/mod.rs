//! Entities that the scheduler decides about, and the records in which they are stored.

pub mod amount;
pub mod config;
pub mod crash_record;
pub mod evacuation;
pub mod record;
pub mod spec;
pub mod speed_record;
pub mod stream;
pub mod task_ref;
pub mod term_report;
pub mod upstream;
