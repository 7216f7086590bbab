//! Becoming the pool's owner, and the loop that an owner runs.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::tables::name::ObjectName;
use crate::work::claim::{claim, owner_fact, stamp};
use crate::work::fact::WorkFact;
use crate::work::follow::{StreamFollower, StreamSink};
use crate::work::host_parts::{HostParts, host_time, steady_ms};
use crate::work::intake::IntakeRow;
use crate::work::owner::{PoolOwner, RowBatch, UpstreamOrder};
use crate::work::owner_election::should_step_down;
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::stream::{
    KeyedValue, StoreCall, StoreFailure, StoreReply, StreamName, StreamRecord,
};

/// Time between two looks at whether an owner is wanted, in ms.
const WATCH_MS: u64 = 50;
/// Longest time between two rounds of the owner's loop, in ms.
const ROUND_MS: u64 = 60;
/// Time without another record after which the owner gives a sign of life, in ms.
const SIGN_MS: u64 = 450;
/// Pause before an append that got no answer is tried again, in ms.
const APPEND_RETRY_MS: u64 = 50;
/// Pause before a host whose try failed tries again, in ms.
const CLAIM_RETRY_MS: u64 = 150;
/// Pause between two reads of the upstreams' reports, in ms.
const REPORTS_PAUSE_MS: u64 = 400;

/// Tries to become the owner whenever one is wanted, and acts as one; for ever.
pub async fn run_owner_loop<S: StorePort, O: OrderPort, R: RecordReader>(
    parts: Rc<HostParts<S, O, R>>,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(WATCH_MS)).await;
        if !is_wanted(&parts) {
            continue;
        }
        match claim(&parts).await {
            Ok(term) => OwnerRun::new(&parts, term).run().await,
            Err(error) => {
                log::info!("owner: not taken over: {error}.");
                tokio::time::sleep(Duration::from_millis(CLAIM_RETRY_MS)).await;
            }
        }
    }
}

/// Returns whether this host should try to own the pool now.
fn is_wanted<S: StorePort, O, R>(parts: &HostParts<S, O, R>) -> bool {
    if !parts.is_ready() {
        return false;
    }
    let now_ms = steady_ms();
    let mut election = parts.election.borrow_mut();
    election.record_ready(now_ms);
    let allowance_ms = parts.store.health().allowance_ms();
    election.should_claim(parts.table.borrow().owner.as_ref(), now_ms, allowance_ms)
}

/// Appends of the owner to one stream, in order.
struct OwnerWriter {
    stream: StreamName,
    term: u64,
    next: Cell<u64>,
}

impl OwnerWriter {
    /// Appends until it is done, or until another owner is seen; unknown if a try before that
    /// may have been carried out.
    async fn append<S: StorePort, O, R>(
        &self,
        parts: &HostParts<S, O, R>,
        entries: Vec<KeyedValue>,
    ) -> Result<StoreReply, StoreFailure> {
        let call = StoreCall::Append {
            stream: self.stream,
            entries,
            stamp: Some(stamp(self.term, self.next.get())),
            expected_end: None,
        };
        let mut unsure = false;
        loop {
            match parts.call_store(&call).await {
                Err(failure) if failure.is_transient() => {
                    log::debug!(failure:% = failure; "owner: rows are not recorded yet.");
                    unsure |= matches!(failure, StoreFailure::Unknown(_));
                    tokio::time::sleep(Duration::from_millis(APPEND_RETRY_MS)).await;
                }
                // An earlier try may have been carried out before the other owner came.
                Err(failure) if unsure => return Err(StoreFailure::Unknown(failure.to_string())),
                other => {
                    self.next.set(self.next.get() + 1);
                    return other;
                }
            }
        }
    }
}

/// Rows for the stream of jobs, and jobs whose rows of runs may go after them.
#[derive(Debug, Default)]
struct JobRows {
    rows: Vec<KeyedValue>,
    finished: Vec<ObjectName>,
}

impl JobRows {
    fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.finished.is_empty()
    }
}

/// One host's time as owner.
struct OwnerRun<S, O, R> {
    parts: Rc<HostParts<S, O, R>>,
    term: u64,
    /// Offset of the stream of jobs at which its time began.
    since: u64,
    ended: Rc<Cell<bool>>,
    recording: Rc<Cell<bool>>,
    /// When the last append that was accepted was sent, steady ms.
    proved_ms: Rc<Cell<u64>>,
    runs: Rc<OwnerWriter>,
    jobs: Rc<OwnerWriter>,
    job_rows: Rc<RefCell<JobRows>>,
    job_wake: Rc<Notify>,
}

