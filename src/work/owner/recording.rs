//! Batches of rows to record, and what may be done once they are stored.

use crate::tables::name::ObjectName;
use crate::work::model::record::{JobPhase, WorkRecord, job_of_row};
use crate::work::model::stream::KeyedValue;
use crate::work::owner::job_state::JobState;
use crate::work::owner::work_counts::WorkKind;
use crate::work::owner::{PendingEnds, PoolOwner};

/// Rows that must be stored before the orders of the same batch go out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowBatch {
    /// Sequence number of the batch.
    pub number: u64,
    /// Rows for the stream of runs.
    pub runs: Vec<KeyedValue>,
    /// Rows for the stream of jobs, written after `runs`.
    pub jobs: Vec<KeyedValue>,
    /// Keys of finished jobs' rows of runs, which may be dropped once `jobs` is in the store.
    pub finished: Vec<String>,
    /// Finished jobs, whose own rows may be removed once `jobs` is in the store.
    pub ended: Vec<ObjectName>,
}

impl PoolOwner {
    /// Collects changed phases, and jobs that are over and hold no upstream.
    pub(super) fn collect_phase_changes(&mut self) {
        for job in &mut self.jobs {
            if job.phase != job.recorded_phase {
                job.recorded_phase = job.phase;
                self.phases.push((job.id.clone(), job.phase));
            }
        }
        let finished = |job: &JobState| job.phase.is_over() && job.is_clear();
        for job in self.jobs.iter_mut().filter(|job| finished(job)) {
            // The job's last ends are acknowledged with this batch, before its phase is recorded.
            self.final_rows.extend(job.take_changed_rows());
            self.finished.extend(job.rows.stored_keys(&job.id));
            if let Err(index) = self.ended.binary_search(&job.id) {
                self.ended.insert(index, job.id.clone());
            }
            self.newly_ended.push(job.id.clone());
        }
        self.jobs.retain(|job| !finished(job));
    }

    /// Returns the next rows to record, or `None` if nothing changed.
    pub fn take_batch(&mut self) -> Option<RowBatch> {
        let mut batch = RowBatch {
            number: self.batch,
            ..RowBatch::default()
        };
        batch.runs.append(&mut self.final_rows);
        for job in &mut self.jobs {
            batch.runs.extend(job.take_changed_rows());
        }
        for key in self.rows_to_drop.drain(..) {
            let value = Vec::new();
            batch.runs.push(KeyedValue { key, value });
        }
        // Speeds need no call of their own: they wait until there is something else to store.
        if !batch.runs.is_empty() {
            batch.runs.extend(self.take_speed_rows());
        }
        for (job, phase) in self.phases.drain(..) {
            batch
                .jobs
                .push(KeyedValue::from(&WorkRecord::Phase(job, phase)));
        }
        batch.finished.append(&mut self.finished);
        batch.ended.append(&mut self.newly_ended);
        let has_dependents = self.has_dependents();
        let empty = batch.runs.is_empty()
            && batch.jobs.is_empty()
            && batch.finished.is_empty()
            && batch.ended.is_empty();
        if empty && !has_dependents {
            return None;
        }
        self.batch += 1;
        Some(batch)
    }

    /// Returns whether starts or acknowledgements wait for the next batch.
    fn has_dependents(&self) -> bool {
        let batch = self.batch;
        let starts = self.pending_starts.back();
        if starts.is_some_and(|start| start.batch == batch) {
            return true;
        }
        let ends = self.pending_ends.iter().rev();
        let mut newest = ends.take_while(|ends| ends.batch == batch);
        newest.any(|ends| {
            self.counts.add(WorkKind::ScanStep, 1);
            let upstream = self.upstream_index(&ends.upstream);
            upstream.is_some_and(|index| self.upstreams[index].end_batch == Some(batch))
        })
    }

    /// Notes that the ends of an upstream are recorded by the next batch.
    pub(super) fn await_record(&mut self, index: usize) {
        let batch = self.batch;
        let upstream = self.upstreams[index].name.clone();
        self.pending_ends.push_back(PendingEnds { batch, upstream });
    }

    /// Handles that all batches up to `number` are in the store.
    pub fn on_durable(&mut self, number: u64) {
        while let Some(start) = self
            .pending_starts
            .pop_front_if(|start| start.batch <= number)
        {
            self.release_start(start.order);
        }
        while let Some(ends) = self.pending_ends.pop_front_if(|ends| ends.batch <= number) {
            self.counts.add(WorkKind::ScanStep, 1);
            self.acknowledge_soon(&ends.upstream, number);
        }
    }

    /// Lets an upstream's ends be acknowledged if all of them are recorded by the batches up to `number`.
    fn acknowledge_soon(&mut self, name: &ObjectName, number: u64) {
        let Some(index) = self.upstream_index(name) else {
            return;
        };
        let upstream = &mut self.upstreams[index];
        if upstream.end_batch.is_some_and(|batch| batch <= number) {
            upstream.end_batch = None;
            upstream.recorded_end = upstream.seen_end;
            upstream.next_renewal_ms = 0;
            self.due.touch(index);
        }
    }

    /// Gives up the jobs whose rows the store refuses for good: what cannot be recorded must not run.
    /// Call it before `on_durable` for their batch.
    pub fn on_rows_refused(&mut self, keys: &[String]) {
        for key in keys {
            let job = job_of_row(key).ok().and_then(|id| self.job_index(&id));
            log::error!(key = key.as_str(); "owner: the store refuses a row; its job is given up.");
            if let Some(job) = job {
                self.set_phase(job, JobPhase::Failed);
            }
        }
    }

    /// Forgets jobs that are removed from the stream of jobs: their ids may be handed in again.
    pub fn forget_ended(&mut self, ids: &[ObjectName]) {
        for id in ids {
            if let Ok(index) = self.ended.binary_search(id) {
                self.ended.remove(index);
            }
        }
    }

    /// Returns whether a job is unfinished or still holds upstreams.
    pub fn holds(&self, id: &ObjectName) -> bool {
        self.job_index(id).is_some()
    }

    /// Returns the number of jobs that ended in this term and are not yet removed.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Schedules rows of finished jobs for deletion, once the final phases are in the store.
    pub fn drop_rows(&mut self, finished: Vec<String>) {
        self.rows_to_drop.extend(finished);
    }
}
