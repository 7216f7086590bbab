//! Wire types of each boundary and the clients that send them.

pub mod api;
pub mod channel_pool;
pub mod http;
pub mod log;
pub mod peer;
pub mod worker;
