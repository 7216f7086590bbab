//! Keeps workers: sends them their orders, renews their leases, records their answers.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::daemons::context::SharedContext;
use crate::daemons::keeper_row::{KeeperRow, LostMark, digest_of, is_due, take_outcome};
use crate::journal::record::{AttemptRef, RecordBody, WorkerRecord};
use crate::journal::writer::AppendOutcome;
use crate::routing::verdict::CallFailure;
use crate::systems::task_orders::{OrderTable, lost_reports, released_reports, task_reports};
use crate::systems::topology::reconcile_hosts;
use crate::tables::job::TaskState;
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;
use crate::tables::worker::WorkerState;
use crate::wire::worker::{SyncRequest, SyncResponse};

/// Answers waiting to be taken up.
const ANSWERS_MAX: usize = 4_096;

struct KeeperAnswer {
    slot: WorkerSlot,
    digest: u64,
    /// Whether orders were sent, rather than a mere renewal.
    ordered: bool,
    answer: Result<SyncResponse, CallFailure>,
}

/// The keeper's own tables.
struct Keeper {
    context: SharedContext,
    rows: Vec<KeeperRow>,
    orders: OrderTable,
    answers: mpsc::Sender<KeeperAnswer>,
    /// When this host last looked after its workers.
    watched: Instant,
    /// Whether the state has changed since the orders were derived.
    stale: bool,
    /// Attempts stopped by the hosts' word alone.
    stopped: Vec<AttemptRef>,
    /// Live hosts when the workers were last divided among them.
    live: Vec<ObjectName>,
    /// When that was.
    divided: Option<Instant>,
    topology: Option<oneshot::Receiver<AppendOutcome>>,
}

/// Keeps workers for ever.
pub async fn run_keeper(context: SharedContext) {
    let (sender, mut answers) = mpsc::channel(ANSWERS_MAX);
    let mut ticks = interval(context.settings.timing.tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut version = context.view.watch_version();
    version.mark_changed();
    let mut keeper = Keeper {
        context,
        rows: Vec::new(),
        orders: OrderTable::default(),
        answers: sender,
        watched: Instant::now(),
        stale: true,
        stopped: Vec::new(),
        live: Vec::new(),
        divided: None,
        topology: None,
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(answer) = answers.recv() => keeper.take_answer(answer),
            Ok(()) = version.changed() => keeper.stale = true,
        }
        keeper.tick();
    }
}

impl Keeper {
    /// Derives the orders anew after a change of the state.
    fn refresh_orders(&mut self) {
        let lost = self.context.lost_without_log();
        if lost == self.stopped && !self.stale {
            return;
        }
        self.stale = false;
        self.stopped = lost;
        let grace_ms = self.context.settings.raw.policy.checkpoint_grace_ms;
        self.orders = OrderTable::derive(&self.context.view.state(), &self.stopped, grace_ms);
        for row in &mut self.rows {
            row.digest = digest_of(self.orders.for_worker(row.slot));
        }
    }

    /// Divides the workers anew when the live hosts changed, and now and then for news
    /// of the workers themselves.
    fn divide_workers(&mut self) {
        let live = self.context.live_hosts();
        let pause = self.context.settings.timing.heartbeat;
        let fresh = self.divided.is_some_and(|at| at.elapsed() < pause);
        if fresh && live == self.live {
            return;
        }
        self.refresh_rows(&live);
        self.report_topology(&live);
        self.live = live;
        self.divided = Some(Instant::now());
    }

    fn tick(&mut self) {
        self.forgive_own_pause();
        if !self.context.is_current() || self.context.hosts.roster().is_none() {
            return;
        }
        let silence = self.context.view.silence().unwrap_or(Duration::MAX);
        if silence > self.context.settings.timing.renew_without_log {
            return;
        }
        self.refresh_orders();
        self.divide_workers();
        self.note_lost();
        for index in 0..self.rows.len() {
            self.keep(index);
        }
    }

    /// After a pause of this host, its workers' silence proves nothing.
    fn forgive_own_pause(&mut self) {
        let pause = self.watched.elapsed();
        self.watched = Instant::now();
        if pause < self.context.settings.timing.worker_timeout {
            return;
        }
        log::warn!("keeper: this host was paused for {} ms.", pause.as_millis());
        for row in &mut self.rows {
            let pending = row.pending.take();
            let digest = row.digest;
            *row = KeeperRow::new(row.slot, row.name.clone());
            row.pending = pending;
            row.digest = digest;
        }
    }

