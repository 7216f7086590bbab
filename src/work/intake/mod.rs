//! Bounds on what clients may take of a host: connections, heads and the bytes of bodies.
//!
//! `limits` derives the bounds from the machine's memory and descriptors, and `ledger` decides who
//! is admitted and who gives way; both are pure. `gate`, `listener` and `body` apply the decisions
//! to real connections.

pub mod answer;
pub mod body;
pub mod gate;
pub mod ledger;
pub mod limits;
pub mod listener;
pub mod metered;
pub mod parse_room;
pub mod reply_queue;
