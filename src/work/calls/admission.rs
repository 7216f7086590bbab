//! Admission of callers' requests: matches their route and checks their key.
//!
//! A decision by a configuration that may be out of date is checked against the store first. A host
//! that stores or starts what another host has admitted by a newer version is out of date. Other
//! calls are decided meanwhile, so a call that the check admits may have been overtaken: callers
//! would then see the newer version before the older one. Such a call is sent back to try again.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::work::calls::call::{AdmittedCall, CallHead, CallRefusal};
use crate::work::calls::call_budget::time_budget_ms;
use crate::work::calls::job_service::{CHECK_TIMEOUT_MS, JobService};
use crate::work::clock::steady_ms;
use crate::work::model::config::{CallerIdentity, RouteRow, WorkConfig};
use crate::work::model::stream::StreamName;
use crate::work::ports::{OrderPort, RecordReader, StorePort};

/// Age of the configuration above which it is refreshed before a call is admitted.
const CONFIG_AGE_MAX_MS: u64 = 1_700;
/// Age of the configuration above which it is refreshed before a call is refused.
const REFUSAL_CONFIG_AGE_MAX_MS: u64 = 250;
/// Time within which two calls count as concurrent and may be decided by versions in either order,
/// in ms.
const CONCURRENT_CALLS_MS: u64 = 100;
/// Delay after which an overtaken call is to be tried again, in ms.
const OVERTAKEN_RETRY_MS: u64 = 500;

impl<S: StorePort, O: OrderPort, R: RecordReader> JobService<S, O, R> {
    /// Admits a call: matches its route and checks its key.
    ///
    /// # Errors
    ///
    /// Refuses unknown routes and keys, after a refresh from the store if the configuration is
    /// stale; refuses with `NotRun` if that refresh fails or a later call has overtaken this one.
    pub async fn admit(&self, head: &CallHead) -> Result<AdmittedCall, CallRefusal> {
        let arrived_ms = steady_ms();
        let result = self.decide(head, arrived_ms).await;
        let active_config = &self.context.active_config;
        if result.is_ok() && active_config.was_older_in_use_after(arrived_ms + CONCURRENT_CALLS_MS)
        {
            metrics::counter!("hemlockramp_calls_overtaken_total").increment(1);
            return Err(CallRefusal::NotRun {
                retry_ms: OVERTAKEN_RETRY_MS,
                reason: "the configuration changed while the call waited".to_owned(),
            });
        }
        if !matches!(result, Err(CallRefusal::NotRun { .. })) {
            active_config.record_decision(steady_ms());
        }
        result
    }

    /// Decides a call by the configuration in force, or by the newest one in the store.
    async fn decide(&self, head: &CallHead, arrived_ms: u64) -> Result<AdmittedCall, CallRefusal> {
        let deadline_ms = arrived_ms + time_budget_ms(head.timeout_ms);
        let config = self.config()?;
        let active_config = &self.context.active_config;
        match authorize(&config, head, deadline_ms) {
            Ok(call) if active_config.is_current(arrived_ms, CONFIG_AGE_MAX_MS) => return Ok(call),
            // No newer configuration can be read now, and none is known to exist. A job still has
            // to be stored to be accepted.
            Ok(call) if self.is_unavailable(StreamName::Config) && !active_config.is_outdated() => {
                return Ok(call);
            }
            _ if self.is_unavailable(StreamName::Config) => {
                return Err(self.unavailable(StreamName::Config, "the store is away"));
            }
            Err(refusal) if active_config.is_current(arrived_ms, REFUSAL_CONFIG_AGE_MAX_MS) => {
                return Err(refusal);
            }
            _ => {}
        }
        self.check_config(config.version).await?;
        authorize(&*self.config()?, head, deadline_ms)
    }

    /// Reads the newest configuration for a call that may not be decided by version `before`.
    async fn check_config(&self, before: u64) -> Result<(), CallRefusal> {
        let asked_ms = steady_ms();
        let checked = async {
            let _place = self.context.caller_places.acquire().await;
            // Another call may have read it meanwhile.
            match self.context.active_config.is_current(asked_ms, 0) {
                true => Ok(()),
                false => self.context.refresh_config().await,
            }
        };
        let result = match timeout(Duration::from_millis(CHECK_TIMEOUT_MS), checked).await {
            Ok(result) => result.map_err(|failure| failure.to_string()),
            Err(_) => Err("the configuration could not be checked".to_owned()),
        };
        let took_ms = steady_ms() - asked_ms;
        metrics::histogram!("hemlockramp_config_check_seconds").record(took_ms as f64 / 1_000.0);
        let after = self.config_version();
        if result.is_err() || after != before {
            log::info!(
                before, after, took_ms, outcome:? = result;
                "config: a check for a call found another version or failed."
            );
        }
        result.map_err(|reason| self.unavailable(StreamName::Config, reason))
    }

    /// Returns the version of the configuration in force; 0 before the first one.
    pub fn config_version(&self) -> u64 {
        let config = self.context.active_config.current();
        config.map_or(0, |config| config.version)
    }

    fn config(&self) -> Result<Rc<WorkConfig>, CallRefusal> {
        let config = self.context.active_config.current();
        config.ok_or_else(|| self.unavailable(StreamName::Config, "no configuration yet"))
    }

    /// Returns the time since the configuration was last confirmed as the newest, in ms.
    pub fn config_age_ms(&self) -> u64 {
        self.context.active_config.age_ms(steady_ms())
    }
}

/// Matches the route of a call and checks its key.
fn authorize(
    config: &WorkConfig,
    head: &CallHead,
    deadline_ms: u64,
) -> Result<AdmittedCall, CallRefusal> {
    let route: &RouteRow = config
        .route(&head.host, &head.path)
        .ok_or(CallRefusal::UnknownRoute)?;
    let team = match config.caller(route, head.key.as_deref()) {
        CallerIdentity::Team(team) => Some(team),
        CallerIdentity::Public => None,
        CallerIdentity::Unknown => return Err(CallRefusal::UnknownKey),
    };
    let deadline_ms = match route.answer_ms {
        0 => deadline_ms,
        own => deadline_ms.min(steady_ms() + time_budget_ms(own)),
    };
    Ok(AdmittedCall {
        queue: route.queue.clone(),
        config_version: config.version,
        rule: route.rule.clone(),
        team,
        subpath: head.path[route.prefix.len()..].to_owned(),
        deadline_ms,
        body_max_bytes: config.body_max_bytes,
    })
}
