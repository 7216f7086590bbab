//! Scheduling of jobs of several steps on a pool of upstreams.
//!
//! All state is kept as records in keyed streams of the platform's store. Every host follows the
//! jobs stream and serves callers. One host at a time owns the pool: it places tasks and sends
//! orders to the upstreams.

pub mod active_config;
pub mod amount;
mod claim;
pub mod clock;
pub mod config;
pub mod displace;
pub mod follow;
pub mod group_commit;
pub mod headroom;
pub mod host;
pub mod host_context;
pub mod job_service;
pub mod jobs_view;
pub mod order;
pub mod owner;
pub mod owner_loop;
pub mod pace;
pub mod patience;
pub mod peers;
pub mod place;
pub mod ports;
pub mod record;
pub mod relay;
pub mod spec;
pub mod store_health;
pub mod stream;
pub mod succession;
pub mod task_ref;
pub mod upstream;
