//! Folds changes of workers, their failures and quarantine.

use crate::journal::record::WorkerRecord;
use crate::journal::state::FoldState;
use crate::tables::cell::{RACK_POSITIONS_MAX, WORKER_STRIDE};
use crate::tables::name::ObjectName;
use crate::tables::rack::WorkerSlot;
use crate::tables::worker::{WorkerRow, WorkerState};

/// Distinct jobs that fail in a row on a worker before it is quarantined.
pub const QUARANTINE_FAILED_JOBS: usize = 3;
/// First quarantine, in ms; each further one doubles it.
pub const QUARANTINE_MS: u64 = 10 * 60 * 1_000;
/// Most doublings of the quarantine.
const QUARANTINE_DOUBLINGS_MAX: u32 = 6;
/// One worker in this many of a failure domain may be quarantined, and always one.
pub const QUARANTINE_MAX_DIVISOR: usize = 4;

impl FoldState {
    pub(crate) fn apply_worker(&mut self, record: &WorkerRecord) -> Result<(), String> {
        if u32::from(record.position) >= RACK_POSITIONS_MAX {
            return Err(format!(
                "position {}; allowed are 0 to {}",
                record.position,
                RACK_POSITIONS_MAX - 1
            ));
        }
        if u32::from(record.accelerators) > WORKER_STRIDE {
            return Err(format!(
                "{} accelerators; allowed are 0 to {WORKER_STRIDE}",
                record.accelerators
            ));
        }
        let rack = self.racks.find_or_add(&record.domain, &record.rack);
        let slot = WorkerSlot {
            rack,
            position: record.position,
        };
        self.check_slot_reusable(slot, record)?;
        let Some(row) = self.racks.row_mut(rack) else {
            return Err("no such rack".to_owned());
        };
        let index = usize::from(record.position);
        if row.workers.len() <= index {
            row.workers.resize(index + 1, None);
        }
        let entry = &mut row.workers[index];
        match entry {
            Some(worker) if worker.name == record.name => update_worker(worker, record),
            _ => *entry = Some(new_worker(record)),
        }
        row.refresh_usable();
        Ok(())
    }

    /// A slot may go to another worker only when nothing of the old one can still run.
    fn check_slot_reusable(&self, slot: WorkerSlot, record: &WorkerRecord) -> Result<(), String> {
        let old = self.racks.worker(slot);
        let other = old.filter(|worker| worker.name != record.name);
        let row = self.racks.row(slot.rack);
        let used = row.is_some_and(|row| row.used & slot.mask() != 0);
        match other {
            Some(worker) if used || worker.state == WorkerState::Live => {
                Err(format!("the place is still held by worker {}", worker.name))
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn apply_probation(&mut self, slot: WorkerSlot) -> Result<(), String> {
        let now_ms = self.now_ms;
        let worker = self.racks.worker_mut(slot);
        let worker = worker.filter(|worker| worker.quarantined);
        let worker = worker.ok_or_else(|| "the worker is not quarantined".to_owned())?;
        if now_ms < worker.quarantine_until_ms {
            return Err("its quarantine has not ended".to_owned());
        }
        worker.quarantined = false;
        // One more failed job puts it back.
        worker.failed_jobs.truncate(QUARANTINE_FAILED_JOBS - 1);
        self.refresh(slot);
        Ok(())
    }

    pub(crate) fn record_worker_success(&mut self, slot: WorkerSlot) {
        if let Some(worker) = self.racks.worker_mut(slot) {
            worker.failed_jobs.clear();
            worker.quarantines = 0;
        }
    }

    pub(crate) fn record_worker_failure(&mut self, job: &ObjectName, slot: WorkerSlot) {
        let may_quarantine = self.may_quarantine(slot);
        let now_ms = self.now_ms;
        let Some(worker) = self.racks.worker_mut(slot) else {
            return;
        };
        if let Err(index) = worker.failed_jobs.binary_search(job) {
            worker.failed_jobs.insert(index, job.clone());
        }
        if worker.quarantined
            || !may_quarantine
            || worker.failed_jobs.len() < QUARANTINE_FAILED_JOBS
        {
            return;
        }
        worker.failed_jobs.truncate(QUARANTINE_FAILED_JOBS);
        worker.quarantined = true;
        let doublings = worker.quarantines.min(QUARANTINE_DOUBLINGS_MAX);
        worker.quarantine_until_ms = now_ms + (QUARANTINE_MS << doublings);
        worker.quarantines += 1;
        self.refresh(slot);
    }

    /// Caps quarantine a failure domain, so that a bad wave of jobs cannot empty it.
    fn may_quarantine(&self, slot: WorkerSlot) -> bool {
        let Some(domain) = self.racks.row(slot.rack).map(|row| &row.domain) else {
            return false;
        };
        let racks = self.racks.rows.iter().filter(|row| row.domain == *domain);
        let workers = racks.flat_map(|row| row.workers.iter().flatten());
        let present: Vec<&WorkerRow> = workers
            .filter(|worker| worker.state != WorkerState::Gone)
            .collect();
        let quarantined = present.iter().filter(|worker| worker.quarantined).count();
        quarantined < (present.len() / QUARANTINE_MAX_DIVISOR).max(1)
    }

    fn refresh(&mut self, slot: WorkerSlot) {
        if let Some(row) = self.racks.row_mut(slot.rack) {
            row.refresh_usable();
        }
    }
}

fn update_worker(worker: &mut WorkerRow, record: &WorkerRecord) {
    worker.address = record.address;
    worker.accelerators = record.accelerators;
    worker.state = record.state;
}

fn new_worker(record: &WorkerRecord) -> WorkerRow {
    WorkerRow {
        name: record.name.clone(),
        address: record.address,
        accelerators: record.accelerators,
        state: record.state,
        failed_jobs: Vec::new(),
        quarantined: false,
        quarantines: 0,
        quarantine_until_ms: 0,
    }
}
