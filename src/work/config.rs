//! The configuration that operators publish: queues, pools, teams.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::tables::name::ObjectName;

/// How the jobs of a queue are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Pool of upstreams that runs the tasks.
    pub pool: ObjectName,
    /// 0 comes first and may displace others.
    pub priority: u32,
    /// Failed runs after which a task's job has failed.
    pub attempts_max: u32,
    /// The time objective as a multiple of the longest chain of steps.
    pub stretch: f64,
    /// Time added to the objective, in ms.
    pub objective_ms: u64,
}

impl QueueRule {
    /// Returns the time from submission within which a job counts as on time, in ms.
    pub fn time_objective_ms(&self, critical_path_ms: u64) -> u64 {
        (self.stretch * critical_path_ms as f64) as u64 + self.objective_ms
    }
}

/// Selects a queue by the caller's host name and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRow {
    /// The queue's name.
    pub queue: ObjectName,
    /// Host name that callers use, in lower case.
    pub host: Arc<str>,
    /// Start of the path.
    pub prefix: Arc<str>,
    /// Whether callers need no key.
    pub public: bool,
    /// Time within which a call is answered, in ms; 0 for no limit of its own.
    pub answer_ms: u64,
    /// How its jobs are treated.
    pub rule: QueueRule,
}

/// A team with its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRule {
    /// The team.
    pub name: ObjectName,
    /// Keys that its callers send.
    pub keys: Vec<Arc<str>>,
    /// Accelerators that are the team's at all times for jobs of priority 0.
    pub guaranteed_accelerators: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkConfig {
    /// Rises with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRow>,
    /// Teams.
    pub teams: Vec<TeamRule>,
    /// Pools that are known.
    pub pools: Vec<ObjectName>,
    /// Largest body of a call, in bytes.
    pub body_max_bytes: usize,
}

/// Whom a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerIdentity {
    /// A team's caller.
    Team(ObjectName),
    /// The route needs no key.
    Public,
    /// No team has this key.
    Unknown,
}

impl WorkConfig {
    /// Returns the route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        self.routes
            .iter()
            .filter(|route| host.eq_ignore_ascii_case(&route.host))
            .filter(|route| path.starts_with(route.prefix.as_ref()))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the treatment of a queue; none if it is gone.
    pub fn rule(&self, queue: &ObjectName) -> Option<&QueueRule> {
        let route = self.routes.iter().find(|route| route.queue == *queue)?;
        Some(&route.rule)
    }

    /// Returns whom a call on a route comes from.
    pub fn caller(&self, route: &RouteRow, key: Option<&str>) -> CallerIdentity {
        let owns = |team: &&TeamRule| team.keys.iter().any(|own| Some(own.as_ref()) == key);
        match self.teams.iter().find(owns) {
            Some(team) => CallerIdentity::Team(team.name.clone()),
            None if route.public => CallerIdentity::Public,
            None => CallerIdentity::Unknown,
        }
    }

    /// Returns a team's guarantee, in accelerators.
    pub fn guaranteed(&self, team: &ObjectName) -> u64 {
        let own = self.teams.iter().find(|row| row.name == *team);
        own.map_or(0, |row| row.guaranteed_accelerators)
    }
}
