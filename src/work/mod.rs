//! Jobs of steps: tables, the store's streams, the pool's owner and the callers' desk.
//!
//! Facts stand in keyed streams of the platform's store. Every host follows the stream of
//! jobs; one host at a time owns the pool, places tasks and drives the upstreams.

pub mod active_config;
pub mod amount;
mod claim;
pub mod clock;
pub mod config;
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
pub mod stream;
pub mod task_ref;
pub mod upstream;
pub mod victims;
