//! Election of this host as the pool's owner, and the loop that it runs while it is the owner.
//!
//! The owner renews its ownership with heartbeat records in the jobs stream. It stops when it
//! sees a later term, when the store or an upstream rejects its term, or when no append has been
//! confirmed within the ownership timeout. It releases the pool when its host shuts down or a
//! large host can replace a small one.

pub mod answer_inbox;
mod candidacy;
mod claim;
mod claimed_term;
mod job_rows;
mod job_writer;
mod jobs_item;
mod orders;
mod ownership;
mod report_sink;
pub mod turn_budget;
mod turn_meter;
pub mod turns;
pub mod upstream_answer;
mod writer;

pub use candidacy::run_owner_loop;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::work::clock::{host_time, steady_ms};
use crate::work::model::record::WorkRecord;
use crate::work::model::stream::{KeyedValue, StreamName};
use crate::work::owner::{PoolOwner, RowBatch};
use crate::work::owner_loop::answer_inbox::AnswerInbox;
use crate::work::owner_loop::claim::owner_record;
use crate::work::owner_loop::claimed_term::ClaimedTerm;
use crate::work::owner_loop::job_rows::JobRows;
use crate::work::owner_loop::ownership::Ownership;
use crate::work::owner_loop::report_sink::ReportSink;
use crate::work::owner_loop::turn_meter::TurnMeter;
use crate::work::owner_loop::writer::{ItemOutcome, OwnerWriter};
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::state::context::HostContext;
use crate::work::state::election::should_step_down;
use crate::work::store::follow::StreamFollower;

/// Interval at which the owner removes old jobs, in ms.
const REMOVAL_INTERVAL_MS: u64 = 1_000;
/// Why a term ends that the store no longer confirms.
const UNCONFIRMED: &str = "no append was confirmed within the ownership timeout";

/// The loop that one host runs during one term as owner. Clones share its state.
struct OwnerLoop<S, O, R> {
    context: Rc<HostContext<S, O, R>>,
    term: u64,
    /// Offset of the jobs stream at which the term began.
    start_offset: u64,
    ended: Rc<Cell<bool>>,
    recording: Rc<Cell<bool>>,
    ownership: Rc<Ownership>,
    inbox: Rc<RefCell<AnswerInbox>>,
    runs: Rc<OwnerWriter>,
    jobs: Rc<OwnerWriter>,
    job_rows: Rc<RefCell<JobRows>>,
    job_wake: Rc<Notify>,
    /// When old jobs are removed next, steady ms.
    next_removal_ms: Rc<Cell<u64>>,
    meter: Rc<TurnMeter>,
}

impl<S, O, R> Clone for OwnerLoop<S, O, R> {
    fn clone(&self) -> Self {
        Self {
            context: Rc::clone(&self.context),
            term: self.term,
            start_offset: self.start_offset,
            ended: Rc::clone(&self.ended),
            recording: Rc::clone(&self.recording),
            ownership: Rc::clone(&self.ownership),
            inbox: Rc::clone(&self.inbox),
            runs: Rc::clone(&self.runs),
            jobs: Rc::clone(&self.jobs),
            job_rows: Rc::clone(&self.job_rows),
            job_wake: Rc::clone(&self.job_wake),
            next_removal_ms: Rc::clone(&self.next_removal_ms),
            meter: Rc::clone(&self.meter),
        }
    }
}

impl<S: StorePort, O: OrderPort, R: RecordReader> OwnerLoop<S, O, R> {
    fn new(context: &Rc<HostContext<S, O, R>>, claimed: ClaimedTerm) -> Self {
        let term = claimed.term;
        let timeout_ms = context.identity.timing.ownership_timeout_ms;
        let writer = |stream, next| Rc::new(OwnerWriter::new(stream, term, next));
        Self {
            context: Rc::clone(context),
            term,
            start_offset: context.next_jobs_offset.get(),
            ended: Rc::default(),
            recording: Rc::default(),
            ownership: Rc::new(Ownership::new(claimed, timeout_ms)),
            inbox: Rc::default(),
            // The fence used sequence number 0.
            runs: writer(StreamName::Runs, 1),
            jobs: writer(StreamName::Jobs, claimed.next_jobs_sequence),
            job_rows: Rc::default(),
            job_wake: Rc::default(),
            next_removal_ms: Rc::default(),
            meter: Rc::new(TurnMeter::new(term, steady_ms())),
        }
    }

    async fn run(self) {
        if self.ownership.has_run_out(steady_ms()) {
            self.end(UNCONFIRMED);
        } else {
            self.act().await;
        }
        *self.context.owner.borrow_mut() = None;
    }

    /// Acts as the owner until the term has ended.
    async fn act(&self) {
        metrics::gauge!("hemlockramp_owner").set(1.0);
        let sink = ReportSink {
            owner_loop: self.clone(),
            listing: None,
        };
        let store = self.context.store.clone();
        tokio::task::spawn_local(StreamFollower::new(store, StreamName::Upstreams, sink).run());
        tokio::task::spawn_local(self.clone().write_jobs());
        self.take_turns().await;
        metrics::gauge!("hemlockramp_owner").set(0.0);
        self.job_wake.notify_one();
    }

