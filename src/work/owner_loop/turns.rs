//! Turns of the owner's loop: a bounded number of answers, then at most one round of decisions, then
//! the tasks that wait for the thread.

use std::time::Duration;

use tokio::task::yield_now;

use crate::work::clock::{host_time, steady_ms};
use crate::work::owner_loop::OwnerLoop;
use crate::work::owner_loop::turn_budget::{APPEND_HOPS, TurnBudget};
use crate::work::owner_loop::turn_meter::TurnRecord;
use crate::work::owner_loop::upstream_answer::{ArrivedAnswer, UpstreamAnswer};
use crate::work::ports::{OrderPort, RecordReader, StorePort};

/// Longest interval between two ticks of the owner's loop.
const TICK_INTERVAL_MAX_MS: u64 = 60;
/// Part of a lease after which an answer to its renewal waits no longer, in percent. The rest is left
/// for the next renewal to reach the upstream.
pub const PUT_OFF_LEASE_PERCENT: u64 = 66;

impl<S: StorePort, O: OrderPort, R: RecordReader> OwnerLoop<S, O, R> {
    /// Takes turns until the term has ended.
    pub(super) async fn take_turns(&self) {
        let mut ticked_ms = 0;
        while !self.ended.get() {
            if self.inbox.borrow().is_empty() {
                self.wait_for_events().await;
            }
            self.take_turn(&mut ticked_ms);
            self.let_others_run().await;
        }
        self.inbox.borrow_mut().clear();
    }

    async fn wait_for_events(&self) {
        let pause = tokio::time::sleep(Duration::from_millis(TICK_INTERVAL_MAX_MS));
        tokio::select! {
            () = self.context.owner_wake.notified() => {}
            () = pause => {}
        }
    }

    /// Handles answers, then ticks. While answers wait, ticks come at intervals only: a tick costs
    /// about the same after one answer as after many.
    fn take_turn(&self, ticked_ms: &mut u64) {
        let began_ms = steady_ms();
        let oldest_answer_ms = self.inbox.borrow().oldest_age_ms(began_ms);
        self.handle_answers(began_ms);
        let answered_ms = steady_ms();
        let waiting = self.inbox.borrow().len();
        if waiting == 0 || answered_ms >= *ticked_ms + TICK_INTERVAL_MAX_MS {
            self.put_off_answers(answered_ms);
            self.tick();
            *ticked_ms = steady_ms();
        }
        let ended_ms = steady_ms();
        self.meter.record_turn(&TurnRecord {
            began_ms,
            answered_ms,
            ended_ms,
            oldest_answer_ms,
            waiting,
        });
        let _ = self.with_owner(|owner| {
            let counts = owner.counts();
            self.meter.summarize(ended_ms, counts, owner.unreconciled());
        });
    }

    fn handle_answers(&self, began_ms: u64) {
        let mut budget = TurnBudget::new(began_ms);
        while budget.take(steady_ms()) {
            let Some(next) = self.inbox.borrow_mut().pop() else {
                break;
            };
            let _ = self.with_owner(|owner| {
                owner.set_answer_time(host_time(), next.arrived_ms);
                next.answer.apply(owner);
            });
        }
    }

    /// Drops the answers to renewals whose leases would end before these are handled, and has the
    /// upstreams asked again.
    fn put_off_answers(&self, now_ms: u64) {
        let lease_ms = self.context.identity.timing.lease_ms;
        let sent_by_ms = now_ms.saturating_sub(lease_ms * PUT_OFF_LEASE_PERCENT / 100);
        let _ = self.with_owner(|owner| {
            let mut inbox = self.inbox.borrow_mut();
            inbox.drop_old(sent_by_ms, |row| match &row.answer {
                UpstreamAnswer::Renewed(order, Ok(reply)) => {
                    owner.set_answer_time(host_time(), row.arrived_ms);
                    owner.put_off_renewal(order, reply)
                }
                _ => false,
            });
        });
    }

    /// Lets the other tasks of the thread and the I/O driver run. While answers wait, an append that
    /// the store has confirmed passes all its hops before the next turn.
    async fn let_others_run(&self) {
        let rounds = match self.inbox.borrow().is_empty() {
            true => 1,
            false => APPEND_HOPS,
        };
        for _ in 0..rounds {
            yield_now().await;
        }
    }

    /// Leaves an answer for the next turns, unless the term has ended.
    pub(super) fn deliver(&self, answer: UpstreamAnswer, sent_ms: u64) {
        if self.ended.get() {
            return;
        }
        self.inbox.borrow_mut().push(ArrivedAnswer {
            answer,
            sent_ms,
            arrived_ms: steady_ms(),
        });
        self.context.owner_wake.notify_one();
    }
}
