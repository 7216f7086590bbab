//! Settings of the scheduler.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Report, ensure};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::settings::load::{checked_count, checked_ms};
use crate::systems::policy::PolicySettings;
use crate::tables::name::ObjectName;

/// Settings as they stand in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RawSchedulerSettings {
    /// This host's name on the platform's list.
    pub host: ObjectName,
    /// This host's failure domain.
    pub failure_domain: ObjectName,
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// The log service.
    pub log_address: SocketAddr,
    /// The host list.
    pub host_list_address: SocketAddr,
    /// Stream of the journal; default `hemlockramp-journal`.
    #[serde(default = "default_journal")]
    pub journal_stream: ObjectName,
    /// Stream of the snapshots; default `hemlockramp-snapshots`.
    #[serde(default = "default_snapshots")]
    pub snapshot_stream: ObjectName,
    /// Times and counts.
    #[serde(default)]
    pub timing: RawTimingSettings,
    /// Placement policy.
    #[serde(default)]
    pub policy: PolicySettings,
}

fn default_journal() -> ObjectName {
    ObjectName::try_from("hemlockramp-journal").expect("a constant name is valid")
}

fn default_snapshots() -> ObjectName {
    ObjectName::try_from("hemlockramp-snapshots").expect("a constant name is valid")
}

/// Times and counts as they stand in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RawTimingSettings {
    /// Shortest time between two appends; 1 to 1000, default 25.
    pub append_interval_ms: u64,
    /// Time for the log to answer an append; 50 to 60000, default 1000.
    pub append_timeout_ms: u64,
    /// Time a caller waits for its record to be settled; 100 to 60000, default 5000.
    pub settle_timeout_ms: u64,
    /// Time between two rounds of planning and keeping; 10 to 10000, default 50.
    pub tick_ms: u64,
    /// Lease of a task; 1000 to 600000, default 10000.
    pub lease_ms: u64,
    /// Added to a lease before it has surely ended; 100 to 600000, default 2000.
    pub lease_margin_ms: u64,
    /// Time between two renewals; 100 to 300000, at most a third of the lease, default 2500.
    pub renew_ms: u64,
    /// Time for a worker to answer; 50 to 60000, default 1000.
    pub worker_timeout_ms: u64,
    /// Silence after which a worker's tasks count as lost; 500 to 600000, default 4000.
    pub lost_after_ms: u64,
    /// Longest renewal without the log; 1000 to 86400000, default 900000.
    pub renew_without_log_ms: u64,
    /// Time between two heartbeats to a peer; 50 to 10000, default 500.
    pub heartbeat_ms: u64,
    /// Silence after which a peer counts as dead; 200 to 60000, default 2000.
    pub peer_dead_ms: u64,
    /// Time between two reads of the host list; 100 to 60000, default 1000.
    pub host_list_ms: u64,
    /// Records after which a snapshot is due; 10 to 10000000, default 20000.
    pub snapshot_every_records: u64,
    /// Time after which a snapshot is due; 1000 to 86400000, default 600000.
    pub snapshot_every_ms: u64,
    /// Longest shutdown; 0 to 3600000, default 30000.
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

/// Checked times and counts.
#[derive(Clone, Debug)]
#[allow(missing_docs, reason = "each is the checked form of the raw key")]
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
            "key timing.renew_ms: {}; allowed is at most a third of lease_ms, {}",
            raw.renew_ms,
            raw.lease_ms / 3
        );
        let answered_ms = raw.renew_ms.saturating_add(raw.worker_timeout_ms);
        ensure!(
            answered_ms <= raw.lost_after_ms,
            "key timing.lost_after_ms: {}; allowed is at least renew_ms + worker_timeout_ms, {answered_ms}",
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

/// Checked settings.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// The settings as read.
    pub raw: RawSchedulerSettings,
    /// Checked times and counts.
    pub timing: TimingSettings,
}

impl TryFrom<RawSchedulerSettings> for SchedulerSettings {
    type Error = Report;

    fn try_from(raw: RawSchedulerSettings) -> Result<Self, Report> {
        let timing = TimingSettings::try_from(raw.timing.clone())?;
        check_policy(&raw.policy)?;
        Ok(Self { raw, timing })
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
