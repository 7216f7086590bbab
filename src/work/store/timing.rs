//! Time limits of calls to the store.

/// Timeout of a store call, on top of the call's own wait.
pub const STORE_TIMEOUT_MS: u64 = 900;
/// Long-poll time of a read at the store. It bounds for how long a silently broken connection
/// can hide a change.
pub const READ_WAIT_MS: u64 = 600;
