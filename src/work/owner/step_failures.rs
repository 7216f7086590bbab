//! Failed runs of one step of a job.

use crate::tables::name::ObjectName;

/// A step of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepRef {
    /// Job of the step.
    pub job: ObjectName,
    /// Index of the step in the job.
    pub step: u32,
}

/// Failed runs of a step, by the upstreams on which they ran.
#[derive(Clone, Debug)]
pub struct StepFailures {
    /// The step.
    pub key: StepRef,
    /// Upstreams on which it failed, sorted.
    upstreams: Vec<ObjectName>,
    /// Number of tasks done since the first failure.
    done: u32,
    /// Whether it is queued for its upstreams to be scored anew.
    is_queued: bool,
    /// Whether it has changed while queued.
    is_changed: bool,
    /// The upstream that was last taken to be scored anew.
    last_taken: Option<ObjectName>,
}

impl StepFailures {
    /// Creates a step without failures.
    pub fn new(key: StepRef) -> Self {
        Self {
            key,
            upstreams: Vec::new(),
            done: 0,
            is_queued: false,
            is_changed: false,
            last_taken: None,
        }
    }

    /// Notes that it has failed on an upstream.
    pub fn add_upstream(&mut self, name: &ObjectName) {
        if let Err(index) = self.upstreams.binary_search(name) {
            self.upstreams.insert(index, name.clone());
        }
    }

    /// Forgets its failures on an upstream.
    pub fn remove_upstream(&mut self, name: &ObjectName) {
        if let Ok(index) = self.upstreams.binary_search(name) {
            self.upstreams.remove(index);
        }
    }

    /// Notes that one of its tasks is done.
    pub fn add_done(&mut self) {
        self.done += 1;
    }

    /// Returns whether it has failed on no upstream.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the share of its failures for which its upstreams are to blame, in 0 to 1.
    pub fn upstream_share(&self) -> f64 {
        let (done, spread) = (f64::from(self.done), self.upstreams.len() as f64);
        (1.0 + done) / (spread + done)
    }

    /// Notes that the scores of its upstreams have changed. Returns whether it is to be queued.
    pub fn queue_upstreams(&mut self) -> bool {
        self.is_changed = self.is_queued;
        !std::mem::replace(&mut self.is_queued, true)
    }

    /// Takes some of its queued upstreams. Returns whether it stays queued.
    pub fn take_upstreams(&mut self, count: usize, taken: &mut Vec<ObjectName>) -> bool {
        let last = self.last_taken.as_ref();
        let first = last.map_or(0, |last| self.upstreams.partition_point(|one| one <= last));
        let end = self.upstreams.len().min(first + count);
        taken.extend_from_slice(&self.upstreams[first..end]);
        if end < self.upstreams.len() {
            self.last_taken = self.upstreams[..end].last().cloned();
            return true;
        }
        self.last_taken = None;
        self.is_queued = std::mem::take(&mut self.is_changed);
        self.is_queued
    }
}
