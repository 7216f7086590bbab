//! Sends requests to runners and retries them only where that is safe.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::routing::connection::{RunnerRequest, RunnerResponse};
use crate::routing::pool::ConnectionPool;
use crate::routing::retry_budget::RetryBudget;
use crate::routing::runner::{RunnerEvent, RunnerRow, RunnerTable};
use crate::routing::verdict::{CallFailure, RunVerdict};
use crate::settings::gateway::RequestSettings;
use crate::tables::name::ObjectName;
use crate::wire::peer::RunnerView;

/// Longest wait for a free slot before the runners are checked again, in ms.
const SLOT_POLL_MS: u64 = 5;
/// Upper bound of the first backoff, in ms. It doubles with each retry, and the backoff is
/// drawn at random between 0 and this bound.
const BACKOFF_BASE_MS: u64 = 10;
/// Most doublings of the bound on the backoff.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;
/// Attempts of one request that may have run and got no whole answer after which it is not retried.
/// The request may itself crash the runners.
const UNANSWERED_ATTEMPTS_MAX: u32 = 3;
/// Status of a failure that stands for a refusal by a runner.
const REFUSED_STATUS: u16 = 429;
/// Retry time sent to callers when no runner has a free slot, in ms.
const NO_SLOT_RETRY_MS: u64 = 1_000;

/// How a request may be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time after which the response is of no use.
    pub deadline: Instant,
}

/// Routes the requests of one entry host. Clones share its state.
#[derive(Clone)]
pub struct RequestRouter {
    settings: Arc<RequestSettings>,
    runners: Arc<Mutex<RunnerTable>>,
    budget: Arc<Mutex<RetryBudget>>,
    pool: ConnectionPool,
    slot_freed: Arc<Notify>,
    /// Held by the request that is next to get a slot; the others wait in FIFO order.
    slot_queue: Arc<tokio::sync::Mutex<()>>,
}

