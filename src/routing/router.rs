//! Sends requests to runners, retrying only where that is safe.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::routing::connection::{RunnerAnswer, RunnerRequest};
use crate::routing::pool::ConnectionPool;
use crate::routing::retry::RetryBudget;
use crate::routing::runner::{RunnerEvent, RunnerRow, RunnerTable};
use crate::routing::verdict::{CallFailure, RunVerdict};
use crate::settings::gateway::RequestSettings;
use crate::tables::name::ObjectName;
use crate::wire::peer::RunnerView;

/// Longest wait for a free slot before looking again, in ms.
const SLOT_WAIT_MS: u64 = 5;
/// First pause before a retry, in ms; it doubles, and a random part is taken off.
const RETRY_PAUSE_MS: u64 = 10;
/// Most doublings of that pause.
const RETRY_DOUBLINGS_MAX: u32 = 5;
/// Status of a failure by which a runner refused a request.
const REFUSED_STATUS: u16 = 429;
/// Retry time told to callers when no runner is free, in ms.
const BUSY_RETRY_MS: u64 = 1_000;

/// How a request may be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendRule {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its answer is of no more use.
    pub deadline: Instant,
}

/// Routes requests of one entry host. Cloning shares it.
#[derive(Clone)]
pub struct RequestRouter {
    settings: Arc<RequestSettings>,
    runners: Arc<Mutex<RunnerTable>>,
    budget: Arc<Mutex<RetryBudget>>,
    pool: ConnectionPool,
    freed: Arc<Notify>,
    /// Held by the request that is next to get a slot; waiters queue in their order.
    turn: Arc<tokio::sync::Mutex<()>>,
}

