//! Election of this host as the pool's owner, and the loop that it runs while it is the owner.
//!
//! The owner renews its ownership with heartbeat records in the jobs stream. It stops when it
//! sees a later term, when the store or an upstream rejects its term, or when no append has been
//! confirmed within the ownership timeout. It releases the pool when its host shuts down or a
//! large host can replace a small one.

mod claim;
mod claimed_term;
mod job_rows;
mod jobs_item;
mod orders;
mod ownership;
mod report_sink;
mod writer;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::work::clock::{host_time, steady_ms};
use crate::work::model::record::WorkRecord;
use crate::work::model::stream::{KeyedValue, StoreFailure, StreamName, StreamRecord};
use crate::work::owner::{PoolOwner, RowBatch};
use crate::work::owner_loop::claim::{claim, owner_record};
use crate::work::owner_loop::claimed_term::ClaimedTerm;
use crate::work::owner_loop::job_rows::JobRows;
use crate::work::owner_loop::jobs_item::JobsItem;
use crate::work::owner_loop::ownership::Ownership;
use crate::work::owner_loop::report_sink::ReportSink;
use crate::work::owner_loop::writer::{ItemOutcome, OwnerWriter};
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::state::context::HostContext;
use crate::work::state::election::should_step_down;
use crate::work::store::follow::StreamFollower;
use crate::work::store::group_commit::PendingRecord;

/// Interval at which a host checks whether it should claim the pool.
const ELECTION_POLL_MS: u64 = 50;
/// Longest interval between two ticks of the owner's loop.
const TICK_INTERVAL_MAX_MS: u64 = 60;
/// Time without another append to the jobs stream after which the owner writes a heartbeat.
const HEARTBEAT_INTERVAL_MS: u64 = 450;
/// Delay after a failed claim of the pool.
const CLAIM_RETRY_MS: u64 = 150;
/// Why a term ends that the store no longer confirms.
const UNCONFIRMED: &str = "no append was confirmed within the ownership timeout";

/// Claims the pool whenever it needs an owner, and runs the owner's loop after a successful
/// claim. Never returns.
pub async fn run_owner_loop<S: StorePort, O: OrderPort, R: RecordReader>(
    context: Rc<HostContext<S, O, R>>,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(ELECTION_POLL_MS)).await;
        if !should_claim(&context) {
            continue;
        }
        match claim(&context).await {
            Ok(claimed) => OwnerLoop::new(&context, claimed).run().await,
            Err(error) => {
                log::info!("owner: claiming the pool failed, retrying later: {error}.");
                tokio::time::sleep(Duration::from_millis(CLAIM_RETRY_MS)).await;
            }
        }
    }
}

/// Returns whether this host should claim the pool now.
fn should_claim<S: StorePort, O, R>(context: &HostContext<S, O, R>) -> bool {
    if !context.is_ready() {
        return false;
    }
    let now_ms = steady_ms();
    let mut election = context.election.borrow_mut();
    election.record_ready(now_ms);
    let allowance_ms = context.store.health(StreamName::Jobs).allowance_ms();
    election.should_claim(
        context.jobs_view.borrow().owner.as_ref(),
        now_ms,
        allowance_ms,
    )
}

/// The loop that one host runs during one term as owner. Clones share its state.
struct OwnerLoop<S, O, R> {
    context: Rc<HostContext<S, O, R>>,
    term: u64,
    /// Offset of the jobs stream at which the term began.
    start_offset: u64,
    ended: Rc<Cell<bool>>,
    recording: Rc<Cell<bool>>,
    ownership: Rc<Ownership>,
    runs: Rc<OwnerWriter>,
    jobs: Rc<OwnerWriter>,
    job_rows: Rc<RefCell<JobRows>>,
    job_wake: Rc<Notify>,
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
            runs: Rc::clone(&self.runs),
            jobs: Rc::clone(&self.jobs),
            job_rows: Rc::clone(&self.job_rows),
            job_wake: Rc::clone(&self.job_wake),
        }
    }
}

