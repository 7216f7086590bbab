//! Stand-ins for the platform's services, the workers and the runners, with switches
//! for their failures, and a stage that starts whole deployments on loopback.

pub mod caller;
pub mod fault;
pub mod host_list;
pub mod log_service;
pub mod process;
pub mod replay;
pub mod run_invariants;
pub mod runner;
pub mod server;
pub mod stage;
pub mod worker;
