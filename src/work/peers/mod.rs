//! Links to peer hosts, and the store calls that they forward.

pub mod links;
pub mod relay;
