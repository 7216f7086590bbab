//! Scheduling of jobs of several steps on a pool of upstreams.
//!
//! All state is kept as records in keyed streams of the platform's store. Every host follows the
//! jobs stream and serves callers. One host at a time owns the pool: it places tasks and sends
//! orders to the upstreams.

pub mod calls;
pub mod clock;
pub mod host;
pub mod intake;
pub mod load;
pub mod model;
pub mod owner;
pub mod owner_loop;
pub mod peers;
pub mod placing;
pub mod ports;
pub mod state;
pub mod store;
