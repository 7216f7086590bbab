//! Callers' requests: who may call, and what is answered.
//!
//! Answers this pattern: the store is away or slow while callers go on coming. A refusal that
//! says "not run" is given only where nothing can have been stored, and no later than the
//! store's fate is known; an answer that may be wrong because this host lags is checked
//! against the store first.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::tables::name::ObjectName;
use crate::work::config::{CallerIdentity, QueueRule, RouteRow, WorkConfig};
use crate::work::fact::{JobFact, JobPhase, WorkFact};
use crate::work::host_parts::{HostParts, host_time, steady_ms};
use crate::work::ports::{OrderPort, RecordReader, StorePort};
use crate::work::spec::WorkSpec;
use crate::work::stream::{KeyedValue, StoreFailure};

/// Age of the configuration above which it is checked before a job is taken, in ms.
const CONFIG_AGE_MAX_MS: u64 = 1_700;
/// Age above which it is checked before a call is refused by it, in ms.
const REFUSAL_AGE_MAX_MS: u64 = 250;
/// Longest time spent on a call, in ms.
const STORE_PATIENCE_MS: u64 = 1_800;
/// Time kept of the caller's limit for the answer's way back, in ms.
const ANSWER_RESERVE_MS: u64 = 400;
/// Pause between two tries to store, in ms.
const STORE_RETRY_MS: u64 = 60;
/// Longest time spent on a check against the store, in ms.
const CHECK_LIMIT_MS: u64 = 1_200;

/// A caller's request, without its body.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Host name that the caller used, without a port.
    pub host: String,
    /// Path.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits, in ms.
    pub limit_ms: u64,
}

/// A call that is allowed.
#[derive(Clone, Debug)]
pub struct CallPass {
    /// The queue.
    pub queue: ObjectName,
    /// How the queue is treated.
    pub rule: QueueRule,
    /// The caller's team, if it showed a key.
    pub team: Option<ObjectName>,
    /// The path after the route's prefix.
    pub rest: String,
    /// Until when a refusal or an answer is due, steady ms.
    pub until_ms: u64,
    /// Largest body, in bytes.
    pub body_max_bytes: usize,
}

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeskRefusal {
    /// No route has this path.
    UnknownRoute,
    /// The key is no team's.
    UnknownKey,
    /// There is no such job.
    UnknownJob,
    /// Nothing was stored and nothing will run; come back later.
    NotRun {
        /// When, in ms from now.
        retry_ms: u64,
        /// Why.
        reason: String,
    },
    /// It may have been stored.
    Unsure,
}

/// Serves callers from one host's parts. Cloning shares them.
pub struct CallDesk<S, O, R> {
    parts: Rc<HostParts<S, O, R>>,
}

impl<S, O, R> Clone for CallDesk<S, O, R> {
    fn clone(&self) -> Self {
        Self {
            parts: Rc::clone(&self.parts),
        }
    }
}

impl<S: StorePort, O: OrderPort, R: RecordReader> CallDesk<S, O, R> {
    /// Creates the desk.
    pub fn new(parts: Rc<HostParts<S, O, R>>) -> Self {
        Self { parts }
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.parts.is_ready()
    }

    /// Finds the route and checks the key.
    ///
    /// # Errors
    ///
    /// Refuses unknown routes and keys, after a check against the store.
    pub async fn admit(&self, head: &CallHead) -> Result<CallPass, DeskRefusal> {
        let until_ms = steady_ms() + patience_ms(head.limit_ms);
        let config = self.config()?;
        match pass(&config, head, until_ms) {
            Ok(pass) if self.age_ms() <= CONFIG_AGE_MAX_MS => return Ok(pass),
            // The newest that can be had; a job still has to be stored.
            Ok(pass) if self.is_away() => return Ok(pass),
            Err(_) if self.is_away() => return Err(self.away("the store is away")),
            Err(refusal) if self.age_ms() <= REFUSAL_AGE_MAX_MS => return Err(refusal),
            _ => {}
        }
        let checked = self.parts.refresh_config();
        match timeout(Duration::from_millis(CHECK_LIMIT_MS), checked).await {
            Ok(Ok(())) => pass(&*self.config()?, head, until_ms),
            Ok(Err(failure)) => Err(self.away(failure)),
            Err(_) => Err(self.away("the configuration could not be checked")),
        }
    }

    fn is_away(&self) -> bool {
        self.parts.store.is_away()
    }

    /// Refuses a call that cannot be served while the store is away.
    fn away(&self, reason: impl ToString) -> DeskRefusal {
        let retry_ms = self
            .parts
            .store
            .health()
            .retry_after_ms(steady_ms(), rand::random());
        DeskRefusal::NotRun {
            retry_ms,
            reason: reason.to_string(),
        }
    }

    fn config(&self) -> Result<Rc<WorkConfig>, DeskRefusal> {
        let config = self.parts.board.current();
        config.ok_or_else(|| self.away("no configuration yet"))
    }

    fn age_ms(&self) -> u64 {
        self.parts.board.age_ms(steady_ms())
    }

