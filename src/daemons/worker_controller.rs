//! Keeps workers: sends them their orders, renews their leases, records their answers.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::daemons::context::SharedContext;
use crate::daemons::worker_session::{
    LossObservation, WorkerSession, digest_of, is_due, poll_outcome,
};
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

/// Log target under which operators filter these messages; the module's former path.
const LOG_TARGET: &str = "hemlockramp::daemons::keeper";

/// Answers waiting to be taken up.
const RESULT_QUEUE_MAX: usize = 4_096;

struct SyncResult {
    slot: WorkerSlot,
    digest: u64,
    /// Whether orders were sent, rather than a mere renewal.
    with_orders: bool,
    response: Result<SyncResponse, CallFailure>,
}

/// The keeper's own tables.
struct WorkerController {
    context: SharedContext,
    sessions: Vec<WorkerSession>,
    orders: OrderTable,
    results: mpsc::Sender<SyncResult>,
    /// When this host last looked after its workers.
    last_tick_at: Instant,
    /// Whether the state has changed since the orders were derived.
    orders_stale: bool,
    /// Attempts stopped by the hosts' word alone.
    stopped_attempts: Vec<AttemptRef>,
    /// Live hosts when the workers were last divided among them.
    live_hosts: Vec<ObjectName>,
    /// When that was.
    assigned_at: Option<Instant>,
    pending_topology: Option<oneshot::Receiver<AppendOutcome>>,
}

/// Keeps workers for ever.
pub async fn run_worker_controller(context: SharedContext) {
    let (sender, mut results) = mpsc::channel(RESULT_QUEUE_MAX);
    let mut ticks = interval(context.settings.timing.tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut version = context.view.watch_version();
    version.mark_changed();
    let mut controller = WorkerController {
        context,
        sessions: Vec::new(),
        orders: OrderTable::default(),
        results: sender,
        last_tick_at: Instant::now(),
        orders_stale: true,
        stopped_attempts: Vec::new(),
        live_hosts: Vec::new(),
        assigned_at: None,
        pending_topology: None,
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(result) = results.recv() => controller.handle_result(result),
            Ok(()) = version.changed() => controller.orders_stale = true,
        }
        controller.tick();
    }
}

impl WorkerController {
    /// Derives the orders anew after a change of the state.
    fn refresh_orders(&mut self) {
        let lost = self.context.lost_without_log();
        if lost == self.stopped_attempts && !self.orders_stale {
            return;
        }
        self.orders_stale = false;
        self.stopped_attempts = lost;
        let grace_ms = self.context.settings.raw.policy.checkpoint_grace_ms;
        self.orders =
            OrderTable::derive(&self.context.view.state(), &self.stopped_attempts, grace_ms);
        for session in &mut self.sessions {
            session.digest = digest_of(self.orders.for_worker(session.slot));
        }
    }

    /// Divides the workers anew when the live hosts changed, and now and then for news
    /// of the workers themselves.
    fn reassign_workers(&mut self) {
        let live_hosts = self.context.live_hosts();
        let pause = self.context.settings.timing.heartbeat;
        let fresh = self.assigned_at.is_some_and(|at| at.elapsed() < pause);
        if fresh && live_hosts == self.live_hosts {
            return;
        }
        self.refresh_sessions(&live_hosts);
        self.report_topology(&live_hosts);
        self.live_hosts = live_hosts;
        self.assigned_at = Some(Instant::now());
    }

    fn tick(&mut self) {
        self.reset_after_pause();
        if !self.context.is_current() || self.context.hosts.roster().is_none() {
            return;
        }
        let silence = self.context.view.time_since_read().unwrap_or(Duration::MAX);
        if silence > self.context.settings.timing.renew_without_log {
            return;
        }
        self.refresh_orders();
        self.reassign_workers();
        self.publish_lost();
        for index in 0..self.sessions.len() {
            self.sync_worker(index);
        }
    }

    /// After a pause of this host, its workers' silence proves nothing.
    fn reset_after_pause(&mut self) {
        let pause = self.last_tick_at.elapsed();
        self.last_tick_at = Instant::now();
        if pause < self.context.settings.timing.worker_timeout {
            return;
        }
        log::warn!(target: LOG_TARGET, "keeper: this host was paused for {} ms.", pause.as_millis());
        for session in &mut self.sessions {
            let pending_reports = session.pending_reports.take();
            let digest = session.digest;
            *session = WorkerSession::new(session.slot, session.name.clone());
            session.pending_reports = pending_reports;
            session.digest = digest;
        }
    }

