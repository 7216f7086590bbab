//! Wire types of each boundary and the clients that send them.

pub mod api;
pub mod http;
pub mod local_http;
pub mod log;
pub mod peer;
pub mod worker;
