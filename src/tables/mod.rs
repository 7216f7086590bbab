//! Tables of the folded state: rows that journal records create and that the planner reads.

pub mod audit;
pub mod cell;
pub mod job;
pub mod key;
pub mod name;
pub mod rack;
pub mod team;
pub mod ticket;
pub mod worker;