    /// Takes up the workers that the hint gives to this host and drops the others.
    fn refresh_sessions(&mut self, live_hosts: &[ObjectName]) {
        let state = self.context.view.state();
        // Both the workers and the rows are sorted by place.
        let mut kept = Vec::with_capacity(self.sessions.len());
        let mut old: Vec<WorkerSession> = std::mem::take(&mut self.sessions);
        for (slot, worker) in state.racks.workers() {
            let has_no_work =
                worker.state == WorkerState::Gone && self.orders.for_worker(slot).is_empty();
            if has_no_work || !self.context.owns(worker.name.as_str(), live_hosts) {
                continue;
            }
            let same =
                |session: &WorkerSession| session.slot == slot && session.name == worker.name;
            let mut session = match old.binary_search_by_key(&slot, |session| session.slot) {
                Ok(index) if same(&old[index]) => old.remove(index),
                _ => WorkerSession::new(slot, worker.name.clone()),
            };
            session.digest = digest_of(self.orders.for_worker(slot));
            kept.push(session);
        }
        drop(state);
        self.sessions = kept;
    }

    /// Records changes of the workers that this host keeps or should keep.
    fn report_topology(&mut self, live_hosts: &[ObjectName]) {
        poll_outcome(&mut self.pending_topology);
        if self.pending_topology.is_some() {
            return;
        }
        let Some(roster) = self.context.hosts.roster() else {
            return;
        };
        let context = &self.context;
        let is_owned = |worker: &&WorkerRecord| context.owns(worker.name.as_str(), live_hosts);
        let listed: Vec<WorkerRecord> = roster.workers.iter().filter(is_owned).cloned().collect();
        let lost_after = context.settings.timing.lost_after;
        let silent = self
            .sessions
            .iter()
            .filter(|session| session.last_response_at.elapsed() > lost_after);
        let down: Vec<WorkerSlot> = silent.map(|session| session.slot).collect();
        let records = {
            let state = context.view.state();
            reconcile_hosts(&state, &listed, &down)
        };
        for record in records {
            let RecordBody::Worker(worker) = &record else {
                continue;
            };
            if context.owns(worker.name.as_str(), live_hosts) {
                self.pending_topology = self.context.writer.enqueue(record).ok();
            }
        }
    }

    fn sync_worker(&mut self, index: usize) {
        // Leases are renewed whether or not the log settles the last reports.
        if !self.poll_reports(index) {
            self.report_lost(index);
            self.release_lost(index);
        }
        self.send_if_due(index);
    }

    /// Tells the peers, by heartbeat, which attempts lost a worker. An attempt stopped
    /// by word alone stays so until the log is back.
    fn publish_lost(&self) {
        let lost_after = self.context.settings.timing.lost_after;
        let silent = self
            .sessions
            .iter()
            .filter(|session| session.last_response_at.elapsed() > lost_after);
        let orders = silent.flat_map(|session| self.orders.for_worker(session.slot));
        let mut lost: Vec<AttemptRef> = self.stopped_attempts.clone();
        lost.extend(orders.map(|order| AttemptRef {
            job: order.job.clone(),
            attempt: order.attempt,
        }));
        lost.sort();
        lost.dedup();
        self.context.set_lost(lost);
    }

    fn report_lost(&mut self, index: usize) {
        let session = &self.sessions[index];
        if session.last_response_at.elapsed() > self.context.settings.timing.lost_after {
            let reports = lost_reports(self.orders.for_worker(session.slot));
            self.append_reports(index, reports);
        }
    }

