//! Submission, status and cancellation of jobs.
//!
//! Callers keep sending requests while the store is slow or unavailable. `NotRun` is returned
//! only if nothing can have been stored, and as soon as the store is known to be unavailable.
//! An answer that may be stale because this host lags behind is checked against the store
//! first.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::tables::name::ObjectName;
use crate::work::calls::call::{AdmittedCall, CallRefusal};
use crate::work::calls::call_budget::allows_append;
use crate::work::clock::{host_time, steady_ms};
use crate::work::model::record::{JobPhase, JobRecord, WorkRecord};
use crate::work::model::spec::WorkSpec;
use crate::work::model::stream::{KeyedValue, StoreFailure, StreamName};
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::state::context::HostContext;
use crate::work::state::jobs_view::JobEntry;

/// The module's former path, kept as the log target because operators filter by it.
const LOG_TARGET: &str = "hemlockramp::work::desk";

/// Delay between two attempts to store a record.
const STORE_RETRY_MS: u64 = 60;
/// Timeout of a refresh from the store.
pub(super) const CHECK_TIMEOUT_MS: u64 = 1_200;

/// Serves callers' requests on one host. Clones share the host's state.
pub struct JobService<S, O, R> {
    pub(super) context: Rc<HostContext<S, O, R>>,
}

impl<S, O, R> Clone for JobService<S, O, R> {
    fn clone(&self) -> Self {
        Self {
            context: Rc::clone(&self.context),
        }
    }
}

impl<S: StorePort, O: OrderPort, R: RecordReader> JobService<S, O, R> {
    /// Creates the service over a host's shared state.
    pub fn new(context: Rc<HostContext<S, O, R>>) -> Self {
        Self { context }
    }

    /// Returns whether this host accepts callers' requests.
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Returns whether a stream of the store is unavailable to this host.
    pub(super) fn is_unavailable(&self, stream: StreamName) -> bool {
        self.context.store.is_unavailable(stream)
    }

    /// Returns the refusal of a call that cannot be served because a stream is unavailable.
    pub(super) fn unavailable(&self, stream: StreamName, reason: impl ToString) -> CallRefusal {
        let health = self.context.store.health(stream);
        CallRefusal::NotRun {
            retry_ms: health.retry_after_ms(steady_ms(), rand::random()),
            reason: reason.to_string(),
        }
    }

    /// Stores a job. Succeeds at once if a job with this id is known already.
    ///
    /// # Errors
    ///
    /// Returns `NotRun` only if no attempt can have been stored, else `Unsure`; `NotStorable` if the
    /// store can never take the job.
    pub async fn submit(
        &self,
        call: &AdmittedCall,
        id: &ObjectName,
        spec: WorkSpec,
    ) -> Result<(), CallRefusal> {
        let known = |id: &ObjectName| {
            let jobs_view = self.context.jobs_view.borrow();
            jobs_view.job(id).is_some_and(JobEntry::is_accepted)
        };
        if known(id) {
            return Ok(());
        }
        let job_memory_bytes = self.context.identity.job_memory_bytes;
        if !self.context.jobs_view.borrow().has_room(job_memory_bytes) {
            return Err(self.unavailable(StreamName::Jobs, "too many jobs wait"));
        }
        let record = JobRecord {
            team: call.team.clone(),
            queue: call.queue.clone(),
            config_version: call.config_version,
            rule: call.rule.clone(),
            accepted_ms: host_time().wall_ms,
            spec,
        };
        let entry = KeyedValue::from(&WorkRecord::Job(id.clone(), Box::new(record)));
        let begun_ms = steady_ms();
        let result = self.store(entry, call.deadline_ms).await;
        let took_ms = steady_ms() - begun_ms;
        metrics::histogram!("hemlockramp_submit_seconds").record(took_ms as f64 / 1_000.0);
        count_outcome(&result);
        log::info!(
            target: LOG_TARGET, job = id.as_str(), took_ms, queue = call.queue.as_str(),
            config = call.config_version, config_age_ms = self.config_age_ms(), outcome:? = result;
            "desk: a job was handed in."
        );
        result
    }

    /// Returns the phase of a job.
    ///
    /// # Errors
    ///
    /// Returns `UnknownJob` only if the job is not in the store either, and `NotRun` if the store
    /// cannot be read.
    pub async fn status(&self, id: &ObjectName) -> Result<JobPhase, CallRefusal> {
        if let Some(phase) = self.known_phase(id) {
            return Ok(phase);
        }
        self.refresh_jobs().await?;
        self.known_phase(id).ok_or(CallRefusal::UnknownJob)
    }