    /// Takes up the workers that the hint gives to this host and drops the others.
    fn refresh_rows(&mut self, live: &[ObjectName]) {
        let state = self.context.view.state();
        // Both the workers and the rows are sorted by place.
        let mut kept = Vec::with_capacity(self.rows.len());
        let mut old: Vec<KeeperRow> = std::mem::take(&mut self.rows);
        for (slot, worker) in state.racks.workers() {
            let idle = worker.state == WorkerState::Gone && self.orders.for_worker(slot).is_empty();
            if idle || !self.context.owns(worker.name.as_str(), live) {
                continue;
            }
            let same = |row: &KeeperRow| row.slot == slot && row.name == worker.name;
            let mut row = match old.binary_search_by_key(&slot, |row| row.slot) {
                Ok(index) if same(&old[index]) => old.remove(index),
                _ => KeeperRow::new(slot, worker.name.clone()),
            };
            row.digest = digest_of(self.orders.for_worker(slot));
            kept.push(row);
        }
        drop(state);
        self.rows = kept;
    }

    /// Records changes of the workers that this host keeps or should keep.
    fn report_topology(&mut self, live: &[ObjectName]) {
        take_outcome(&mut self.topology);
        if self.topology.is_some() {
            return;
        }
        let Some(roster) = self.context.hosts.roster() else {
            return;
        };
        let context = &self.context;
        let own = |worker: &&WorkerRecord| context.owns(worker.name.as_str(), live);
        let listed: Vec<WorkerRecord> = roster.workers.iter().filter(own).cloned().collect();
        let lost_after = context.settings.timing.lost_after;
        let silent = self
            .rows
            .iter()
            .filter(|row| row.heard.elapsed() > lost_after);
        let down: Vec<WorkerSlot> = silent.map(|row| row.slot).collect();
        let records = {
            let state = context.view.state();
            reconcile_hosts(&state, &listed, &down)
        };
        for record in records {
            let RecordBody::Worker(worker) = &record else {
                continue;
            };
            if context.owns(worker.name.as_str(), live) {
                self.topology = self.context.writer.enqueue(record).ok();
            }
        }
    }

    fn keep(&mut self, index: usize) {
        // Leases are renewed whether or not the log settles the last reports.
        if !self.await_reports(index) {
            self.report_lost(index);
            self.release_lost(index);
        }
        self.send_if_due(index);
    }

    /// Tells the peers, by heartbeat, which attempts lost a worker. An attempt stopped
    /// by word alone stays so until the log is back.
    fn note_lost(&self) {
        let lost_after = self.context.settings.timing.lost_after;
        let silent = self
            .rows
            .iter()
            .filter(|row| row.heard.elapsed() > lost_after);
        let orders = silent.flat_map(|row| self.orders.for_worker(row.slot));
        let mut lost: Vec<AttemptRef> = self.stopped.clone();
        lost.extend(orders.map(|order| AttemptRef {
            job: order.job.clone(),
            attempt: order.attempt,
        }));
        lost.sort();
        lost.dedup();
        self.context.set_lost(lost);
    }

    fn report_lost(&mut self, index: usize) {
        let row = &self.rows[index];
        if row.heard.elapsed() > self.context.settings.timing.lost_after {
            let reports = lost_reports(self.orders.for_worker(row.slot));
            self.append_reports(index, reports);
        }
    }

    /// Releases lost tasks once no host can be renewing their leases any more.
    fn release_lost(&mut self, index: usize) {
        let row = &self.rows[index];
        let orders = self.orders.for_worker(row.slot);
        if !orders.iter().any(|order| order.recorded == TaskState::Lost) {
            self.rows[index].lost = None;
            return;
        }
        let offset = self.context.view.state().next_offset;
        let mut mark = row.lost.unwrap_or(LostMark {
            at: Instant::now(),
            offset,
            known_to_all: None,
        });
        if mark.known_to_all.is_none() && self.all_folded(mark.offset) {
            mark.known_to_all = Some(Instant::now());
        }
        let timing = &self.context.settings.timing;
        let lease = timing.lease + timing.lease_margin;
        let told = mark.known_to_all.is_some_and(|at| at.elapsed() > lease);
        // A host that cannot be asked stops by itself after this long without the log.
        let expired = mark.at.elapsed() > timing.renew_without_log + lease;
        let reports = match told || expired {
            true => released_reports(orders),
            false => Vec::new(),
        };
        self.rows[index].lost = Some(mark);
        self.append_reports(index, reports);
    }

