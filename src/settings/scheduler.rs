//! Settings file of the scheduler: keys, defaults and allowed ranges.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Report, ensure};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::settings::load::{checked_count, checked_ms};
use crate::systems::policy::PolicySettings;
use crate::tables::name::ObjectName;
use crate::work::intake::limits::{MachineLimits, default_max_fds, default_memory_mb};

/// Scheduler settings as read from the file, before range checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawSchedulerSettings {
    /// Name of this host in the platform's host list.
    pub host: ObjectName,
    /// Failure domain that this host belongs to.
    pub failure_domain: ObjectName,
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// Address of the platform's log service.
    pub log_address: SocketAddr,
    /// Address of the service that provides the host list.
    pub host_list_address: SocketAddr,
    /// Log stream that holds the journal; default `hemlockramp-journal`.
    #[serde(default = "default_journal")]
    pub journal_stream: ObjectName,
    /// Log stream that holds the snapshots; default `hemlockramp-snapshots`.
    #[serde(default = "default_snapshots")]
    pub snapshot_stream: ObjectName,
    /// Timeouts, intervals and snapshot thresholds.
    #[serde(default)]
    pub timing: RawTimingSettings,
    /// Weights and limits of the placement policy.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Memory that the process may use, in MB; 32 to 1048576, default 256.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Descriptors that the process may have open; 256 to 1048576, default 4096.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
}

fn default_journal() -> ObjectName {
    ObjectName::try_from("hemlockramp-journal").expect("a constant name is valid")
}

fn default_snapshots() -> ObjectName {
    ObjectName::try_from("hemlockramp-snapshots").expect("a constant name is valid")
}

/// Timeouts, intervals and snapshot thresholds as read from the file, before range checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RawTimingSettings {
    /// Minimum interval between appends to the log, in ms; 1 to 1000, default 25.
    pub append_interval_ms: u64,
    /// Timeout of an append to the log, in ms; 50 to 60000, default 1000.
    pub append_timeout_ms: u64,
    /// Longest time a caller waits for its record to be resolved in the journal, in ms; 100 to
    /// 60000, default 5000.
    pub settle_timeout_ms: u64,
    /// Interval between ticks of the planner and of the worker controllers, in ms; 10 to 10000,
    /// default 50.
    pub tick_ms: u64,
    /// Duration of a task's lease, in ms; 1000 to 600000, default 10000.
    pub lease_ms: u64,
    /// Safety margin after a lease's duration before the lease counts as expired, in ms; 100 to
    /// 600000, default 2000.
    pub lease_margin_ms: u64,
    /// Interval between lease renewals, in ms; 100 to 300000 and at most a third of `lease_ms`,
    /// default 2500.
    pub renew_ms: u64,
    /// Timeout of a call to a worker, in ms; 50 to 60000, default 1000.
    pub worker_timeout_ms: u64,
    /// Time without a response after which a worker's tasks count as lost, in ms; 500 to 600000 and
    /// at least `renew_ms` plus `worker_timeout_ms`, default 4000.
    pub lost_after_ms: u64,
    /// Longest time for which leases are renewed while the log is unavailable, in ms; 1000 to
    /// 86400000, default 900000.
    pub renew_without_log_ms: u64,
    /// Interval between heartbeats to a peer, in ms; 50 to 10000, default 500.
    pub heartbeat_ms: u64,
    /// Time without contact after which a peer counts as dead, in ms; 200 to 60000, default 2000.
    pub peer_dead_ms: u64,
    /// Interval between reads of the host list, in ms; 100 to 60000, default 1000.
    pub host_list_ms: u64,
    /// Number of journal records after which a snapshot is due; 10 to 10000000, default 20000.
    pub snapshot_every_records: u64,
    /// Time since the last snapshot after which the next one is due, in ms; 1000 to 86400000,
    /// default 600000.
    pub snapshot_every_ms: u64,
    /// Longest wait for calls in flight at shutdown, in ms; 0 to 3600000, default 30000.
    pub drain_ms: u64,
}

impl Default for RawTimingSettings {
    fn default() -> Self {
        Self {
            append_interval_ms: 25,
            append_timeout_ms: 1_000,
            settle_timeout_ms: 5_000,
            tick_ms: 50,
            lease_ms: 10_000,
            lease_margin_ms: 2_000,
            renew_ms: 2_500,
            worker_timeout_ms: 1_000,
            lost_after_ms: 4_000,
            renew_without_log_ms: 900_000,
            heartbeat_ms: 500,
            peer_dead_ms: 2_000,
            host_list_ms: 1_000,
            snapshot_every_records: 20_000,
            snapshot_every_ms: 600_000,
            drain_ms: 30_000,
        }
    }
}

