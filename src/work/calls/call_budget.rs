//! How long a host works on a call before it answers.
//!
//! Load: the store is away, and callers come back until their own time is over. Their last calls
//! have little time left, and often arrive just when the store is back. Such a call is served
//! within what is left of its time. Where that is too little for an append, nothing is sent: the
//! caller then knows that nothing was stored.

/// Longest time spent on one call, however long the caller waits, in ms.
const CALL_TIME_MAX_MS: u64 = 1_800;
/// Largest part of the caller's time that is reserved for the answer to travel back, in ms.
const ANSWER_RESERVE_MAX_MS: u64 = 400;
/// The same part of a short time, as its divisor.
const ANSWER_RESERVE_DIVISOR: u64 = 4;
/// Time below which no append is begun, in ms: its answer would come too late.
const APPEND_TIME_MIN_MS: u64 = 10;

/// Returns how long to work on a call whose caller waits for `timeout_ms`, in ms.
pub fn time_budget_ms(timeout_ms: u64) -> u64 {
    let reserve_ms = ANSWER_RESERVE_MAX_MS.min(timeout_ms.div_ceil(ANSWER_RESERVE_DIVISOR));
    (timeout_ms - reserve_ms).min(CALL_TIME_MAX_MS)
}

/// Returns whether an append may be begun that has to be answered within `left_ms`.
pub fn allows_append(left_ms: u64) -> bool {
    left_ms >= APPEND_TIME_MIN_MS
}
