//! How the store is read and written, and what is known of its health.

pub mod follow;
pub mod group_commit;
pub mod health;
pub mod limits;
pub mod timing;
