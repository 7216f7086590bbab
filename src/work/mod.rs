//! Scheduling of jobs of several steps on a pool of upstreams.
//!
//! All state is kept as records in keyed streams of the platform's store. Every host follows the
//! jobs stream and serves callers. One host at a time owns the pool: it places tasks and sends
//! orders to the upstreams.

pub mod active_config;
pub mod admission;
pub mod amount;
mod claim;
mod claimed_term;
pub mod clock;
pub mod config;
pub mod crash_history;
pub mod crash_record;
pub mod follow;
pub mod group_commit;
pub mod headroom;
pub mod host;
pub mod host_context;
pub mod job_service;
pub mod jobs_view;
pub mod locality_wait;
pub mod owner;
pub mod owner_election;
pub mod owner_loop;
pub mod peers;
pub mod placement;
pub mod ports;
pub mod queue_order;
pub mod record;
pub mod relay;
pub mod slowdown;
pub mod spec;
pub mod store_health;
pub mod store_limits;
pub mod stream;
pub mod task_ref;
pub mod upstream;
pub mod victims;
