//! Folds intents and outcomes of requests that must run at most once.

use crate::journal::record::{IntentRecord, OutcomeRecord};
use crate::journal::state::FoldState;
use crate::tables::key::{KeyOutcome, KeyRow};

/// Life of a key after the caller first issued it, in ms.
pub const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// How far a caller's clock may run ahead of the log's, in ms.
pub const CALLER_CLOCK_SKEW_MAX_MS: u64 = 5 * 60 * 1_000;

impl FoldState {
    pub(crate) fn apply_intent(
        &mut self,
        offset: u64,
        intent: &IntentRecord,
    ) -> Result<(), String> {
        self.check_issue_time(intent.issued_ms)?;
        if let Some(old) = self.keys.find(&intent.team, &intent.key) {
            if old.digest != intent.digest {
                return Err("the key belongs to another request".to_owned());
            }
            if old.outcome != KeyOutcome::NotRun {
                return Err("the key is in use".to_owned());
            }
        }
        self.keys.put(KeyRow {
            team: intent.team.clone(),
            key: intent.key.clone(),
            digest: intent.digest,
            intent: offset,
            outcome: KeyOutcome::Pending,
            at_ms: intent.issued_ms.max(self.now_ms),
        });
        Ok(())
    }

    /// Checks that a key's age is inside its life, so that a forgotten key never runs again.
    pub fn check_issue_time(&self, issued_ms: u64) -> Result<(), String> {
        if issued_ms.saturating_add(KEY_RETENTION_MS) <= self.now_ms {
            return Err("the key has expired".to_owned());
        }
        match issued_ms > self.now_ms.saturating_add(CALLER_CLOCK_SKEW_MAX_MS) {
            true => Err("the key was issued in the future".to_owned()),
            false => Ok(()),
        }
    }

    pub(crate) fn apply_outcome(&mut self, outcome: &OutcomeRecord) -> Result<(), String> {
        let row = self.keys.find_mut(&outcome.team, &outcome.key);
        let row = row.filter(|row| row.intent == outcome.intent);
        let row = row.ok_or_else(|| "its intent is not in force".to_owned())?;
        let open = matches!(row.outcome, KeyOutcome::Pending | KeyOutcome::MayHaveRun);
        if !open {
            return Err("its outcome is known".to_owned());
        }
        row.outcome = outcome.outcome.clone();
        Ok(())
    }

    pub(crate) fn prune_keys(&mut self) {
        let now_ms = self.now_ms;
        let retention_ms = KEY_RETENTION_MS + CALLER_CLOCK_SKEW_MAX_MS;
        self.keys
            .rows
            .retain(|row| row.at_ms.saturating_add(retention_ms) > now_ms);
    }
}
