//! Answers of upstreams that wait for the owner's loop.
//!
//! The tasks that exchange orders with upstreams only put the answers here, so that they never keep
//! the thread for long. No answer is refused for want of room: an upstream has at most one renewal in
//! flight, a task's member at most one start or stop, and a run that nobody expects at most one
//! stop for each renewal that lists it.

use std::collections::VecDeque;

use crate::work::owner_loop::upstream_answer::ArrivedAnswer;

/// Answers that wait, by rank and then by arrival.
///
/// The answers of one upstream may change places. That is safe, since each order has a connection of
/// its own and the answers may overtake each other before they arrive.
#[derive(Debug, Default)]
pub struct AnswerInbox {
    rows: VecDeque<ArrivedAnswer>,
}

impl AnswerInbox {
    /// Adds an answer.
    pub fn push(&mut self, answer: ArrivedAnswer) {
        let rank_ms = answer.rank_ms();
        let index = match answer.is_immediate() {
            // If too many wait for all to be handled in time, the newest still are.
            true => 0,
            false => self.rows.partition_point(|row| row.rank_ms() <= rank_ms),
        };
        self.rows.insert(index, answer);
    }

    /// Removes and returns the answer that is to be handled next.
    pub fn pop(&mut self) -> Option<ArrivedAnswer> {
        self.rows.pop_front()
    }

    /// Returns the number of answers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no answer waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the time since the arrival of the oldest answer, in ms; 0 if none waits.
    pub fn oldest_age_ms(&self, now_ms: u64) -> u64 {
        let oldest = self.rows.iter().map(|row| row.arrived_ms).min();
        oldest.map_or(0, |arrived| now_ms.saturating_sub(arrived))
    }

    /// Drops the answers to orders that were sent by then, as far as `may_drop` agrees.
    pub fn drop_old(&mut self, sent_by_ms: u64, mut may_drop: impl FnMut(&ArrivedAnswer) -> bool) {
        self.rows
            .retain(|row| row.sent_ms > sent_by_ms || !may_drop(row));
    }

    /// Drops all answers, as nobody handles them any more.
    pub fn clear(&mut self) {
        self.rows.clear();
    }
}
