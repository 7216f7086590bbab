//! Cancellation of jobs.

use crate::tables::name::ObjectName;
use crate::work::model::record::JobPhase;
use crate::work::owner::PoolOwner;

impl PoolOwner {
    /// Cancels a job: starts no more of its tasks and stops the running ones.
    pub fn cancel(&mut self, id: &ObjectName) {
        if let Some(job) = self.job_index(id) {
            self.set_phase(job, JobPhase::Cancelled);
        }
    }
}
