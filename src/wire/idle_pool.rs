//! Idle connections by address, within limits per address and in all.
//!
//! An owner speaks to every upstream of its pool, so that idle connections would otherwise use up
//! the host's descriptors and memory as the pool grows.

use std::net::SocketAddr;

/// Limits of an `IdlePool`, as numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimits {
    /// Largest number for one address.
    pub per_address: usize,
    /// Largest number in all.
    pub total: usize,
}

/// An idle connection of type `C`.
#[derive(Debug)]
struct IdleRow<C> {
    address: SocketAddr,
    /// Position in the order in which connections became idle.
    number: u64,
    connection: C,
}

/// Idle connections of type `C`. Beyond the total, the one that has been idle for longest goes.
#[derive(Debug)]
pub struct IdlePool<C> {
    limits: IdleLimits,
    /// Rows, sorted by address, then by number.
    rows: Vec<IdleRow<C>>,
    next_number: u64,
}

impl<C> IdlePool<C> {
    /// Creates an empty pool.
    pub fn new(limits: IdleLimits) -> Self {
        Self {
            limits,
            rows: Vec::new(),
            next_number: 0,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the pool has no connection.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Removes and returns the connection to an address that became idle last.
    pub fn take(&mut self, address: SocketAddr) -> Option<C> {
        let index = self.range(address).next_back()?;
        Some(self.rows.remove(index).connection)
    }

    /// Adds a connection, unless its address has as many as it may.
    pub fn put(&mut self, address: SocketAddr, connection: C) {
        let same_address = self.range(address);
        if same_address.len() >= self.limits.per_address {
            return;
        }
        let row = IdleRow {
            address,
            number: self.next_number,
            connection,
        };
        self.next_number += 1;
        self.rows.insert(same_address.end, row);
        if self.rows.len() > self.limits.total {
            self.remove_oldest();
        }
    }

    /// Removes all connections to an address.
    pub fn remove_all(&mut self, address: SocketAddr) {
        let same_address = self.range(address);
        self.rows.drain(same_address);
    }

    fn remove_oldest(&mut self) {
        let numbered = self.rows.iter().enumerate();
        if let Some((oldest, _)) = numbered.min_by_key(|(_, row)| row.number) {
            self.rows.remove(oldest);
        }
    }

    fn range(&self, address: SocketAddr) -> std::ops::Range<usize> {
        let start = self.rows.partition_point(|row| row.address < address);
        let end = self.rows.partition_point(|row| row.address <= address);
        start..end
    }
}
