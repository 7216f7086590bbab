//! Controls the workers assigned to this host: sends orders, renews leases, and records task
//! states and losses in the journal.

mod losses;

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::daemons::context::SharedContext;
use crate::daemons::worker_session::{WorkerSession, digest_of, is_due, poll_outcome};
use crate::journal::record::{AttemptRef, RecordBody, WorkerRecord};
use crate::journal::writer::AppendOutcome;
use crate::routing::verdict::CallFailure;
use crate::systems::task_orders::{OrderTable, task_reports};
use crate::systems::topology::reconcile_hosts;
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;
use crate::tables::worker::WorkerState;
use crate::wire::worker::{SyncRequest, SyncResponse};

/// Log target under which operators filter these messages; the module's former path.
const LOG_TARGET: &str = "hemlockramp::daemons::keeper";

/// Capacity of the queue of sync results waiting to be processed.
const RESULT_QUEUE_MAX: usize = 4_096;

struct SyncResult {
    slot: WorkerSlot,
    digest: u64,
    /// Whether the request carried orders rather than only a lease renewal.
    with_orders: bool,
    response: Result<SyncResponse, CallFailure>,
}

/// State of the controller task.
struct WorkerController {
    context: SharedContext,
    sessions: Vec<WorkerSession>,
    orders: OrderTable,
    results: mpsc::Sender<SyncResult>,
    /// Time of the last tick, to detect that this host was paused.
    last_tick_at: Instant,
    /// Whether the folded state has changed since the orders were derived.
    orders_stale: bool,
    /// Attempts stopped because live hosts report them lost while the log is silent.
    stopped_attempts: Vec<AttemptRef>,
    /// Live hosts at the last assignment of workers to hosts.
    live_hosts: Vec<ObjectName>,
    /// When the workers were last assigned to hosts.
    assigned_at: Option<Instant>,
    /// Outcome of the last topology record, until it is known.
    pending_topology: Option<oneshot::Receiver<AppendOutcome>>,
}

/// Runs the worker controller; never returns.
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
    /// Derives the orders again if the folded state or the lost attempts have changed.
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

    /// Reassigns the workers when the set of live hosts has changed, and otherwise once per
    /// heartbeat interval, to pick up changes of the workers themselves.
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

    /// Restarts the workers' silence timers after a pause of this host: the silence seen
    /// after it proves nothing about them.
    fn reset_after_pause(&mut self) {
        let pause = self.last_tick_at.elapsed();
        self.last_tick_at = Instant::now();
        if pause < self.context.settings.timing.worker_timeout {
            return;
        }
        log::warn!(
            target: LOG_TARGET,
            "keeper: this host was paused for {} ms; its workers' silence timers are reset.",
            pause.as_millis()
        );
        for session in &mut self.sessions {
            let pending_reports = session.pending_reports.take();
            let digest = session.digest;
            *session = WorkerSession::new(session.slot, session.name.clone());
            session.pending_reports = pending_reports;
            session.digest = digest;
        }
    }

    /// Opens sessions for the workers that rendezvous hashing assigns to this host and drops the
    /// others.
    fn refresh_sessions(&mut self, live_hosts: &[ObjectName]) {
        let state = self.context.view.state();
        // Both the workers and the sessions are sorted by slot.
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

    /// Records changes of the workers assigned to this host, once the last such record is settled.
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
        // Leases are renewed even while the log has not settled the last reports.
        if !self.poll_reports(index) {
            self.report_lost(index);
            self.release_lost(index);
        }
        self.send_if_due(index);
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
                log::debug!(
                    target: LOG_TARGET,
                    "keeper: sync with worker {} failed and is retried: {failure}.",
                    session.name
                );
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
            // The task states are skipped; version 0 makes the worker send them again.
            session.seen_version = 0;
            return;
        }
        let reports = task_reports(self.orders.for_worker(result.slot), &response.tasks);
        self.append_reports(index, reports);
    }

    /// Polls the append of the last reports; returns whether its outcome is still pending.
    fn poll_reports(&mut self, index: usize) -> bool {
        let session = &mut self.sessions[index];
        let outcome = poll_outcome(&mut session.pending_reports);
        if matches!(outcome, Some(AppendOutcome::NotAppended(_))) {
            // Version 0 makes the worker send its states again, at the renewal interval.
            session.seen_version = 0;
        }
        session.pending_reports.is_some()
    }
}