impl<S, O, R> Clone for OwnerRun<S, O, R> {
    fn clone(&self) -> Self {
        Self {
            parts: Rc::clone(&self.parts),
            term: self.term,
            since: self.since,
            ended: Rc::clone(&self.ended),
            recording: Rc::clone(&self.recording),
            proved_ms: Rc::clone(&self.proved_ms),
            runs: Rc::clone(&self.runs),
            jobs: Rc::clone(&self.jobs),
            job_rows: Rc::clone(&self.job_rows),
            job_wake: Rc::clone(&self.job_wake),
        }
    }
}

impl<S: StorePort, O: OrderPort, R: RecordReader> OwnerRun<S, O, R> {
    fn new(parts: &Rc<HostParts<S, O, R>>, term: u64) -> Self {
        let writer = |stream| {
            Rc::new(OwnerWriter {
                stream,
                term,
                // The claim was the first.
                next: Cell::new(1),
            })
        };
        Self {
            parts: Rc::clone(parts),
            term,
            since: parts.position.get(),
            ended: Rc::default(),
            recording: Rc::default(),
            proved_ms: Rc::new(Cell::new(steady_ms())),
            runs: writer(StreamName::Runs),
            jobs: writer(StreamName::Jobs),
            job_rows: Rc::default(),
            job_wake: Rc::default(),
        }
    }

    async fn run(self) {
        metrics::gauge!("hemlockramp_owner").set(1.0);
        let sink = ReportSink {
            run: self.clone(),
            listing: None,
        };
        let store = self.parts.store.clone();
        tokio::task::spawn_local(StreamFollower::new(store, StreamName::Upstreams, sink).run());
        tokio::task::spawn_local(self.clone().write_jobs());
        while !self.ended.get() {
            let pause = tokio::time::sleep(Duration::from_millis(ROUND_MS));
            tokio::select! {
                () = self.parts.wake.notified() => {}
                () = pause => {}
            }
            self.round();
        }
        metrics::gauge!("hemlockramp_owner").set(0.0);
        self.job_wake.notify_one();
        *self.parts.owner.borrow_mut() = None;
    }

    /// Does what is due, unless another host has taken over.
    fn round(&self) {
        let replaced = {
            let table = self.parts.table.borrow();
            table
                .owner
                .as_ref()
                .is_some_and(|row| row.fact.term > self.term)
        };
        let ownership_timeout_ms = self.parts.identity.timing.ownership_timeout_ms;
        let unproved = steady_ms().saturating_sub(self.proved_ms.get()) > ownership_timeout_ms;
        if replaced || unproved {
            self.end(match replaced {
                true => "another host has taken over",
                false => "the store has not been reached for too long",
            });
            return;
        }
        if self.parts.draining.get() {
            self.release("it shuts down");
            return;
        }
        if self.should_step_down() {
            self.release("a larger host has come");
            return;
        }
        let orders = self.with_owner(|owner| {
            owner.tick(host_time());
            (owner.take_orders(), owner.is_superseded())
        });
        let Some((orders, superseded)) = orders else {
            return;
        };
        for order in orders {
            tokio::task::spawn_local(self.clone().carry_out(order));
        }
        if superseded {
            self.end("an upstream obeys another host");
            return;
        }
        self.record();
    }

    fn should_step_down(&self) -> bool {
        let hosts = &self.parts.table.borrow().hosts;
        should_step_down(self.parts.identity.large, hosts, self.since)
    }

    fn with_owner<T>(&self, act: impl FnOnce(&mut PoolOwner) -> T) -> Option<T> {
        let mut owner = self.parts.owner.borrow_mut();
        let owner = owner.as_mut().filter(|owner| owner.term() == self.term)?;
        Some(act(owner))
    }

    fn end(&self, reason: &str) {
        log::warn!(term = self.term; "owner: this host no longer owns the pool: {reason}.");
        self.ended.set(true);
        self.parts.wake.notify_one();
    }

