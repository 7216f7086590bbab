//! A host's view of the jobs stream: jobs, hosts and the pool's owner.

use std::rc::Rc;

use crate::tables::name::ObjectName;
use crate::work::model::record::{
    HostRecord, JobPhase, JobRecord, JobRowKind, OwnerRecord, WorkRecord, parse_removed_row,
    removed_row,
};
use crate::work::model::stream::{KeyedValue, StreamRecord};

/// The module's former path, kept as the log target because operators filter by it.
const LOG_TARGET: &str = "hemlockramp::work::fact_table";

/// Time after which the removal of a job is asked for again if it has not come about, in ms.
const REMOVAL_RETRY_MS: u64 = 30_000;
/// Most jobs that are removed at once, which bounds the size of an append.
const REMOVALS_MAX: usize = 500;

/// Time after which a job that is over has no need of the record of its acceptance, in ms.
const RECORD_RETENTION_MS: u64 = 5_000;

/// Rows of a job that are to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DueRemoval {
    /// The accepted job; its phase is still told.
    Record,
    /// All of them.
    Job,
}

/// A job with its state from all its records.
#[derive(Clone, Debug)]
pub struct JobEntry {
    pub id: ObjectName,
    /// The accepted job; none while only its other records have been read, and once it is over and
    /// holds no upstream.
    pub record: Option<Rc<JobRecord>>,
    /// Size of that record as stored, in bytes; 0 for none.
    record_bytes: u64,
    /// Whether a caller has cancelled the job.
    pub cancelled: bool,
    /// The newest phase that the owner has recorded.
    pub phase: JobPhase,
    /// Since when nothing can happen to the job any more, steady ms.
    settled_ms: Option<u64>,
    /// When its removal was asked for last, steady ms.
    removal_ms: Option<u64>,
    /// Whether it has been removed from the stream.
    removed: bool,
    /// The listing that read one of its records last.
    listing: u64,
}

impl JobEntry {
    fn new(id: &ObjectName) -> Self {
        Self {
            id: id.clone(),
            record: None,
            record_bytes: 0,
            cancelled: false,
            phase: JobPhase::Queued,
            settled_ms: None,
            removal_ms: None,
            removed: false,
            listing: 0,
        }
    }

    /// Returns whether a job with this id is known to have been accepted.
    pub fn is_accepted(&self) -> bool {
        self.record.is_some() || self.phase.is_over()
    }

    /// Returns whether nothing can happen to the job any more. A cancellation may come before its job.
    fn is_settled(&self) -> bool {
        self.phase.is_over() || (self.cancelled && self.record.is_none())
    }

    /// Returns which of its rows are to be removed now. The accepted job comes first: without its phase it
    /// would count as unfinished. The owner removes that row at once, but may die before, and a slow host
    /// may store it again.
    fn due_removal(&self, now_ms: u64, retention_ms: u64) -> Option<DueRemoval> {
        let settled_ms = now_ms.saturating_sub(self.settled_ms?);
        let asked = |at_ms: u64| now_ms.saturating_sub(at_ms) < REMOVAL_RETRY_MS;
        if self.removal_ms.is_some_and(asked) {
            return None;
        }
        if settled_ms >= retention_ms {
            return Some(DueRemoval::Job);
        }
        let outdated = self.record.is_some() && settled_ms >= RECORD_RETENTION_MS;
        outdated.then_some(DueRemoval::Record)
    }

    /// Returns the records that remove these of its rows.
    fn removal(&self, due: DueRemoval) -> Vec<KeyedValue> {
        let whole = due == DueRemoval::Job;
        let present = [
            (JobRowKind::Job, self.record.is_some()),
            (JobRowKind::Cancel, whole && self.cancelled),
            (JobRowKind::Phase, whole),
        ];
        let present = present.into_iter().filter(|(_, present)| *present);
        present
            .map(|(kind, _)| removed_row(kind, &self.id))
            .collect()
    }

