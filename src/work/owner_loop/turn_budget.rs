//! Bounds on the answers that the owner's loop handles in one turn.

use crate::work::owner_loop::job_writer::HEARTBEAT_INTERVAL_MS;

/// Times that an append waits for the thread: for the writer, for the connection to send it, for the
/// connection to read the confirmation, and for the writer again.
pub(super) const APPEND_HOPS: u64 = 4;
/// Part of the heartbeat interval by which turns may delay a heartbeat, as a divisor.
const HEARTBEAT_DELAY_DIVISOR: u64 = 5;
/// Time after which a turn handles no further answer, in ms.
pub const TURN_ANSWERS_MAX_MS: u64 =
    HEARTBEAT_INTERVAL_MS / (HEARTBEAT_DELAY_DIVISOR * APPEND_HOPS);
/// Largest number of answers in a turn, however quickly they are handled.
pub const TURN_ANSWERS_MAX: usize = 128;

/// What is left of a turn.
#[derive(Clone, Copy, Debug)]
pub struct TurnBudget {
    until_ms: u64,
    answers: usize,
}

impl TurnBudget {
    /// Creates the budget of a turn that begins now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            until_ms: now_ms + TURN_ANSWERS_MAX_MS,
            answers: TURN_ANSWERS_MAX,
        }
    }

    /// Takes one answer from the budget. Returns whether it may still be handled.
    pub fn take(&mut self, now_ms: u64) -> bool {
        if self.answers == 0 || now_ms >= self.until_ms {
            return false;
        }
        self.answers -= 1;
        true
    }
}
