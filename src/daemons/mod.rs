//! The gateway and scheduler daemons: start-up, background tasks, HTTP servers and graceful
//! shutdown.

pub mod call_count;
pub mod calls;
pub mod cancel_body;
pub mod context;
pub mod gateway;
pub mod gateway_http;
pub mod guarded_server;
pub mod host_registry;
pub mod http_reply;
pub mod line_budget;
pub mod log_line;
pub mod log_writer;
pub mod membership;
pub mod observe;
pub mod peer_link;
pub mod peer_registry;
pub mod planner;
pub mod request_path;
pub mod requests;
pub mod scheduler;
pub mod scheduler_http;
pub mod snapshotter;
pub mod worker_controller;
pub mod worker_session;