    /// Stores a job.
    ///
    /// # Errors
    ///
    /// "Not run" only if no try can have been stored.
    pub async fn submit(
        &self,
        pass: &CallPass,
        id: &ObjectName,
        spec: WorkSpec,
    ) -> Result<(), DeskRefusal> {
        let known = |id: &ObjectName| {
            let table = self.parts.table.borrow();
            table.job(id).is_some_and(|job| job.fact.is_some())
        };
        if known(id) {
            return Ok(());
        }
        let fact = JobFact {
            team: pass.team.clone(),
            queue: pass.queue.clone(),
            rule: pass.rule.clone(),
            accepted_ms: host_time().wall_ms,
            spec,
        };
        let entry = KeyedValue::from(&WorkFact::Job(id.clone(), Box::new(fact)));
        let begun_ms = steady_ms();
        let result = self.store(entry, pass.until_ms).await;
        let took_ms = steady_ms() - begun_ms;
        metrics::histogram!("hemlockramp_submit_seconds").record(took_ms as f64 / 1_000.0);
        count_outcome(&result);
        log::info!(
            job = id.as_str(), took_ms, queue = pass.queue.as_str(),
            config_age_ms = self.age_ms(), outcome:? = result;
            "desk: a job was handed in."
        );
        result
    }

    /// Returns where a job stands.
    ///
    /// # Errors
    ///
    /// Unknown only if the store knows no such job either.
    pub async fn status(&self, id: &ObjectName) -> Result<JobPhase, DeskRefusal> {
        if let Some(phase) = self.known_phase(id) {
            return Ok(phase);
        }
        self.check_jobs().await?;
        self.known_phase(id).ok_or(DeskRefusal::UnknownJob)
    }

    /// Takes a job back.
    ///
    /// # Errors
    ///
    /// As for `status`; unsure if the store gave no answer.
    pub async fn cancel(&self, pass: &CallPass, id: &ObjectName) -> Result<(), DeskRefusal> {
        if self.status(id).await?.is_over() {
            return Ok(());
        }
        let entry = KeyedValue::from(&WorkFact::Cancel(id.clone()));
        let result = self.store(entry, pass.until_ms).await;
        log::info!(job = id.as_str(), outcome:? = result; "desk: a job was taken back.");
        result
    }

    /// Returns how many accepted jobs of a queue have not begun.
    pub fn pending(&self, queue: &ObjectName) -> usize {
        self.parts.table.borrow().pending(queue)
    }

    fn known_phase(&self, id: &ObjectName) -> Option<JobPhase> {
        let table = self.parts.table.borrow();
        let job = table.job(id)?;
        job.fact.as_ref()?;
        Some(job.shown_phase())
    }

    async fn check_jobs(&self) -> Result<(), DeskRefusal> {
        if self.is_away() {
            return Err(self.away("the store is away"));
        }
        let checked = self.parts.refresh_jobs();
        match timeout(Duration::from_millis(CHECK_LIMIT_MS), checked).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(failure)) => Err(self.away(failure)),
            Err(_) => Err(self.away("the jobs could not be checked")),
        }
    }

    /// Appends a fact, again and again while the caller waits: the same fact may stand twice.
    async fn store(&self, entry: KeyedValue, until_ms: u64) -> Result<(), DeskRefusal> {
        if self.is_away() {
            return Err(self.away("the store is away"));
        }
        let mut unsure = false;
        loop {
            let left_ms = until_ms.saturating_sub(steady_ms());
            let limit = Duration::from_millis(left_ms.max(1));
            match timeout(limit, self.parts.store_fact(&entry)).await {
                Ok(Ok(())) => return Ok(()),
                Ok(Err(StoreFailure::Unknown(_))) | Err(_) => unsure = true,
                Ok(Err(failure)) => {
                    log::debug!(failure:% = failure; "desk: a fact was not stored.");
                }
            }
            let given_up = match unsure {
                true => steady_ms() + STORE_RETRY_MS >= until_ms,
                false => self.is_away() || steady_ms() + STORE_RETRY_MS >= until_ms,
            };
            if given_up {
                return Err(match unsure {
                    true => DeskRefusal::Unsure,
                    false => self.away("the store is away"),
                });
            }
            tokio::time::sleep(Duration::from_millis(STORE_RETRY_MS)).await;
        }
    }
}

fn count_outcome(result: &Result<(), DeskRefusal>) {
    let outcome = match result {
        Ok(()) => "accepted",
        Err(DeskRefusal::Unsure) => "unsure",
        Err(_) => "refused",
    };
    metrics::counter!("hemlockramp_submits_total", "outcome" => outcome).increment(1);
}

/// Returns how long a caller's call may be worked on, in ms.
fn patience_ms(limit_ms: u64) -> u64 {
    limit_ms
        .saturating_sub(ANSWER_RESERVE_MS)
        .min(STORE_PATIENCE_MS)
}

fn pass(config: &WorkConfig, head: &CallHead, until_ms: u64) -> Result<CallPass, DeskRefusal> {
    let route: &RouteRow = config
        .route(&head.host, &head.path)
        .ok_or(DeskRefusal::UnknownRoute)?;
    let team = match config.caller(route, head.key.as_deref()) {
        CallerIdentity::Team(team) => Some(team),
        CallerIdentity::Public => None,
        CallerIdentity::Unknown => return Err(DeskRefusal::UnknownKey),
    };
    let until_ms = match route.answer_ms {
        0 => until_ms,
        own => until_ms.min(steady_ms() + patience_ms(own)),
    };
    Ok(CallPass {
        queue: route.queue.clone(),
        rule: route.rule.clone(),
        team,
        rest: head.path[route.prefix.len()..].to_owned(),
        until_ms,
        body_max_bytes: config.body_max_bytes,
    })
}