/// A runner's slot taken for one request; dropping it frees the slot.
struct SlotPermit {
    router: RequestRouter,
    runner: RunnerRow,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        lock(&self.router.runners).release(&self.runner.name);
        self.router.freed.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RequestRouter {
    /// Creates a router that knows no runner yet, and starts to probe idle connections.
    pub fn start(settings: RequestSettings) -> Self {
        let settings = Arc::new(settings);
        let pool = ConnectionPool::new(Arc::clone(&settings));
        tokio::spawn(pool.clone().sweep());
        let table = RunnerTable::new(settings.slot_policy, settings.runner_slots);
        Self {
            runners: Arc::new(Mutex::new(table)),
            budget: Arc::new(Mutex::new(RetryBudget::new(settings.retry_percent))),
            pool,
            freed: Arc::new(Notify::new()),
            turn: Arc::default(),
            settings,
        }
    }

    /// Takes over the list of runners and the number of entry hosts.
    pub fn refresh(&self, listed: &[RunnerView], hosts: usize) {
        lock(&self.runners).refresh(listed, hosts);
        self.freed.notify_waiters();
    }

    /// Returns the pool of idle connections.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Sends a request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// The verdict covers all tries: "not run" only if none can have run.
    pub async fn send(
        &self,
        request: &RunnerRequest,
        rule: SendRule,
    ) -> Result<RunnerAnswer, CallFailure> {
        lock(&self.budget).note_request();
        let mut tried: Vec<ObjectName> = Vec::new();
        let mut may_have_run = false;
        loop {
            let permit = match self.take_slot(&tried, rule.deadline).await {
                Ok(permit) => permit,
                Err(failure) => return Err(joined(failure, may_have_run)),
            };
            let runner = permit.runner.name.clone();
            let result = self.try_once(&permit, request, rule).await;
            drop(permit);
            let ran = !matches!(&result, Err(failure) if failure.verdict == RunVerdict::NotRun);
            may_have_run |= ran;
            let done = matches!(&result, Ok(answer) if !rule.idempotent || answer.status < 500);
            let safe = rule.idempotent || !may_have_run;
            tried.push(runner);
            if done || !safe || !self.may_retry(&result, tried.len(), rule.deadline).await {
                return result.map_err(|failure| joined(failure, may_have_run));
            }
        }
    }

    /// Decides on a retry, and pauses before it.
    async fn may_retry(
        &self,
        result: &Result<RunnerAnswer, CallFailure>,
        tries: usize,
        deadline: Instant,
    ) -> bool {
        // A runner that refused cost nothing; the pause and the slot wait pace these.
        let free = matches!(result, Err(failure) if failure.status == REFUSED_STATUS);
        if !free && !lock(&self.budget).take_retry() {
            return false;
        }
        let doublings = u32::try_from(tries - 1)
            .unwrap_or(u32::MAX)
            .min(RETRY_DOUBLINGS_MAX);
        let most = RETRY_PAUSE_MS << doublings;
        let pause = Duration::from_millis(rand::rng().random_range(0..=most));
        if Instant::now() + pause >= deadline {
            return false;
        }
        metrics::counter!("hemlockramp_request_retries_total").increment(1);
        tokio::time::sleep(pause).await;
        true
    }

    async fn take_slot(
        &self,
        tried: &[ObjectName],
        deadline: Instant,
    ) -> Result<SlotPermit, CallFailure> {
        let none_free = || {
            let failure = CallFailure::not_run(503, "no runner had a free slot in time");
            failure.retry_after(BUSY_RETRY_MS)
        };
        let turn = tokio::time::timeout_at(deadline, self.turn.lock()).await;
        let _turn = turn.map_err(|_| none_free())?;
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
                return Err(none_free());
            }
            let wait = Duration::from_millis(SLOT_WAIT_MS).min(deadline - now);
            let _ = tokio::time::timeout(wait, self.freed.notified()).await;
        }
    }

    async fn try_once(
        &self,
        permit: &SlotPermit,
        request: &RunnerRequest,
        rule: SendRule,
    ) -> Result<RunnerAnswer, CallFailure> {
        let result = self.exchange(&permit.runner, request, rule).await;
        let (event, result) = judge(result);
        lock(&self.runners).note(&permit.runner.name, event, Instant::now());
        result
    }

    async fn exchange(
        &self,
        runner: &RunnerRow,
        request: &RunnerRequest,
        rule: SendRule,
    ) -> Result<RunnerAnswer, CallFailure> {
        let attempt_end = Instant::now() + self.settings.attempt;
        let deadline = match rule.idempotent {
            true => rule.deadline.min(attempt_end),
            false => rule.deadline,
        };
        let mut connection = self.pool.take(runner.address).await?;
        let answer = connection.exchange(request, deadline).await?;
        self.pool.put(runner.address, connection);
        Ok(answer)
    }
}

/// Says how a try went, and turns a runner's refusal into a failure.
fn judge(
    result: Result<RunnerAnswer, CallFailure>,
) -> (RunnerEvent, Result<RunnerAnswer, CallFailure>) {
    let answer = match result {
        Ok(answer) => answer,
        Err(failure) => return (RunnerEvent::Failed, Err(failure)),
    };
    let refused = |reason| CallFailure::not_run(REFUSED_STATUS, reason);
    match (answer.not_run, answer.leaving, answer.status) {
        (true, true, _) => (RunnerEvent::Leaving, Err(refused("the runner is leaving"))),
        (true, false, _) => (RunnerEvent::Busy, Err(refused("the runner is busy"))),
        (false, true, _) => (RunnerEvent::Leaving, Ok(answer)),
        (false, false, 500..) => (RunnerEvent::Failed, Ok(answer)),
        _ => (RunnerEvent::Answered, Ok(answer)),
    }
}

/// Joins the last failure with what earlier tries may have done.
fn joined(mut failure: CallFailure, may_have_run: bool) -> CallFailure {
    if may_have_run && failure.verdict == RunVerdict::NotRun {
        failure.verdict = RunVerdict::MayHaveRun;
    }
    failure
}