    /// Gives the pool up, once what is being recorded is recorded.
    fn release(&self, reason: &str) {
        if self.recording.get() {
            return;
        }
        let fact = owner_fact(&self.parts, self.term, true);
        self.queue_jobs(JobRows {
            rows: vec![KeyedValue::from(&WorkFact::Owner(fact))],
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

    /// Starts to record the next batch, one at a time.
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
        if !batch.runs.is_empty() {
            let sent_ms = steady_ms();
            if let Err(failure) = self.runs.append(&self.parts, batch.runs).await {
                self.end(&failure.to_string());
                return;
            }
            self.proved_ms.set(sent_ms.max(self.proved_ms.get()));
        }
        let _ = self.with_owner(|owner| {
            owner.set_time(host_time());
            owner.on_durable(batch.number);
        });
        self.recording.set(false);
        self.queue_jobs(JobRows {
            rows: batch.jobs,
            finished: batch.finished,
        });
        self.parts.wake.notify_one();
    }

    /// Writes phases and signs of life until the run ends and all is written.
    async fn write_jobs(self) {
        self.parts.intake.open(self.term);
        loop {
            let mut queued = std::mem::take(&mut *self.job_rows.borrow_mut());
            let taken = self.parts.intake.take(self.term);
            if queued.is_empty() && taken.is_empty() {
                if self.ended.get() {
                    break;
                }
                let pause = tokio::time::sleep(Duration::from_millis(SIGN_MS));
                tokio::select! {
                    () = self.job_wake.notified() => continue,
                    () = self.parts.intake.waiting() => continue,
                    () = pause => {}
                }
            }
            if queued.rows.is_empty() && !self.ended.get() {
                let fact = owner_fact(&self.parts, self.term, false);
                queued.rows.push(KeyedValue::from(&WorkFact::Owner(fact)));
            }
            if !self.append_jobs(queued.rows, taken).await {
                break;
            }
            let _ = self.with_owner(|owner| owner.drop_rows(queued.finished));
        }
        self.parts.intake.close(self.term);
    }

    /// Appends the owner's rows and the facts of other hosts; returns whether they are stored.
    async fn append_jobs(&self, mut rows: Vec<KeyedValue>, taken: Vec<IntakeRow>) -> bool {
        let own = rows.len();
        rows.extend(taken.iter().map(|row| row.entry.clone()));
        let sent_ms = steady_ms();
        match self.jobs.append(&self.parts, rows).await {
            Ok(reply) => {
                self.proved_ms.set(sent_ms.max(self.proved_ms.get()));
                self.take_stored(taken, reply.first + own as u64);
                true
            }
            Err(failure) => {
                for row in taken {
                    row.close(Err(failure.clone()));
                }
                self.end(&failure.to_string());
                false
            }
        }
    }

    /// Takes over facts that this host has stored, without waiting to read them.
    fn take_stored(&self, taken: Vec<IntakeRow>, first: u64) {
        for (offset, row) in (first..).zip(taken) {
            let record = StreamRecord {
                offset,
                entry: row.entry.clone(),
            };
            self.parts.apply_jobs(&[record]);
            row.close(Ok(()));
        }
    }

    async fn carry_out(self, order: UpstreamOrder) {
        match order {
            UpstreamOrder::Start(order) => {
                let outcome = self.parts.orders.start(&order).await;
                self.report(|owner| owner.on_started(&order, outcome));
            }
            UpstreamOrder::Stop(order) => {
                let result = self.parts.orders.stop(&order).await;
                self.report(|owner| owner.on_stopped(&order, result));
            }
            UpstreamOrder::Renew(order) => {
                let result = self.parts.orders.renew(&order).await;
                self.report(|owner| owner.on_renewed(&order, result));
            }
        }
    }

    fn report(&self, act: impl FnOnce(&mut PoolOwner)) {
        let told = self.with_owner(|owner| {
            owner.set_time(host_time());
            act(owner);
        });
        if told.is_some() {
            self.parts.wake.notify_one();
        }
    }
}

/// Takes the upstreams' reports for the owner.
struct ReportSink<S, O, R> {
    run: OwnerRun<S, O, R>,
    /// Names in the listing under way.
    listing: Option<Vec<ObjectName>>,
}

impl<S: StorePort, O: OrderPort, R: RecordReader> ReportSink<S, O, R> {
    fn take_one(&mut self, record: &StreamRecord) {
        let parts = Rc::clone(&self.run.parts);
        if record.entry.value.is_empty() {
            if let Ok(name) = ObjectName::try_from(record.entry.key.as_str()) {
                self.run.report(|owner| owner.on_unlisted(&name));
            }
            return;
        }
        let Some(report) = parts.reader.upstream(&record.entry) else {
            log::debug!(key = record.entry.key.as_str(); "owner: a report cannot be used.");
            return;
        };
        if let Some(listing) = &mut self.listing {
            listing.push(report.name.clone());
        }
        let _ = self.run.with_owner(|owner| {
            owner.set_time(host_time());
            owner.on_report(report);
        });
    }
}

impl<S: StorePort, O: OrderPort, R: RecordReader> StreamSink for ReportSink<S, O, R> {
    fn begin_listing(&mut self) {
        self.listing = Some(Vec::new());
    }

    fn take(&mut self, records: &[StreamRecord]) {
        for record in records {
            self.take_one(record);
        }
    }

    fn end_listing(&mut self) {
        let mut named = self.listing.take().unwrap_or_default();
        named.sort_unstable();
        self.run.report(|owner| {
            for name in owner.listed() {
                if named.binary_search(&name).is_err() {
                    owner.on_unlisted(&name);
                }
            }
        });
    }

    fn answered(&mut self, _asked_ms: u64, _next: u64) {}

    fn pause_ms(&self) -> u64 {
        REPORTS_PAUSE_MS
    }

    fn is_closed(&self) -> bool {
        self.run.ended.get()
    }
}
