//! Appends of the owner to the jobs stream.

use std::time::Duration;

use crate::work::clock::steady_ms;
use crate::work::model::record::{JobRowKind, WorkRecord, removed_row};
use crate::work::model::stream::{KeyedValue, StoreFailure, StreamName, StreamRecord};
use crate::work::owner_loop::OwnerLoop;
use crate::work::owner_loop::claim::owner_record;
use crate::work::owner_loop::jobs_item::JobsItem;
use crate::work::owner_loop::writer::ItemOutcome;
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::store::group_commit::PendingRecord;

/// Time without another append to the jobs stream after which the owner writes a heartbeat.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 450;

impl<S: StorePort, O: OrderPort, R: RecordReader> OwnerLoop<S, O, R> {
    /// Appends queued records, other hosts' records and heartbeats to the jobs stream until the
    /// term has ended and the queue is empty.
    pub(super) async fn write_jobs(self) {
        self.context.group_commit.open(self.term);
        // They go out with the next append, which they do not hasten.
        let mut removals = Vec::new();
        // The end of a claim takes the thread for long, so the first heartbeat goes out at once.
        let mut heartbeat_due = true;
        loop {
            let mut queued = std::mem::take(&mut *self.job_rows.borrow_mut());
            let pending = self.context.group_commit.take(self.term);
            let is_idle = queued.is_empty() && pending.is_empty();
            if is_idle && !std::mem::take(&mut heartbeat_due) {
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
            queued.rows.append(&mut removals);
            if !self.append_jobs(queued.rows, pending).await {
                break;
            }
            let ended = queued.ended.iter();
            removals.extend(ended.map(|id| removed_row(JobRowKind::Job, id)));
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
            self.context.term_status.confirm(sent_ms);
            let took_ms = steady_ms().saturating_sub(sent_ms);
            self.meter.record_append(StreamName::Jobs, took_ms);
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
}