    /// Returns whether every other listed entry host has folded all before an offset.
    fn all_folded(&self, offset: u64) -> bool {
        let Some(roster) = self.context.hosts.roster() else {
            return false;
        };
        let others = roster
            .entry
            .iter()
            .filter(|entry| entry.name != *self.context.host());
        others
            .map(|entry| self.context.peers.find(&entry.name))
            .all(|peer| peer.is_some_and(|row| row.heartbeat.folded >= offset))
    }

    fn append_reports(&mut self, index: usize, reports: Vec<crate::journal::record::TaskReport>) {
        if !reports.is_empty() {
            let record = RecordBody::Tasks(reports);
            self.rows[index].pending = self.context.writer.enqueue(record).ok();
        }
    }

    fn send_if_due(&mut self, index: usize) {
        let timing = &self.context.settings.timing;
        let row = &self.rows[index];
        let digest = row.digest;
        let changed = row.confirmed != Some(digest);
        let busy = match changed {
            true => row.ordering,
            false => row.ordering || row.polling,
        };
        if busy || !is_due(row, timing, changed) {
            return;
        }
        let orders = self.orders.for_worker(row.slot);
        let sent: Vec<_> = orders.iter().map(|order| order.order.clone()).collect();
        let request = SyncRequest {
            lease_ms: timing.lease.as_millis() as u64,
            digest,
            orders: changed.then_some(sent),
            seen: row.seen,
            wait_ms: match changed {
                true => 0,
                false => timing.renew.as_millis() as u64,
            },
        };
        self.send(index, request);
    }

    fn send(&mut self, index: usize, request: SyncRequest) {
        let slot = self.rows[index].slot;
        let address = self
            .context
            .view
            .state()
            .racks
            .worker(slot)
            .map(|worker| worker.address);
        let Some(address) = address else { return };
        let row = &mut self.rows[index];
        let ordered = request.orders.is_some();
        match ordered {
            true => row.ordering = true,
            false => row.polling = true,
        }
        row.sent = Some(Instant::now());
        let client = self.context.client.clone();
        let held = Duration::from_millis(request.wait_ms);
        let limit = self.context.settings.timing.worker_timeout + held;
        let answers = self.answers.clone();
        tokio::spawn(async move {
            let url = format!("http://{address}/sync");
            let digest = request.digest;
            let answer = client.post(&url, &request, limit).await;
            let taken = KeeperAnswer {
                slot,
                digest,
                ordered,
                answer,
            };
            let _ = answers.send(taken).await;
        });
    }

    fn take_answer(&mut self, taken: KeeperAnswer) {
        let Ok(index) = self.rows.binary_search_by_key(&taken.slot, |row| row.slot) else {
            return;
        };
        let row = &mut self.rows[index];
        match taken.ordered {
            true => row.ordering = false,
            false => row.polling = false,
        }
        let answer = match taken.answer {
            Ok(answer) => answer,
            Err(failure) => {
                log::debug!("keeper: worker {} gave no answer: {failure}.", row.name);
                row.confirmed = None;
                row.failed = true;
                return;
            }
        };
        row.failed = false;
        row.heard = Instant::now();
        row.seen = answer.version;
        if taken.ordered || !answer.renewed {
            row.confirmed = answer.renewed.then_some(taken.digest);
        }
        if row.pending.is_some() {
            // The next answer tells the same again.
            row.seen = 0;
            return;
        }
        let reports = task_reports(self.orders.for_worker(taken.slot), &answer.tasks);
        self.append_reports(index, reports);
    }

    /// Takes up what became of the last reports; returns whether the log is still awaited.
    fn await_reports(&mut self, index: usize) -> bool {
        let row = &mut self.rows[index];
        let outcome = take_outcome(&mut row.pending);
        if matches!(outcome, Some(AppendOutcome::NotAppended(_))) {
            // Ask the worker for the same once more, at the pace of the renewals.
            row.seen = 0;
        }
        row.pending.is_some()
    }
}
