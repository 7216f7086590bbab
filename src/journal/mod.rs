//! The journal: records, the fold over them, the log client and snapshots.

pub mod client;
pub mod dedup;
pub mod fold;
pub mod fold_job;
pub mod fold_key;
pub mod fold_place;
pub mod fold_task;
pub mod fold_ticket;
pub mod fold_worker;
pub mod record;
pub mod snapshot;
pub mod state;
pub mod tail;
pub mod writer;