    /// Returns the phase that callers see: a cancelled job counts as such before the owner has
    /// recorded it.
    pub fn shown_phase(&self) -> JobPhase {
        match self.cancelled && !self.phase.is_over() {
            true => JobPhase::Cancelled,
            false => self.phase,
        }
    }
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRow {
    pub name: ObjectName,
    /// The host's newest record.
    pub record: HostRecord,
    /// Offset of that record.
    pub offset: u64,
}

/// The owner with the offset of its newest record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRow {
    pub record: OwnerRecord,
    pub offset: u64,
}

/// Effect of a record on the view, for tasks that react to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// A job was accepted or cancelled.
    Job(ObjectName),
    /// The owner sent a heartbeat or changed.
    Owner,
    /// A host announced itself or left.
    Host,
    /// No task has to react.
    Other,
}

/// State of the jobs stream, built from the newest record of each key. The first record of an
/// accepted job counts, and a final phase is never replaced.
///
/// The owner removes a job's own row once the job is over and holds no upstream, and its phase once
/// callers have had time to read it. An id that is handed in again after that is a new job.
#[derive(Clone, Debug, Default)]
pub struct JobsView {
    /// Jobs, sorted by id.
    pub jobs: Vec<JobEntry>,
    /// Hosts, sorted by name.
    pub hosts: Vec<HostRow>,
    /// The owner; none before the first claim.
    pub owner: Option<OwnerRow>,
    /// Newest version of the configuration that admitted a caller on any host.
    pub config_version: u64,
    /// Time of the records that are applied next, steady ms.
    now_ms: u64,
    /// Number of the newest listing; 0 before the first.
    listing: u64,
    /// Whether some jobs are removed and not yet forgotten.
    any_removed: bool,
    /// Size of the records of accepted jobs that are kept, in bytes.
    record_bytes: u64,
}

impl JobsView {
    /// Sets the time at which the following records are applied, steady ms.
    pub fn set_time(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
    }

    /// Begins a listing of the stream.
    pub fn begin_listing(&mut self) {
        self.listing += 1;
    }

    /// Returns whether another job may be accepted, if the records of accepted jobs may take this many
    /// bytes.
    pub fn has_room(&self, record_bytes_max: u64) -> bool {
        self.record_bytes < record_bytes_max
    }

    fn count_record_bytes(&mut self) {
        self.record_bytes = self.jobs.iter().map(|job| job.record_bytes).sum();
    }

    /// Ends a listing. Jobs of which it had no record have been removed from the stream meanwhile.
    pub fn end_listing(&mut self) {
        let listing = self.listing;
        self.jobs.retain(|job| job.listing == listing);
        self.count_record_bytes();
    }

    /// Forgets the jobs that have been removed from the stream. Call after applying records.
    pub fn forget_removed(&mut self) {
        if std::mem::take(&mut self.any_removed) {
            self.jobs.retain(|job| !job.removed);
            self.count_record_bytes();
        }
    }

    /// Returns the records that remove what is no longer needed of jobs that are over and not `held`, and
    /// the ids of those that have been over for `retention_ms` and go altogether. The records have to be
    /// appended in this order.
    pub fn take_removals(
        &mut self,
        retention_ms: u64,
        held: impl Fn(&ObjectName) -> bool,
    ) -> (Vec<KeyedValue>, Vec<ObjectName>) {
        let (mut rows, mut ids) = (Vec::new(), Vec::new());
        let now_ms = self.now_ms;
        let mut left = REMOVALS_MAX;
        for job in &mut self.jobs {
            let Some(due) = job.due_removal(now_ms, retention_ms) else {
                continue;
            };
            if left == 0 || held(&job.id) {
                continue;
            }
            left -= 1;
            job.removal_ms = Some(now_ms);
            rows.extend(job.removal(due));
            if due == DueRemoval::Job {
                ids.push(job.id.clone());
            }
        }
        (rows, ids)
    }

    /// Returns the job with this id, if any of its records has been read.
    pub fn job(&self, id: &ObjectName) -> Option<&JobEntry> {
        let index = self.jobs.binary_search_by(|job| job.id.cmp(id)).ok()?;
        Some(&self.jobs[index]).filter(|job| !job.removed)
    }