    /// Cancels a job. Succeeds without effect if the job is over.
    ///
    /// The cancellation of a job that is not known is stored as well: a submission that got no answer
    /// may still be on its way to the store, and must not take effect afterwards.
    ///
    /// # Errors
    ///
    /// As for `status`; `Unsure` if the cancellation may or may not have been stored.
    pub async fn cancel(&self, call: &AdmittedCall, id: &ObjectName) -> Result<(), CallRefusal> {
        match self.status(id).await {
            Ok(phase) if phase.is_over() => Ok(()),
            Ok(_) => self.store_cancellation(call, id).await,
            Err(CallRefusal::UnknownJob) => {
                if !self.is_cancelled(id) {
                    self.store_cancellation(call, id).await?;
                }
                Err(CallRefusal::UnknownJob)
            }
            Err(refusal) => Err(refusal),
        }
    }

    fn is_cancelled(&self, id: &ObjectName) -> bool {
        let jobs_view = self.context.jobs_view.borrow();
        jobs_view.job(id).is_some_and(|job| job.cancelled)
    }

    async fn store_cancellation(
        &self,
        call: &AdmittedCall,
        id: &ObjectName,
    ) -> Result<(), CallRefusal> {
        let entry = KeyedValue::from(&WorkRecord::Cancel(id.clone(), call.config_version));
        let result = self.store(entry, call.deadline_ms).await;
        log::info!(
            target: LOG_TARGET, job = id.as_str(), config = call.config_version,
            config_age_ms = self.config_age_ms(), outcome:? = result;
            "desk: a cancellation was handled."
        );
        result
    }

    /// Returns the number of accepted jobs of a queue of which no task has started, repeating jobs
    /// excluded.
    pub fn pending(&self, queue: &ObjectName) -> usize {
        self.context.jobs_view.borrow().pending(queue)
    }

    fn known_phase(&self, id: &ObjectName) -> Option<JobPhase> {
        let jobs_view = self.context.jobs_view.borrow();
        let job = jobs_view.job(id)?;
        job.is_accepted().then(|| job.shown_phase())
    }

    async fn refresh_jobs(&self) -> Result<(), CallRefusal> {
        if self.is_unavailable(StreamName::Jobs) {
            return Err(self.unavailable(StreamName::Jobs, "the store is away"));
        }
        let arrived_ms = steady_ms();
        let checked = async {
            let _place = self.context.caller_places.acquire().await;
            // A read that began after this call arrived has shown all that was stored before.
            match self.context.jobs_asked_ms.get() > arrived_ms {
                true => Ok(()),
                false => self.context.refresh_jobs().await,
            }
        };
        match timeout(Duration::from_millis(CHECK_TIMEOUT_MS), checked).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(failure)) => Err(self.unavailable(StreamName::Jobs, failure)),
            Err(_) => Err(self.unavailable(StreamName::Jobs, "the jobs could not be checked")),
        }
    }

    /// Appends a record, retrying until the deadline. The stream may then hold the record twice,
    /// which has no effect.
    async fn store(&self, entry: KeyedValue, deadline_ms: u64) -> Result<(), CallRefusal> {
        let limits = self.context.identity.limits;
        if !limits.admits(&entry) {
            return Err(CallRefusal::NotStorable(limits.excess(&entry)));
        }
        if self.is_unavailable(StreamName::Jobs) {
            return Err(self.unavailable(StreamName::Jobs, "the store is away"));
        }
        let mut outcome_unknown = false;
        loop {
            let left_ms = deadline_ms.saturating_sub(steady_ms());
            if !allows_append(left_ms) && !outcome_unknown {
                metrics::counter!("hemlockramp_calls_out_of_time_total").increment(1);
                return Err(
                    self.unavailable(StreamName::Jobs, "too little of the caller's time is left")
                );
            }
            let limit = Duration::from_millis(left_ms.max(1));
            match timeout(limit, self.context.store_record(&entry)).await {
                Ok(Ok(())) => return Ok(()),
                Ok(Err(StoreFailure::Refused(reason))) if !outcome_unknown => {
                    return Err(CallRefusal::NotStorable(reason));
                }
                Ok(Err(StoreFailure::Unknown(_))) | Err(_) => outcome_unknown = true,
                Ok(Err(failure)) => {
                    log::debug!(
                        target: LOG_TARGET, failure:% = failure;
                        "desk: an attempt to store a record failed."
                    );
                }
            }
            let give_up = match outcome_unknown {
                true => steady_ms() + STORE_RETRY_MS >= deadline_ms,
                false => {
                    self.is_unavailable(StreamName::Jobs)
                        || steady_ms() + STORE_RETRY_MS >= deadline_ms
                }
            };
            if give_up {
                return Err(match outcome_unknown {
                    true => CallRefusal::Unsure,
                    false => self.unavailable(StreamName::Jobs, "the store is away"),
                });
            }
            tokio::time::sleep(Duration::from_millis(STORE_RETRY_MS)).await;
        }
    }
}

fn count_outcome(result: &Result<(), CallRefusal>) {
    let outcome = match result {
        Ok(()) => "accepted",
        Err(CallRefusal::Unsure) => "unsure",
        Err(_) => "refused",
    };
    metrics::counter!("hemlockramp_submits_total", "outcome" => outcome).increment(1);
}
