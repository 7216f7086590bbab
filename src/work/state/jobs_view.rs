//! A host's view of the jobs stream: jobs, hosts and the pool's owner.

use std::rc::Rc;

use crate::tables::name::ObjectName;
use crate::work::model::record::{HostRecord, JobPhase, JobRecord, OwnerRecord, WorkRecord};
use crate::work::model::stream::StreamRecord;

/// The module's former path, kept as the log target because operators filter by it.
const LOG_TARGET: &str = "hemlockramp::work::fact_table";

/// A job with its state from all its records.
#[derive(Clone, Debug)]
pub struct JobEntry {
    pub id: ObjectName,
    /// The accepted job; none while only its other records have been read.
    pub record: Option<Rc<JobRecord>>,
    /// Whether a caller has cancelled the job.
    pub cancelled: bool,
    /// The newest phase that the owner has recorded.
    pub phase: JobPhase,
}

impl JobEntry {
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
    /// No task has to react.
    Other,
}

/// State of the jobs stream, built from the newest record of each key. The first record of an
/// accepted job counts, and a final phase is never replaced.
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
}

impl JobsView {
    /// Returns the job with this id, if any of its records has been read.
    pub fn job(&self, id: &ObjectName) -> Option<&JobEntry> {
        let index = self.jobs.binary_search_by(|job| job.id.cmp(id)).ok()?;
        Some(&self.jobs[index])
    }

    /// Applies a record. Records that cannot be decoded are logged and skipped.
    pub fn apply(&mut self, stored: &StreamRecord) -> ViewChange {
        if stored.entry.value.is_empty() {
            return ViewChange::Other;
        }
        match WorkRecord::try_from(&stored.entry) {
            Ok(record) => self.apply_record(stored.offset, record),
            Err(error) => {
                log::warn!(
                    target: LOG_TARGET, offset = stored.offset;
                    "table: skipping a record that cannot be decoded: {error}."
                );
                ViewChange::Other
            }
        }
    }

    fn apply_record(&mut self, offset: u64, record: WorkRecord) -> ViewChange {
        self.config_version = self.config_version.max(record.config_version());
        match record {
            WorkRecord::Job(id, record) => {
                let job = self.job_mut(&id);
                // A job may be submitted more than once; its first record counts.
                job.record.get_or_insert_with(|| Rc::from(record));
                ViewChange::Job(id)
            }
            WorkRecord::Cancel(id, _) => {
                self.job_mut(&id).cancelled = true;
                ViewChange::Job(id)
            }
            WorkRecord::Phase(id, phase) => {
                let job = self.job_mut(&id);
                if !job.phase.is_over() {
                    job.phase = phase;
                }
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
                ViewChange::Other
            }
        }
    }

    fn job_mut(&mut self, id: &ObjectName) -> &mut JobEntry {
        let index = match self.jobs.binary_search_by(|job| job.id.cmp(id)) {
            Ok(index) => index,
            Err(index) => {
                let entry = JobEntry {
                    id: id.clone(),
                    record: None,
                    cancelled: false,
                    phase: JobPhase::Queued,
                };
                self.jobs.insert(index, entry);
                index
            }
        };
        &mut self.jobs[index]
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