    /// Applies a record. Records that cannot be decoded are logged and skipped.
    pub fn apply(&mut self, stored: &StreamRecord) -> ViewChange {
        if stored.entry.value.is_empty() {
            self.apply_removal(&stored.entry.key);
            return ViewChange::Other;
        }
        match WorkRecord::try_from(&stored.entry) {
            Ok(record) => {
                let bytes = stored.entry.value.len() as u64;
                self.apply_record(stored.offset, record, bytes)
            }
            Err(error) => {
                log::warn!(
                    target: LOG_TARGET, offset = stored.offset;
                    "table: skipping a record that cannot be decoded: {error}."
                );
                ViewChange::Other
            }
        }
    }

    fn apply_removal(&mut self, key: &str) {
        let Some((kind, id)) = parse_removed_row(key) else {
            return;
        };
        let Ok(index) = self.jobs.binary_search_by(|job| job.id.cmp(&id)) else {
            return;
        };
        let job = &mut self.jobs[index];
        match kind {
            JobRowKind::Job => {
                job.record = None;
                self.record_bytes -= std::mem::take(&mut job.record_bytes);
            }
            JobRowKind::Cancel => {}
            JobRowKind::Phase => {
                job.removed = true;
                self.any_removed = true;
            }
        }
    }

    fn apply_record(&mut self, offset: u64, record: WorkRecord, bytes: u64) -> ViewChange {
        self.config_version = self.config_version.max(record.config_version());
        match record {
            WorkRecord::Job(id, record) => {
                let job = self.job_mut(&id);
                // A job may be submitted more than once; its first record counts.
                if job.record.is_none() {
                    job.record = Some(Rc::from(record));
                    job.record_bytes = bytes;
                    self.record_bytes += bytes;
                }
                self.note_settled(&id);
                ViewChange::Job(id)
            }
            WorkRecord::Cancel(id, _) => {
                self.job_mut(&id).cancelled = true;
                self.note_settled(&id);
                ViewChange::Job(id)
            }
            WorkRecord::Phase(id, phase) => {
                let job = self.job_mut(&id);
                if !job.phase.is_over() {
                    job.phase = phase;
                }
                self.note_settled(&id);
                // Only an owner writes phases.
                ViewChange::Owner
            }
            WorkRecord::Owner(record) => {
                let newer = self.owner.as_ref().is_none_or(|row| row.offset < offset);
                if newer {
                    self.owner = Some(OwnerRow { record, offset });
                }
                ViewChange::Owner
            }
            WorkRecord::Host(name, record) => {
                self.put_host(HostRow {
                    name,
                    record,
                    offset,
                });
                ViewChange::Host
            }
        }
    }

    fn job_mut(&mut self, id: &ObjectName) -> &mut JobEntry {
        let index = match self.jobs.binary_search_by(|job| job.id.cmp(id)) {
            Ok(index) => index,
            Err(index) => {
                let entry = JobEntry::new(id);
                self.jobs.insert(index, entry);
                index
            }
        };
        let job = &mut self.jobs[index];
        // An id that is handed in again after its removal is a new job.
        if job.removed {
            self.record_bytes -= job.record_bytes;
            *job = JobEntry::new(id);
        }
        job.listing = self.listing;
        job
    }

    fn note_settled(&mut self, id: &ObjectName) {
        let now_ms = self.now_ms;
        let job = self.job_mut(id);
        match job.is_settled() {
            true => _ = job.settled_ms.get_or_insert(now_ms),
            false => job.settled_ms = None,
        }
    }

    fn put_host(&mut self, row: HostRow) {
        match self.hosts.binary_search_by(|host| host.name.cmp(&row.name)) {
            Ok(index) => self.hosts[index] = row,
            Err(index) => self.hosts.insert(index, row),
        }
    }

    /// Returns the number of accepted jobs of a queue of which no task has started, repeating jobs
    /// excluded.
    pub fn pending(&self, queue: &ObjectName) -> usize {
        let waits = |job: &&JobEntry| {
            job.shown_phase() == JobPhase::Queued
                && job
                    .record
                    .as_ref()
                    .is_some_and(|record| record.queue == *queue && record.spec.repeat.is_none())
        };
        self.jobs.iter().filter(waits).count()
    }
}