/// A runner's slot, taken for one request; dropping it frees the slot.
struct SlotPermit {
    router: RequestRouter,
    runner: RunnerRow,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        lock(&self.router.runners).release(&self.runner.name);
        self.router.slot_freed.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RequestRouter {
    /// Creates a router without runners and starts the health checks of idle connections.
    pub fn start(settings: RequestSettings) -> Self {
        let settings = Arc::new(settings);
        let pool = ConnectionPool::new(Arc::clone(&settings));
        tokio::spawn(pool.clone().sweep());
        let table = RunnerTable::new(settings.slot_policy, settings.runner_slots);
        Self {
            runners: Arc::new(Mutex::new(table)),
            budget: Arc::new(Mutex::new(RetryBudget::new(settings.retry_percent))),
            pool,
            slot_freed: Arc::new(Notify::new()),
            slot_queue: Arc::default(),
            settings,
        }
    }

    /// Updates the list of runners and the number of entry hosts.
    pub fn refresh(&self, listed: &[RunnerView], hosts: usize) {
        lock(&self.runners).refresh(listed, hosts);
        self.slot_freed.notify_waiters();
    }

    /// Returns the pool of idle connections.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// The verdict covers all attempts: "not run" only if none of them can have run.
    pub async fn send(
        &self,
        request: &RunnerRequest,
        options: SendOptions,
    ) -> Result<RunnerResponse, CallFailure> {
        let _place = self.pool.admit(options.deadline).await?;
        lock(&self.budget).deposit();
        let mut tried: Vec<ObjectName> = Vec::new();
        let mut may_have_run = false;
        let mut unanswered = 0;
        loop {
            let permit = match self.acquire_slot(&tried, options.deadline).await {
                Ok(permit) => permit,
                Err(failure) => return Err(combine_verdicts(failure, may_have_run)),
            };
            let runner = permit.runner.name.clone();
            let result = self.run_attempt(&permit, request, options).await;
            drop(permit);
            let ran = !matches!(&result, Err(failure) if failure.verdict == RunVerdict::NotRun);
            may_have_run |= ran;
            let done =
                matches!(&result, Ok(response) if !options.idempotent || response.status < 500);
            let safe = options.idempotent || !may_have_run;
            unanswered += u32::from(ran && result.is_err());
            tried.push(runner);
            if done
                || !safe
                || unanswered >= UNANSWERED_ATTEMPTS_MAX
                || !self
                    .wait_before_retry(&result, tried.len(), options.deadline)
                    .await
            {
                return result.map_err(|failure| combine_verdicts(failure, may_have_run));
            }
        }
    }

    /// Returns whether to retry, after waiting for the backoff.
    async fn wait_before_retry(
        &self,
        result: &Result<RunnerResponse, CallFailure>,
        tries: usize,
        deadline: Instant,
    ) -> bool {
        // A refusal costs nothing, so its retry is not charged to the budget; the backoff and
        // the wait for a slot limit the rate of these.
        let refused = matches!(result, Err(failure) if failure.status == REFUSED_STATUS);
        if !refused && !lock(&self.budget).try_withdraw() {
            return false;
        }
        let doublings = u32::try_from(tries - 1)
            .unwrap_or(u32::MAX)
            .min(BACKOFF_DOUBLINGS_MAX);
        let backoff_max = BACKOFF_BASE_MS << doublings;
        let backoff = Duration::from_millis(rand::rng().random_range(0..=backoff_max));
        if Instant::now() + backoff >= deadline {
            return false;
        }
        metrics::counter!("hemlockramp_request_retries_total").increment(1);
        tokio::time::sleep(backoff).await;
        true
    }

    async fn acquire_slot(
        &self,
        tried: &[ObjectName],
        deadline: Instant,
    ) -> Result<SlotPermit, CallFailure> {
        let no_free_slot = || {
            let failure = CallFailure::not_run(503, "no runner had a free slot in time");
            failure.retry_after(NO_SLOT_RETRY_MS)
        };
        let queue_guard = tokio::time::timeout_at(deadline, self.slot_queue.lock()).await;
        let _queue_guard = queue_guard.map_err(|_| no_free_slot())?;
        loop {
            let now = Instant::now();
            let chosen = lock(&self.runners).choose(now, tried, &mut rand::rng());
            if let Some(runner) = chosen {
                return Ok(SlotPermit {
                    router: self.clone(),
                    runner,
                });
            }
            if now >= deadline {
                return Err(no_free_slot());
            }
            let wait = Duration::from_millis(SLOT_POLL_MS).min(deadline - now);
            let _ = tokio::time::timeout(wait, self.slot_freed.notified()).await;
        }
    }

    async fn run_attempt(
        &self,
        permit: &SlotPermit,
        request: &RunnerRequest,
        options: SendOptions,
    ) -> Result<RunnerResponse, CallFailure> {
        let result = self.exchange(&permit.runner, request, options).await;
        let (event, result) = classify(result);
        lock(&self.runners).record(&permit.runner.name, event, Instant::now());
        result
    }

    async fn exchange(
        &self,
        runner: &RunnerRow,
        request: &RunnerRequest,
        options: SendOptions,
    ) -> Result<RunnerResponse, CallFailure> {
        let attempt_end = Instant::now() + self.settings.attempt;
        let deadline = match options.idempotent {
            true => options.deadline.min(attempt_end),
            false => options.deadline,
        };
        let mut connection = self.pool.take(runner.address).await?;
        let response = connection.exchange(request, deadline).await?;
        self.pool.put(runner.address, connection);
        Ok(response)
    }
}

/// Returns how an attempt ended, and turns a refusal by the runner into a failure.
fn classify(
    result: Result<RunnerResponse, CallFailure>,
) -> (RunnerEvent, Result<RunnerResponse, CallFailure>) {
    let response = match result {
        Ok(response) => response,
        Err(failure) => return (RunnerEvent::Failed, Err(failure)),
    };
    let refused = |reason| CallFailure::not_run(REFUSED_STATUS, reason);
    match (response.not_run, response.leaving, response.status) {
        (true, true, _) => (RunnerEvent::Leaving, Err(refused("the runner is leaving"))),
        (true, false, _) => (RunnerEvent::Busy, Err(refused("the runner is busy"))),
        (false, true, _) => (RunnerEvent::Leaving, Ok(response)),
        (false, false, 500..) => (RunnerEvent::Failed, Ok(response)),
        _ => (RunnerEvent::Answered, Ok(response)),
    }
}

/// Turns "not run" into "may have run" if an earlier attempt may have run.
fn combine_verdicts(mut failure: CallFailure, may_have_run: bool) -> CallFailure {
    if may_have_run && failure.verdict == RunVerdict::NotRun {
        failure.verdict = RunVerdict::MayHaveRun;
    }
    failure
}
