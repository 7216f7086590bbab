//! Fake servers for the log service, the host list, workers and runners, with fault
//! injection, and a test deployment that runs the real daemons against them on loopback.

pub mod caller;
pub mod condition;
pub mod crowd;
pub mod crowd_shapes;
pub mod deployment_host;
pub mod deployment_plan;
pub mod deployment_signals;
pub mod fault;
pub mod host_list;
pub mod log_service;
pub mod process;
pub mod process_use;
pub mod replay;
pub mod returning_crowd;
pub mod run_invariants;
pub mod runner;
pub mod server;
pub mod test_deployment;
pub mod use_sampler;
pub mod worker;
