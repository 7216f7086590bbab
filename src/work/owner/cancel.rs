//! Jobs that callers take back.

use crate::tables::name::ObjectName;
use crate::work::owner::PoolOwner;
use crate::work::record::JobPhase;

impl PoolOwner {
    /// Takes back a job: nothing of it starts any more and what runs is stopped.
    pub fn cancel(&mut self, id: &ObjectName) {
        if let Some(job) = self.job_index(id) {
            self.set_phase(job, JobPhase::Cancelled);
        }
    }
}