    /// Releases lost tasks once no host can be renewing their leases any more.
    fn release_lost(&mut self, index: usize) {
        let session = &self.sessions[index];
        let orders = self.orders.for_worker(session.slot);
        if !orders.iter().any(|order| order.recorded == TaskState::Lost) {
            self.sessions[index].loss = None;
            return;
        }
        let offset = self.context.view.state().next_offset;
        let mut loss = session.loss.unwrap_or(LossObservation {
            observed_at: Instant::now(),
            offset,
            folded_by_all_at: None,
        });
        if loss.folded_by_all_at.is_none() && self.all_peers_folded(loss.offset) {
            loss.folded_by_all_at = Some(Instant::now());
        }
        let timing = &self.context.settings.timing;
        let lease = timing.lease + timing.lease_margin;
        let folded_long_enough = loss.folded_by_all_at.is_some_and(|at| at.elapsed() > lease);
        // A host that cannot be asked stops by itself after this long without the log.
        let expired = loss.observed_at.elapsed() > timing.renew_without_log + lease;
        let reports = match folded_long_enough || expired {
            true => released_reports(orders),
            false => Vec::new(),
        };
        self.sessions[index].loss = Some(loss);
        self.append_reports(index, reports);
    }

    /// Returns whether every other listed entry host has folded all before an offset.
    fn all_peers_folded(&self, offset: u64) -> bool {
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
            self.sessions[index].pending_reports = self.context.writer.enqueue(record).ok();
        }
    }

    fn send_if_due(&mut self, index: usize) {
        let timing = &self.context.settings.timing;
        let session = &self.sessions[index];
        let digest = session.digest;
        let changed = session.confirmed_digest != Some(digest);
        let busy = match changed {
            true => session.orders_in_flight,
            false => session.orders_in_flight || session.renewal_in_flight,
        };
        if busy || !is_due(session, timing, changed) {
            return;
        }
        let orders = self.orders.for_worker(session.slot);
        let sent: Vec<_> = orders.iter().map(|order| order.order.clone()).collect();
        let request = SyncRequest {
            lease_ms: timing.lease.as_millis() as u64,
            digest,
            orders: changed.then_some(sent),
            seen: session.seen_version,
            wait_ms: match changed {
                true => 0,
                false => timing.renew.as_millis() as u64,
            },
        };
        self.send(index, request);
    }

    fn send(&mut self, index: usize, request: SyncRequest) {
        let slot = self.sessions[index].slot;
        let address = self
            .context
            .view
            .state()
            .racks
            .worker(slot)
            .map(|worker| worker.address);
        let Some(address) = address else { return };
        let session = &mut self.sessions[index];
        let with_orders = request.orders.is_some();
        match with_orders {
            true => session.orders_in_flight = true,
            false => session.renewal_in_flight = true,
        }
        session.last_sent_at = Some(Instant::now());
        let client = self.context.client.clone();
        let held = Duration::from_millis(request.wait_ms);
        let limit = self.context.settings.timing.worker_timeout + held;
        let results = self.results.clone();
        tokio::spawn(async move {
            let url = format!("http://{address}/sync");
            let digest = request.digest;
            let response = client.post(&url, &request, limit).await;
            let result = SyncResult {
                slot,
                digest,
                with_orders,
                response,
            };
            let _ = results.send(result).await;
        });
    }

    fn handle_result(&mut self, result: SyncResult) {
        let Ok(index) = self
            .sessions
            .binary_search_by_key(&result.slot, |session| session.slot)
        else {
            return;
        };
        let session = &mut self.sessions[index];
        match result.with_orders {
            true => session.orders_in_flight = false,
            false => session.renewal_in_flight = false,
        }
        let response = match result.response {
            Ok(response) => response,
            Err(failure) => {
                log::debug!(target: LOG_TARGET, "keeper: worker {} gave no answer: {failure}.", session.name);
                session.confirmed_digest = None;
                session.last_sync_failed = true;
                return;
            }
        };
        session.last_sync_failed = false;
        session.last_response_at = Instant::now();
        session.seen_version = response.version;
        if result.with_orders || !response.renewed {
            session.confirmed_digest = response.renewed.then_some(result.digest);
        }
        if session.pending_reports.is_some() {
            // The next answer tells the same again.
            session.seen_version = 0;
            return;
        }
        let reports = task_reports(self.orders.for_worker(result.slot), &response.tasks);
        self.append_reports(index, reports);
    }

    /// Takes up what became of the last reports; returns whether the log is still awaited.
    fn poll_reports(&mut self, index: usize) -> bool {
        let session = &mut self.sessions[index];
        let outcome = poll_outcome(&mut session.pending_reports);
        if matches!(outcome, Some(AppendOutcome::NotAppended(_))) {
            // Ask the worker for the same once more, at the pace of the renewals.
            session.seen_version = 0;
        }
        session.pending_reports.is_some()
    }
}
