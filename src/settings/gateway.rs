//! Settings file of the gateway: keys, defaults and allowed ranges.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Report, ensure};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::reports::layout::ReportLayout;
use crate::routing::slots::SlotPolicy;
use crate::settings::load::{checked_count, checked_ms};
use crate::tables::name::ObjectName;
use crate::work::intake::limits::{MachineLimits, default_max_fds, default_memory_mb};

/// Gateway settings as read from the file, before range checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawGatewaySettings {
    /// Name of this host in the platform's host list.
    pub host: ObjectName,
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// Addresses of the schedulers, the one on this host first; at least one.
    pub schedulers: Vec<SocketAddr>,
    /// Limits and timeouts of requests to runners.
    #[serde(default)]
    pub requests: RawRequestSettings,
    /// Layout of the capacity report.
    #[serde(default)]
    pub report: ReportLayout,
    /// Timeout of a call to a scheduler, in ms; 100 to 60000, default 6000.
    #[serde(default = "default_call")]
    pub call_timeout_ms: u64,
    /// Longest wait for calls in flight at shutdown, in ms; 0 to 3600000, default 30000.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
    /// Memory that the process may use, in MB; 32 to 1048576, default 256.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Descriptors that the process may have open; 256 to 1048576, default 4096.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
}

fn default_call() -> u64 {
    6_000
}

fn default_drain() -> u64 {
    30_000
}

/// Limits and timeouts of requests to runners as read from the file, before range checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RawRequestSettings {
    /// Number of slots of one runner; 1 to 1024, default 8.
    pub runner_slots: u64,
    /// How the entry hosts share a runner's slots: `fixed-share`, `busy-answers` or
    /// `borrowing-share`; default `busy-answers`.
    pub slot_policy: SlotPolicy,
    /// Maximum number of connections from this host to one runner; 1 to 1024, default 6.
    pub runner_connections: u64,
    /// Deadline of a request that does not set one, in ms; 10 to 600000, default 10000.
    pub deadline_ms: u64,
    /// Timeout for connecting to a runner, in ms; 10 to 60000, default 500.
    pub connect_ms: u64,
    /// Timeout of one attempt of an idempotent request, in ms; 10 to 600000, default 3000.
    pub attempt_ms: u64,
    /// Maximum number of retries per 100 requests; 0 to 100, default 20.
    pub retry_percent: u64,
    /// Maximum number of queued requests per team on this host; 0 to 100000, default 512.
    pub queue_max: u64,
    /// Maximum size of a request body, in bytes; 1 to 1073741824, default 8388608.
    pub body_max_bytes: u64,
    /// Idle time after which a connection is probed before reuse, in ms; 10 to 600000,
    /// default 2000.
    pub probe_idle_ms: u64,
    /// Timeout of a connection probe, in ms; 10 to 60000, default 300.
    pub probe_ms: u64,
    /// Interval between reads of the routing state, in ms; 50 to 10000, default 250.
    pub refresh_ms: u64,
}

impl Default for RawRequestSettings {
    fn default() -> Self {
        Self {
            runner_slots: 8,
            slot_policy: SlotPolicy::BusyAnswers,
            runner_connections: 6,
            deadline_ms: 10_000,
            connect_ms: 500,
            attempt_ms: 3_000,
            retry_percent: 20,
            queue_max: 512,
            body_max_bytes: 8_388_608,
            probe_idle_ms: 2_000,
            probe_ms: 300,
            refresh_ms: 250,
        }
    }
}

/// Limits and timeouts of requests to runners, within their allowed ranges.
#[derive(Clone, Debug)]
#[allow(missing_docs, reason = "documented at the raw key of the same name")]
pub struct RequestSettings {
    pub runner_slots: usize,
    pub slot_policy: SlotPolicy,
    pub runner_connections: usize,
    /// Maximum number of connections from this host to all runners; follows from `max_fds`.
    pub connections_max: usize,
    pub deadline: Duration,
    pub connect: Duration,
    pub attempt: Duration,
    pub retry_percent: u64,
    pub queue_max: usize,
    pub body_max_bytes: usize,
    pub probe_idle: Duration,
    pub probe: Duration,
    pub refresh: Duration,
}

impl TryFrom<RawRequestSettings> for RequestSettings {
    type Error = Report;

    fn try_from(raw: RawRequestSettings) -> Result<Self, Report> {
        let ms = |key: &str, value, range| checked_ms(&format!("requests.{key}"), value, range);
        let count = |key: &str, value, range| {
            checked_count(&format!("requests.{key}"), value, range).map(|count| count as usize)
        };
        Ok(Self {
            runner_slots: count("runner_slots", raw.runner_slots, 1..=1_024)?,
            slot_policy: raw.slot_policy,
            runner_connections: count("runner_connections", raw.runner_connections, 1..=1_024)?,
            connections_max: MachineLimits::default().runner_connections_max(),
            deadline: ms("deadline_ms", raw.deadline_ms, 10..=600_000)?,
            connect: ms("connect_ms", raw.connect_ms, 10..=60_000)?,
            attempt: ms("attempt_ms", raw.attempt_ms, 10..=600_000)?,
            retry_percent: checked_count("requests.retry_percent", raw.retry_percent, 0..=100)?,
            queue_max: count("queue_max", raw.queue_max, 0..=100_000)?,
            body_max_bytes: count("body_max_bytes", raw.body_max_bytes, 1..=1_073_741_824)?,
            probe_idle: ms("probe_idle_ms", raw.probe_idle_ms, 10..=600_000)?,
            probe: ms("probe_ms", raw.probe_ms, 10..=60_000)?,
            refresh: ms("refresh_ms", raw.refresh_ms, 50..=10_000)?,
        })
    }
}

/// Gateway settings within their allowed ranges.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Settings as read from the file.
    pub raw: RawGatewaySettings,
    /// Checked limits and timeouts of requests to runners.
    pub requests: RequestSettings,
    /// Timeout of a call to a scheduler.
    pub call_timeout: Duration,
    /// Longest wait for calls in flight at shutdown.
    pub drain: Duration,
    /// Memory and descriptors of the process.
    pub machine: MachineLimits,
}

impl TryFrom<RawGatewaySettings> for GatewaySettings {
    type Error = Report;

    fn try_from(raw: RawGatewaySettings) -> Result<Self, Report> {
        ensure!(
            !raw.schedulers.is_empty(),
            "key schedulers: list is empty; at least one address is required"
        );
        raw.report
            .check()
            .map_err(|error| error.wrap_err("key report"))?;
        let mut requests = RequestSettings::try_from(raw.requests.clone())?;
        let call_timeout = checked_ms("call_timeout_ms", raw.call_timeout_ms, 100..=60_000)?;
        let drain = checked_ms("drain_ms", raw.drain_ms, 0..=3_600_000)?;
        let machine = MachineLimits::checked(raw.memory_mb, raw.max_fds)?;
        requests.connections_max = machine.runner_connections_max();
        Ok(Self {
            machine,
            raw,
            requests,
            call_timeout,
            drain,
        })
    }
}
