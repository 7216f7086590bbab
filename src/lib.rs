//! Scheduler for jobs that need several accelerators, with capacity guarantees per tenant.
//!
//! Every entry host reads the same journal from the platform's log service and folds it into
//! identical tables. `docs/DESIGN.md` describes how the components work together.

pub mod command;
pub mod daemons;
pub mod journal;
pub mod reports;
pub mod routing;
pub mod settings;
pub mod systems;
pub mod tables;
pub mod wire;
pub mod work;
