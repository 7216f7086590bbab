//! A scheduler for multi-accelerator jobs under tenant guarantees.
//!
//! Every entry host reads one journal from the platform's log service and folds it
//! into the same tables. `docs/DESIGN.md` says how the parts fit.

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