    /// Runs one round of planning, orders and recording, unless the term has ended.
    fn tick(&self) {
        // One reading for all: what is granted below must not be later than what is checked here.
        let now = host_time();
        self.context.term_status.turn(now.steady_ms);
        let replaced = {
            let jobs_view = self.context.jobs_view.borrow();
            jobs_view
                .owner
                .as_ref()
                .is_some_and(|row| row.record.term > self.term)
        };
        if replaced || self.ownership.has_run_out(now.steady_ms) {
            self.end(match replaced {
                true => "another host owns the pool under a later term",
                false => UNCONFIRMED,
            });
            return;
        }
        if self.context.draining.get() {
            self.release("this host is shutting down");
            return;
        }
        if self.should_step_down() {
            self.release("a larger host is available");
            return;
        }
        let orders = self.with_owner(|owner| {
            owner.tick(now);
            (owner.take_orders(), owner.is_superseded())
        });
        let Some((orders, superseded)) = orders else {
            return;
        };
        self.send_orders(orders);
        self.remove_old_jobs(now.steady_ms);
        if superseded {
            self.end("an upstream has accepted a higher fencing token");
            return;
        }
        self.record();
    }

    /// Removes the jobs that callers have had time to ask for, at intervals.
    fn remove_old_jobs(&self, now_ms: u64) {
        if now_ms < self.next_removal_ms.get() {
            return;
        }
        self.next_removal_ms.set(now_ms + REMOVAL_INTERVAL_MS);
        let retention_ms = self.context.identity.retention_ms;
        let removals = self.with_owner(|owner| {
            let mut jobs_view = self.context.jobs_view.borrow_mut();
            jobs_view.set_time(now_ms);
            let (rows, ids) = jobs_view.take_removals(retention_ms, |id| owner.holds(id));
            owner.forget_ended(&ids);
            (rows, ids.len())
        });
        let Some((rows, count)) = removals.filter(|(rows, _)| !rows.is_empty()) else {
            return;
        };
        log::debug!(jobs = count, rows = rows.len(); "owner: jobs that ended long ago are removed.");
        metrics::counter!("hemlockramp_jobs_removed_total").increment(count as u64);
        self.queue_jobs(JobRows {
            rows,
            ..JobRows::default()
        });
    }

    fn should_step_down(&self) -> bool {
        let hosts = &self.context.jobs_view.borrow().hosts;
        should_step_down(self.context.identity.large, hosts, self.start_offset)
    }

    fn with_owner<T>(&self, act: impl FnOnce(&mut PoolOwner) -> T) -> Option<T> {
        let mut owner = self.context.owner.borrow_mut();
        let owner = owner.as_mut().filter(|owner| owner.term() == self.term)?;
        Some(act(owner))
    }

    fn end(&self, reason: &str) {
        log::warn!(term = self.term; "owner: this host no longer owns the pool: {reason}.");
        self.ended.set(true);
        self.context.owner_wake.notify_one();
    }

    /// Releases the pool, unless an append to the runs stream is in flight; a later tick then
    /// tries again.
    fn release(&self, reason: &str) {
        if self.recording.get() {
            return;
        }
        let record = owner_record(&self.context, self.term, true);
        self.queue_jobs(JobRows {
            rows: vec![KeyedValue::from(&WorkRecord::Owner(record))],
            ..JobRows::default()
        });
        self.end(reason);
    }

    fn queue_jobs(&self, more: JobRows) {
        let mut queue = self.job_rows.borrow_mut();
        queue.rows.extend(more.rows);
        queue.finished.extend(more.finished);
        queue.ended.extend(more.ended);
        if !queue.is_empty() {
            self.job_wake.notify_one();
        }
    }

    /// Starts to append the next batch, unless one is in flight.
    fn record(&self) {
        if self.recording.get() {
            return;
        }
        if let Some(batch) = self.with_owner(PoolOwner::take_batch).flatten() {
            self.recording.set(true);
            tokio::task::spawn_local(self.clone().record_batch(batch));
        }
    }

    async fn record_batch(self, batch: RowBatch) {
        let mut refused = Vec::new();
        if !batch.runs.is_empty() {
            let sent_ms = steady_ms();
            let appended = self
                .runs
                .append_items(&self.context, batch.runs, |row, outcome| {
                    if let ItemOutcome::Refused(_) = outcome {
                        refused.push(row.key);
                    }
                });
            if let Err(stop) = appended.await {
                self.end(&stop.failure.to_string());
                return;
            }
            self.ownership.confirm(sent_ms);
            self.context.term_status.confirm(sent_ms);
            let took_ms = steady_ms().saturating_sub(sent_ms);
            self.meter.record_append(StreamName::Runs, took_ms);
        }
        let _ = self.with_owner(|owner| {
            owner.set_time(host_time());
            owner.on_rows_refused(&refused);
            owner.on_durable(batch.number);
        });
        self.recording.set(false);
        self.queue_jobs(JobRows {
            rows: batch.jobs,
            finished: batch.finished,
            ended: batch.ended,
        });
        self.context.owner_wake.notify_one();
    }

    fn update_owner(&self, act: impl FnOnce(&mut PoolOwner)) {
        let updated = self.with_owner(|owner| {
            owner.set_time(host_time());
            act(owner);
        });
        if updated.is_some() {
            self.context.owner_wake.notify_one();
        }
    }
}
