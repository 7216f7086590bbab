//! Types exchanged between processes, and the HTTP clients that send them.

pub mod api;
pub mod http;
pub mod idle_pool;
pub mod local_http;
pub mod log;
pub mod peer;
pub mod worker;
