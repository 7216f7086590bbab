//! Tasks on workers that do not respond: publishes, reports and releases them.

use tokio::time::Instant;

use crate::daemons::worker_controller::WorkerController;
use crate::daemons::worker_session::LossObservation;
use crate::journal::record::AttemptRef;
use crate::systems::task_orders::{lost_reports, released_reports};
use crate::tables::job::TaskState;

impl WorkerController {
    /// Publishes in the heartbeat which attempts have a task on an unresponsive worker. Attempts
    /// stopped while the log is silent stay listed until the log responds again.
    pub(super) fn publish_lost(&self) {
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

    pub(super) fn report_lost(&mut self, index: usize) {
        let session = &self.sessions[index];
        if session.last_response_at.elapsed() > self.context.settings.timing.lost_after {
            let reports = lost_reports(self.orders.for_worker(session.slot));
            self.append_reports(index, reports);
        }
    }

    /// Releases lost tasks once no host can still be renewing their leases and these have expired.
    pub(super) fn release_lost(&mut self, index: usize) {
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
        // An unreachable host stops renewing by itself after `renew_without_log` without the log.
        let expired = loss.observed_at.elapsed() > timing.renew_without_log + lease;
        let reports = match folded_long_enough || expired {
            true => released_reports(orders),
            false => Vec::new(),
        };
        self.sessions[index].loss = Some(loss);
        self.append_reports(index, reports);
    }

    /// Returns whether every other listed entry host has folded all records before an offset.
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
}
