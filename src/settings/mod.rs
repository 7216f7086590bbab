//! JSON settings files of the gateway and the scheduler, with one checked type per program.

pub mod gateway;
pub mod load;
pub mod scheduler;
