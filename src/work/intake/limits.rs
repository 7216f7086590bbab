//! Bounds of a host's listeners, derived from the memory and descriptors of its machine.

use std::ops::RangeInclusive;

use eyre::Report;

use crate::settings::load::checked_count;

/// Descriptors of a process that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the sockets for callers, as a divisor. The other half is for upstreams and the store.
const CALLER_SOCKETS_DIVISOR: usize = 2;
/// Share of the sockets for peers' links, as a divisor.
const PEER_SOCKETS_DIVISOR: usize = 8;
/// Share of the sockets for each of the listeners of readiness and metrics, as a divisor.
const PROBE_SOCKETS_DIVISOR: usize = 32;
/// Smallest and largest number of connections to a listener of readiness or metrics.
const PROBE_CONNECTIONS: [usize; 2] = [8, 32];
/// Sockets and pipes of a process for its listeners, its timers and its own calls.
const OWN_SOCKETS: usize = 16;
/// Share of the connections by which evicted ones that are not closed yet may exceed the bound, as
/// a divisor.
const CLOSING_DIVISOR: usize = 8;
/// Share of the sockets for the store calls that callers cause, as a divisor.
const STORE_CALLS_DIVISOR: usize = 16;
/// Smallest and largest number of such calls at a time.
const STORE_CALLS: [usize; 2] = [4, 64];
/// Share of the memory for the buffers of callers' connections, as a divisor.
const CONNECTION_MEMORY_DIVISOR: usize = 6;
/// Share of the memory for what connections in the backlog of a listener have sent, as a divisor.
const BACKLOG_MEMORY_DIVISOR: usize = 8;
/// Smallest and largest number of connections in a backlog.
const BACKLOG: [usize; 2] = [32, 1_024];
/// Share of the memory for callers' bodies, as a divisor.
const BODY_MEMORY_DIVISOR: usize = 10;
/// Share of the memory for peers' messages, as a divisor.
const MESSAGE_MEMORY_DIVISOR: usize = 20;
/// Upper bound of what a connection takes beside its body: its buffers and its state, in bytes.
const CONNECTION_BYTES: usize = 32_768;
/// What a connection may have received and not yet read, in bytes. It counts as memory.
pub const RECEIVE_BUFFER_BYTES: usize = 16_384;
/// Largest head of a request, and largest buffer of a connection, in bytes: header fields of 16 KB
/// and a request line of 8 KB.
pub const HEAD_MAX_BYTES: usize = 24_576;
/// Time within which a client sends the head of a request, in ms. It includes the time for which a
/// connection may be idle before the next request.
pub const HEAD_TIMEOUT_MS: u64 = 20_000;
/// Memory of a machine that names none, in MB.
const MEMORY_DEFAULT_MB: u64 = 256;
/// Descriptors of a machine that names none.
const DESCRIPTORS_DEFAULT: u64 = 4_096;
/// Memory that may be set for a process, in MB.
const MEMORY_MB: RangeInclusive<u64> = 32..=1_048_576;
/// Number of descriptors that may be set for a process.
const DESCRIPTORS: RangeInclusive<u64> = 256..=1_048_576;

/// Returns the memory of a machine whose settings name none, in MB.
pub fn default_memory_mb() -> u64 {
    MEMORY_DEFAULT_MB
}

/// Returns the number of descriptors of a machine whose settings name none.
pub fn default_max_fds() -> u64 {
    DESCRIPTORS_DEFAULT
}

/// Memory and descriptors of the machine that a process runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may have open, those for files included.
    pub descriptors: usize,
}

impl MachineLimits {
    /// Returns the limits of a process with this memory, in MB, and this many descriptors.
    pub fn new(memory_mb: u64, descriptors: u64) -> Self {
        Self {
            memory_bytes: (memory_mb as usize).saturating_mul(1_048_576),
            descriptors: descriptors as usize,
        }
    }

    /// Checks the settings `memory_mb`, in MB, and `max_fds`.
    ///
    /// # Errors
    ///
    /// Names the key that is out of range.
    pub fn checked(memory_mb: u64, descriptors: u64) -> Result<Self, Report> {
        let memory_mb = checked_count("memory_mb", memory_mb, MEMORY_MB)?;
        let descriptors = checked_count("max_fds", descriptors, DESCRIPTORS)?;
        Ok(Self::new(memory_mb, descriptors))
    }

    /// Returns the bounds of the listener that callers use.
    pub fn caller_intake(&self) -> IntakeLimits {
        let by_memory = self.memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        IntakeLimits {
            connections_max: by_memory.min(self.sockets() / CALLER_SOCKETS_DIVISOR),
            held_max_bytes: self.memory_bytes / BODY_MEMORY_DIVISOR,
            backlog: self.backlog(),
        }
    }

    /// Returns the bounds of the listener that peers use.
    pub fn peer_intake(&self) -> IntakeLimits {
        IntakeLimits {
            connections_max: self.sockets() / PEER_SOCKETS_DIVISOR,
            held_max_bytes: self.memory_bytes / MESSAGE_MEMORY_DIVISOR,
            backlog: self.backlog(),
        }
    }

    /// Returns the bounds of a listener of readiness or metrics, which takes no bodies.
    pub fn probe_intake(&self) -> IntakeLimits {
        let [least, most] = PROBE_CONNECTIONS;
        IntakeLimits {
            connections_max: (self.sockets() / PROBE_SOCKETS_DIVISOR).clamp(least, most),
            held_max_bytes: 0,
            backlog: BACKLOG[0] as u32,
        }
    }

    fn backlog(&self) -> u32 {
        let [least, most] = BACKLOG;
        let by_memory = self.memory_bytes / BACKLOG_MEMORY_DIVISOR / RECEIVE_BUFFER_BYTES;
        by_memory.clamp(least, most) as u32
    }

    /// Returns how many calls to the store callers may cause at a time, and the same for peers.
    pub fn store_calls_max(&self) -> usize {
        let [least, most] = STORE_CALLS;
        (self.sockets() / STORE_CALLS_DIVISOR).clamp(least, most)
    }

    /// Returns how many connections that a host has opened may be idle: what its listeners and the
    /// store calls of others leave, less a few sockets of its own.
    pub fn idle_connections_max(&self) -> usize {
        let intakes = [
            self.caller_intake(),
            self.peer_intake(),
            self.probe_intake(),
            self.probe_intake(),
        ];
        let listeners: usize = intakes.iter().map(IntakeLimits::sockets_max).sum();
        let others = listeners + 2 * self.store_calls_max() + OWN_SOCKETS;
        self.sockets().saturating_sub(others)
    }

    /// Returns how many connections to runners a gateway may have open: what its callers leave, less a
    /// few sockets of its own.
    pub fn runner_connections_max(&self) -> usize {
        let others = self.caller_intake().sockets_max() + OWN_SOCKETS;
        self.sockets().saturating_sub(others).max(1)
    }

    fn sockets(&self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self::new(MEMORY_DEFAULT_MB, DESCRIPTORS_DEFAULT)
    }
}

/// Bounds of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Largest number of open connections.
    pub connections_max: usize,
    /// Largest sum of the bodies or messages that are held, in bytes.
    pub held_max_bytes: usize,
    /// Largest number of connections that wait to be accepted.
    pub backlog: u32,
}

impl IntakeLimits {
    /// Returns the largest number of connections, evicted ones that are not closed yet included.
    pub fn sockets_max(&self) -> usize {
        let closing = (self.connections_max / CLOSING_DIVISOR).max(1);
        self.connections_max + closing
    }
}
