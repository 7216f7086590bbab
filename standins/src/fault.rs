//! Fault injection for the fake servers: failure modes that tests switch on over HTTP.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Delay of a response that never comes, in ms; longer than any caller waits.
const HANG_MS: u64 = 3_600_000;

/// Failure mode of a fake server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// Works normally.
    #[default]
    None,
    /// Responds at once with status 503 (500 from a runner), without effect.
    Down,
    /// Waits `ms`, then processes the request and responds.
    Slow,
    /// Never responds, without effect.
    Silent,
    /// Processes the request, but never responds.
    LoseAnswer,
    /// Processes the request, then responds with a truncated body (runner only).
    Truncate,
    /// Processes the request, then responds with another request's id (runner only).
    Cross,
}

/// Body of `POST /fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct FaultSetting {
    /// Failure mode.
    pub mode: FaultMode,
    /// Delay of `slow`, in ms.
    #[serde(default)]
    pub ms: u64,
    /// Number of calls that fail; 0 for all until the next setting.
    #[serde(default)]
    pub count: u64,
}

/// Current fault setting of an endpoint.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    setting: Mutex<FaultSetting>,
}

impl FaultSwitch {
    /// Replaces the setting.
    pub fn set(&self, setting: FaultSetting) {
        *self.setting.lock().unwrap_or_else(PoisonError::into_inner) = setting;
    }

    /// Takes the fault for one call and injects the part that precedes the effect. Returns
    /// the mode. For `Down` the caller must respond with 503 (500 from a runner) and have no
    /// effect; for all others it processes the request.
    pub async fn apply_before_effect(&self) -> FaultMode {
        let setting = self.next_setting();
        match setting.mode {
            FaultMode::Slow => tokio::time::sleep(Duration::from_millis(setting.ms)).await,
            FaultMode::Silent => tokio::time::sleep(Duration::from_millis(HANG_MS)).await,
            _ => {}
        }
        setting.mode
    }

    /// Injects the part of the fault that follows the effect.
    pub async fn apply_after_effect(&self, mode: FaultMode) {
        if mode == FaultMode::LoseAnswer {
            tokio::time::sleep(Duration::from_millis(HANG_MS)).await;
        }
    }

    fn next_setting(&self) -> FaultSetting {
        let mut setting = self.setting.lock().unwrap_or_else(PoisonError::into_inner);
        let current = *setting;
        match setting.count {
            0 => {}
            1 => *setting = FaultSetting::default(),
            _ => setting.count -= 1,
        }
        current
    }
}
