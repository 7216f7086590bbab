//! Switches by which a stand-in fails on demand.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Longer than any caller waits, in ms.
const HANG_MS: u64 = 3_600_000;

/// How a stand-in fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// Not at all.
    #[default]
    None,
    /// Answers 503 at once, without effect.
    Down,
    /// Waits `ms`, then acts and answers.
    Slow,
    /// Never answers, without effect.
    Silent,
    /// Acts, then never answers.
    LoseAnswer,
    /// Acts, then answers with a body that breaks off (runner only).
    Truncate,
    /// Acts, then answers in the name of another request (runner only).
    Cross,
}

/// Body of `POST /fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct FaultSetting {
    /// How to fail.
    pub mode: FaultMode,
    /// Delay of `slow`, in ms.
    #[serde(default)]
    pub ms: u64,
    /// How many calls fail; 0 for all until the next setting.
    #[serde(default)]
    pub count: u64,
}

/// The setting in force.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    setting: Mutex<FaultSetting>,
}

impl FaultSwitch {
    /// Puts a setting in force.
    pub fn set(&self, setting: FaultSetting) {
        *self.setting.lock().unwrap_or_else(PoisonError::into_inner) = setting;
    }

    /// Takes the fault for one call and plays its part before the effect. Returns the
    /// mode; `Down` must be answered with 503, and the rest act.
    pub async fn apply_before_effect(&self) -> FaultMode {
        let setting = self.next_setting();
        match setting.mode {
            FaultMode::Slow => tokio::time::sleep(Duration::from_millis(setting.ms)).await,
            FaultMode::Silent => tokio::time::sleep(Duration::from_millis(HANG_MS)).await,
            _ => {}
        }
        setting.mode
    }

    /// Plays the part after the effect.
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