/// Timeouts, intervals and snapshot thresholds within their allowed ranges.
#[derive(Clone, Debug)]
#[allow(missing_docs, reason = "documented at the raw key of the same name")]
pub struct TimingSettings {
    pub append_interval: Duration,
    pub append_timeout: Duration,
    pub settle_timeout: Duration,
    pub tick: Duration,
    pub lease: Duration,
    pub lease_margin: Duration,
    pub renew: Duration,
    pub worker_timeout: Duration,
    pub lost_after: Duration,
    pub renew_without_log: Duration,
    pub heartbeat: Duration,
    pub peer_dead: Duration,
    pub host_list: Duration,
    pub snapshot_every_records: u64,
    pub snapshot_every: Duration,
    pub drain: Duration,
}

impl TryFrom<RawTimingSettings> for TimingSettings {
    type Error = Report;

    fn try_from(raw: RawTimingSettings) -> Result<Self, Report> {
        ensure!(
            raw.renew_ms * 3 <= raw.lease_ms,
            "key timing.renew_ms: {} is too long; allowed is at most a third of lease_ms, {}",
            raw.renew_ms,
            raw.lease_ms / 3
        );
        let answered_ms = raw.renew_ms.saturating_add(raw.worker_timeout_ms);
        ensure!(
            answered_ms <= raw.lost_after_ms,
            "key timing.lost_after_ms: {} is too short; allowed is at least renew_ms + worker_timeout_ms, {answered_ms}",
            raw.lost_after_ms
        );
        let ms = |key: &str, value, range| checked_ms(&format!("timing.{key}"), value, range);
        Ok(Self {
            append_interval: ms("append_interval_ms", raw.append_interval_ms, 1..=1_000)?,
            append_timeout: ms("append_timeout_ms", raw.append_timeout_ms, 50..=60_000)?,
            settle_timeout: ms("settle_timeout_ms", raw.settle_timeout_ms, 100..=60_000)?,
            tick: ms("tick_ms", raw.tick_ms, 10..=10_000)?,
            lease: ms("lease_ms", raw.lease_ms, 1_000..=600_000)?,
            lease_margin: ms("lease_margin_ms", raw.lease_margin_ms, 100..=600_000)?,
            renew: ms("renew_ms", raw.renew_ms, 100..=300_000)?,
            worker_timeout: ms("worker_timeout_ms", raw.worker_timeout_ms, 50..=60_000)?,
            lost_after: ms("lost_after_ms", raw.lost_after_ms, 500..=600_000)?,
            renew_without_log: ms(
                "renew_without_log_ms",
                raw.renew_without_log_ms,
                1_000..=86_400_000,
            )?,
            heartbeat: ms("heartbeat_ms", raw.heartbeat_ms, 50..=10_000)?,
            peer_dead: ms("peer_dead_ms", raw.peer_dead_ms, 200..=60_000)?,
            host_list: ms("host_list_ms", raw.host_list_ms, 100..=60_000)?,
            snapshot_every_records: checked_count(
                "timing.snapshot_every_records",
                raw.snapshot_every_records,
                10..=10_000_000,
            )?,
            snapshot_every: ms(
                "snapshot_every_ms",
                raw.snapshot_every_ms,
                1_000..=86_400_000,
            )?,
            drain: ms("drain_ms", raw.drain_ms, 0..=3_600_000)?,
        })
    }
}

/// Scheduler settings within their allowed ranges.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Settings as read from the file.
    pub raw: RawSchedulerSettings,
    /// Checked timeouts, intervals and snapshot thresholds.
    pub timing: TimingSettings,
    /// Memory and descriptors of the process.
    pub machine: MachineLimits,
}

impl TryFrom<RawSchedulerSettings> for SchedulerSettings {
    type Error = Report;

    fn try_from(raw: RawSchedulerSettings) -> Result<Self, Report> {
        let timing = TimingSettings::try_from(raw.timing.clone())?;
        check_policy(&raw.policy)?;
        let machine = MachineLimits::checked(raw.memory_mb, raw.max_fds)?;
        Ok(Self {
            raw,
            timing,
            machine,
        })
    }
}

fn check_policy(policy: &PolicySettings) -> Result<(), Report> {
    let count = |key: &str, value, range| checked_count(&format!("policy.{key}"), value, range);
    count(
        "completion_weight",
        policy.completion_weight.into(),
        0..=100,
    )?;
    count(
        "fragmentation_weight",
        policy.fragmentation_weight.into(),
        0..=100,
    )?;
    count("starvation_ms", policy.starvation_ms, 1_000..=604_800_000)?;
    count("ageing_ms", policy.ageing_ms, 1_000..=604_800_000)?;
    count("reservation_ms", policy.reservation_ms, 0..=604_800_000)?;
    count(
        "checkpoint_grace_ms",
        policy.checkpoint_grace_ms,
        0..=600_000,
    )?;
    count("reject_after_ms", policy.reject_after_ms, 0..=600_000)?;
    count(
        "placements_per_tick",
        policy.placements_per_tick as u64,
        1..=10_000,
    )?;
    Ok(())
}
