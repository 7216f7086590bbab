//! The configuration that operators publish: routes with their queues, teams and pools.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// Scheduling policy of a queue's jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Pool of upstreams that runs the tasks.
    pub pool: ObjectName,
    /// Priority; 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts_max: u32,
    /// Part of the time objective that is a multiple of the job's critical path.
    pub stretch: f64,
    /// Constant part of the time objective, in ms.
    pub objective_ms: u64,
}

impl QueueRule {
    /// Returns the time objective of a job with this critical path: the time from submission
    /// within which it counts as on time, in ms.
    pub fn time_objective_ms(&self, critical_path_ms: u64) -> u64 {
        (self.stretch * critical_path_ms as f64) as u64 + self.objective_ms
    }
}

/// A route: selects a queue by the host name and path of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRow {
    pub queue: ObjectName,
    /// Host name that callers use, in lower case.
    pub host: Arc<str>,
    /// Path prefix.
    pub prefix: Arc<str>,
    /// Whether callers need no key.
    pub public: bool,
    /// Time limit for answering a call, in ms; 0 for none beyond the caller's own.
    pub answer_ms: u64,
    /// Policy of the queue's jobs.
    pub rule: QueueRule,
}

/// A team with its API keys and its guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRule {
    pub name: ObjectName,
    /// API keys of the team's callers.
    pub keys: Vec<Arc<str>>,
    /// Accelerators guaranteed to the team at all times for jobs of priority 0.
    pub guaranteed_accelerators: u64,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkConfig {
    /// Increases with each change.
    pub version: u64,
    pub routes: Vec<RouteRow>,
    pub teams: Vec<TeamRule>,
    pub pools: Vec<ObjectName>,
    /// Maximum body size of a call, in bytes.
    pub body_max_bytes: usize,
}

/// Result of looking up a caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The key belongs to this team.
    Team(ObjectName),
    /// The key is missing or unknown, but the route is public.
    Public,
    /// The key is missing or unknown.
    Unknown,
}

impl WorkConfig {
    /// Returns the matching route with the longest path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        self.routes
            .iter()
            .filter(|route| host.eq_ignore_ascii_case(&route.host))
            .filter(|route| path.starts_with(route.prefix.as_ref()))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the policy of a queue, or none if the queue no longer exists.
    pub fn rule(&self, queue: &ObjectName) -> Option<&QueueRule> {
        let route = self.routes.iter().find(|route| route.queue == *queue)?;
        Some(&route.rule)
    }

    /// Identifies the caller of a route by its key.
    pub fn caller(&self, route: &RouteRow, key: Option<&str>) -> CallerIdentity {
        let owns = |team: &&TeamRule| team.keys.iter().any(|own| Some(own.as_ref()) == key);
        match self.teams.iter().find(owns) {
            Some(team) => CallerIdentity::Team(team.name.clone()),
            None if route.public => CallerIdentity::Public,
            None => CallerIdentity::Unknown,
        }
    }

    /// Returns a team's guarantee, in accelerators; 0 for an unknown team.
    pub fn guaranteed(&self, team: &ObjectName) -> u64 {
        let own = self.teams.iter().find(|row| row.name == *team);
        own.map_or(0, |row| row.guaranteed_accelerators)
    }
}
