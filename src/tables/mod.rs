//! Entities: the rows that records create and systems run over.

pub mod audit;
pub mod cell;
pub mod job;
pub mod key;
pub mod name;
pub mod rack;
pub mod team;
pub mod ticket;
pub mod worker;