impl<S: StorePort, O: OrderPort, R: RecordReader> OwnerLoop<S, O, R> {
    fn new(context: &Rc<HostContext<S, O, R>>, claimed: ClaimedTerm) -> Self {
        let term = claimed.term;
        let timeout_ms = context.identity.timing.ownership_timeout_ms;
        let writer = |stream| {
            Rc::new(OwnerWriter {
                stream,
                term,
                // The claim used sequence number 0.
                next: Cell::new(1),
            })
        };
        Self {
            context: Rc::clone(context),
            term,
            start_offset: context.next_jobs_offset.get(),
            ended: Rc::default(),
            recording: Rc::default(),
            ownership: Rc::new(Ownership::new(claimed, timeout_ms)),
            runs: writer(StreamName::Runs),
            jobs: writer(StreamName::Jobs),
            job_rows: Rc::default(),
            job_wake: Rc::default(),
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
        while !self.ended.get() {
            let pause = tokio::time::sleep(Duration::from_millis(TICK_INTERVAL_MAX_MS));
            tokio::select! {
                () = self.context.owner_wake.notified() => {}
                () = pause => {}
            }
            self.tick();
        }
        metrics::gauge!("hemlockramp_owner").set(0.0);
        self.job_wake.notify_one();
    }

    /// Runs one round of planning, orders and recording, unless the term has ended.
    fn tick(&self) {
        // One reading for all: what is granted below must not be later than what is checked here.
        let now = host_time();
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
        if superseded {
            self.end("an upstream has accepted a higher fencing token");
            return;
        }
        self.record();
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
            finished: Vec::new(),
        });
        self.end(reason);
    }

    fn queue_jobs(&self, more: JobRows) {
        let mut queue = self.job_rows.borrow_mut();
        queue.rows.extend(more.rows);
        queue.finished.extend(more.finished);
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
        });
        self.context.owner_wake.notify_one();
    }

    /// Appends queued records, other hosts' records and heartbeats to the jobs stream until the
    /// term has ended and the queue is empty.
    async fn write_jobs(self) {
        self.context.group_commit.open(self.term);
        loop {
            let mut queued = std::mem::take(&mut *self.job_rows.borrow_mut());
            let pending = self.context.group_commit.take(self.term);
            if queued.is_empty() && pending.is_empty() {
                if self.ended.get() {
                    break;
                }
                let pause = tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
                tokio::select! {
                    () = self.job_wake.notified() => continue,
                    () = self.context.group_commit.wait_for_records() => continue,
                    () = pause => {}
                }
            }
            if queued.rows.is_empty() && !self.ended.get() {
                let record = owner_record(&self.context, self.term, false);
                queued
                    .rows
                    .push(KeyedValue::from(&WorkRecord::Owner(record)));
            }
            if !self.append_jobs(queued.rows, pending).await {
                break;
            }
            let _ = self.with_owner(|owner| owner.drop_rows(queued.finished));
        }
        self.context.group_commit.close(self.term);
    }

    /// Appends the owner's rows and the pending records of callers and other hosts, in one call if
    /// they fit. Returns whether they are stored.
    async fn append_jobs(&self, rows: Vec<KeyedValue>, pending: Vec<PendingRecord>) -> bool {
        let own = rows.into_iter().map(JobsItem::Own);
        let items = own.chain(pending.into_iter().map(JobsItem::Pending));
        let sent_ms = steady_ms();
        let appended = self
            .jobs
            .append_items(&self.context, items.collect(), |item, outcome| {
                self.close_item(item, outcome);
            });
        let Err(stop) = appended.await else {
            self.ownership.confirm(sent_ms);
            return true;
        };
        for item in stop.failed {
            item.fail(stop.failure.clone());
        }
        for item in stop.unsent {
            item.fail(StoreFailure::NotDone(
                "the owner's term has ended".to_owned(),
            ));
        }
        self.end(&stop.failure.to_string());
        false
    }

    /// Ends the wait for a pending record. One that is stored is applied first, without waiting to
    /// read it back.
    fn close_item(&self, item: JobsItem, outcome: ItemOutcome) {
        let JobsItem::Pending(pending) = item else {
            return;
        };
        match outcome {
            ItemOutcome::Stored(offset) => {
                let entry = pending.entry.clone();
                self.context.apply_jobs(&[StreamRecord { offset, entry }]);
                pending.close(Ok(()));
            }
            ItemOutcome::Refused(reason) => pending.close(Err(StoreFailure::Refused(reason))),
        }
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
