//! What a host knows from the stream of jobs.

use std::rc::Rc;

use crate::tables::name::ObjectName;
use crate::work::record::{HostRecord, JobPhase, JobRecord, OwnerRecord, WorkRecord};
use crate::work::stream::StreamRecord;

/// The module's former path, kept as the log target because operators filter by it.
const LOG_TARGET: &str = "hemlockramp::work::fact_table";

/// A job with all that the stream says of it.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Its id.
    pub id: ObjectName,
    /// The job; none while only later facts are known.
    pub record: Option<Rc<JobRecord>>,
    /// Whether a caller took it back.
    pub cancelled: bool,
    /// Its phase as the owner recorded it.
    pub phase: JobPhase,
}

impl JobEntry {
    /// Returns the phase that callers are shown.
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
    /// Its name.
    pub name: ObjectName,
    /// Its address and whether it is gone.
    pub record: HostRecord,
    /// Offset of its newest record.
    pub offset: u64,
}

/// The owner with the offset of its first record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRow {
    /// Who.
    pub record: OwnerRecord,
    /// Offset of its newest record.
    pub offset: u64,
}

/// What a change means for those who act on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// A job is new or was taken back.
    Job(ObjectName),
    /// The owner gave a sign of life or changed.
    Owner,
    /// Nothing to act on.
    Other,
}

/// Jobs, hosts and the owner; the newest record of each key counts.
#[derive(Clone, Debug, Default)]
pub struct JobsView {
    /// Jobs, sorted by id.
    pub jobs: Vec<JobEntry>,
    /// Hosts, sorted by name.
    pub hosts: Vec<HostRow>,
    /// The owner; none before the first.
    pub owner: Option<OwnerRow>,
}

impl JobsView {
    /// Returns a job.
    pub fn job(&self, id: &ObjectName) -> Option<&JobEntry> {
        let index = self.jobs.binary_search_by(|job| job.id.cmp(id)).ok()?;
        Some(&self.jobs[index])
    }

    /// Applies a record; records that cannot be read are logged and skipped.
    pub fn apply(&mut self, stored: &StreamRecord) -> ViewChange {
        if stored.entry.value.is_empty() {
            return ViewChange::Other;
        }
        match WorkRecord::try_from(&stored.entry) {
            Ok(record) => self.apply_record(stored.offset, record),
            Err(error) => {
                log::warn!(target: LOG_TARGET, offset = stored.offset; "table: a record is skipped: {error}.");
                ViewChange::Other
            }
        }
    }

    fn apply_record(&mut self, offset: u64, record: WorkRecord) -> ViewChange {
        match record {
            WorkRecord::Job(id, record) => {
                let job = self.job_mut(&id);
                // The same job may be handed in again; its first record counts.
                job.record.get_or_insert_with(|| Rc::from(record));
                ViewChange::Job(id)
            }
            WorkRecord::Cancel(id) => {
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

    /// Returns how many accepted jobs of a queue have not begun; jobs with set times are
    /// left out.
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
